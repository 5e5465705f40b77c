//! Checks the rules from what the lab's stand-ins saw: never from what a balancer says of itself.
//!
//! Sans-I/O: every stand-in tells it what it saw and when. A rule that is broken is written down with its case, and
//! the run goes on.
mod facts;
mod findings;
mod header;
mod judge;
mod members;
mod peers;
mod rule;
mod rules;
mod tries;

pub use facts::{ClassRules, End, Final, Limits, Parts, Place, Seen};
pub use findings::Broken;
pub use judge::Oracle;
pub use rule::Rule;
pub use rules::lost::ANSWER_GRACE;
pub use rules::trials::Bound;
