//! Why another view is needed.
use magpiegap_protocol::ReplicaId;
use std::fmt;

/// Why another view is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewReason {
    /// A replica outside of the chain can become a member.
    Newcomer(ReplicaId),
    /// A member of the chain has departed, or is unfit.
    Departed(ReplicaId),
    /// The agreement on the next view was begun by another replica and led to nothing.
    Unfinished,
    /// A member of the chain is reachable and not active.
    Idle(ReplicaId),
}

impl fmt::Display for ViewReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewReason::Newcomer(replica) => write!(formatter, "{} can take part", replica.member),
            ViewReason::Departed(replica) => write!(formatter, "{} is gone", replica.member),
            ViewReason::Unfinished => {
                write!(formatter, "its agreement was begun and led to nothing")
            }
            ViewReason::Idle(replica) => write!(formatter, "{} does not take part", replica.member),
        }
    }
}
