//! The reason for a view change.
use magpiegap_protocol::ReplicaId;
use std::fmt;

/// Why a view change is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewReason {
    /// A replica outside the chain can join it.
    Newcomer(ReplicaId),
    /// A chain member is unreachable or unfit.
    Unavailable(ReplicaId),
    /// A round for the next view was started and did not complete, so this replica is sealed.
    IncompleteRound,
    /// A chain member is reachable but does not serve.
    Idle(ReplicaId),
}

impl fmt::Display for ViewReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewReason::Newcomer(replica) => {
                write!(formatter, "replica can join chain peer={}", replica.member)
            }
            ViewReason::Unavailable(replica) => {
                write!(
                    formatter,
                    "chain member unavailable peer={}",
                    replica.member
                )
            }
            ViewReason::IncompleteRound => {
                write!(formatter, "earlier round did not complete")
            }
            ViewReason::Idle(replica) => write!(
                formatter,
                "chain member does not serve peer={}",
                replica.member
            ),
        }
    }
}
