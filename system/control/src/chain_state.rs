//! The state of the chain at one replica.
use crate::log::Log;
use magpiegap_protocol::{Millis, Position, Replica as ReplicaId};

/// What a replica does in the current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Nothing: it is not in the chain, or has started after the view was agreed.
    Inactive,
    /// It waits for its predecessor's state.
    Joining,
    /// It takes part.
    Active,
}

/// Time until a predecessor that has not answered is asked for the second time.
pub(crate) const ASK_FIRST_MS: Millis = 60;

/// The state of the chain at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    pub activity: Activity,
    pub log: Log,
    /// The last entry applied to the state.
    pub applied: u64,
    pub committed: u64,
    /// Entries up to this one are on this replica's disk.
    pub own_durable: u64,
    /// Entries up to this one are on the disks of all before this replica.
    pub predecessor_durable: u64,
    /// The last entry handed to the disk.
    pub handed_to_disk: u64,
    /// The last entry sent to the successor; `None` until it has asked.
    pub sent: Option<u64>,
    /// What the successor was last told to be on disk, and when.
    pub told: (u64, Millis),
    /// When the predecessor last told where it stands.
    pub predecessor_heard_at: Millis,
    /// The successor has asked for what it is missing before this replica could give it.
    pub asked_by: Option<(ReplicaId, Position)>,
    /// When the predecessor was last asked for what is missing.
    pub asked_at: Millis,
    /// Until it is asked again: longer each time, since a whole state takes long to make and to send.
    pub ask_again_ms: Millis,
    /// What the others were last told to be committed.
    pub committed_told: u64,
}

impl Chain {
    pub fn new(log: Log, applied: Position) -> Chain {
        let last = log.last().index;
        Chain {
            activity: Activity::Inactive,
            log,
            applied: applied.index,
            committed: applied.index,
            own_durable: last,
            predecessor_durable: 0,
            handed_to_disk: last,
            sent: None,
            told: (0, 0),
            predecessor_heard_at: 0,
            asked_by: None,
            asked_at: 0,
            ask_again_ms: ASK_FIRST_MS,
            committed_told: 0,
        }
    }
}
