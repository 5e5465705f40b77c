//! Checks the rules against what the lab's emulated clients, upstreams and peers observe, rather than against what a
//! balancer reports about itself.
//!
//! Sans-I/O: every emulated component reports its observations with their times. A violation is recorded with a
//! description, and the run continues.
mod client_calls;
mod facts;
mod findings;
mod header;
mod judge;
mod members;
mod peers;
mod rule;
mod rules;

pub use facts::{ClassRules, End, Final, Limits, ObservedCounts, OracleConfig, Place};
pub use findings::Violation;
pub use judge::Oracle;
pub use rule::Rule;
pub use rules::lost::ANSWER_GRACE;
pub use rules::trials::Bound;
