//! Checks the rules from what the lab's stand-ins saw: never from what a balancer reports of itself.
//!
//! Sans-I/O: every stand-in reports to it what it saw and when. A violation of a rule is recorded with its case, and
//! the run goes on.
mod client_calls;
mod facts;
mod findings;
mod header;
mod judge;
mod members;
mod peers;
mod rule;
mod rules;

pub use facts::{ClassRules, End, Final, Limits, Parts, Place, Seen};
pub use findings::Violation;
pub use judge::Oracle;
pub use rule::Rule;
pub use rules::lost::ANSWER_GRACE;
pub use rules::trials::Bound;
