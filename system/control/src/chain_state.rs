//! The state of the chain at one replica.
use crate::{
    log::Log,
    transfers::{Incoming, Outgoing},
};
use magpiegap_protocol::{LogIndex, LogPosition, Millis, ReplicaId};
use std::collections::{BTreeMap, VecDeque};

/// What a replica does in the current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Nothing: there is no chain yet, or the replica leads one and does not have all that was committed.
    Inactive,
    /// It is outside of the chain, and waits for what it is missing.
    Learning,
    /// It is outside of the chain, and is told by the tail what is committed.
    Following,
    /// It is in the chain, and waits for what it is missing.
    Joining,
    /// It takes part.
    Active,
}

/// A replica that this one passes entries on to: its successor, or at the tail one that catches up outside of the chain.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    pub replica: ReplicaId,
    /// The last entry sent to it.
    pub sent: LogIndex,
    /// What it was last told to be on disk, and when.
    pub told: (LogIndex, Millis),
}

/// Time until a source that has not answered is asked for the second time.
pub(crate) const ASK_FIRST_MS: Millis = 60;

/// The state of the chain at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    pub activity: Activity,
    pub log: Log,
    /// The last entry applied to the state.
    pub applied: LogIndex,
    pub committed: LogIndex,
    /// Entries up to this one are on this replica's disk.
    pub own_durable: LogIndex,
    /// Entries up to this one are on the disks of the source and of all before it. The source is the predecessor; for a
    /// replica outside of the chain, the tail. `None`: it has said nothing in this view.
    pub source_durable: Option<LogIndex>,
    /// The last entry handed to the disk.
    pub handed_to_disk: LogIndex,
    /// When entries were last handed to the disk.
    pub handed_at: Millis,
    /// Those that have asked for entries and get them as they come.
    pub followers: Vec<Follower>,
    /// When the source last told where it stands.
    pub source_heard_at: Millis,
    /// What was committed at moments up to a while ago, oldest first.
    pub committed_at: VecDeque<(Millis, LogIndex)>,
    /// What others have asked for before this replica could give it, with the last entry that they have.
    pub requests: BTreeMap<ReplicaId, LogPosition>,
    /// A state that others may ask for.
    pub outgoing: Option<Outgoing>,
    /// A state that is being built up, to take the place of what this replica has.
    pub incoming: Option<Incoming>,
    /// When the source was last asked for what is missing.
    pub asked_at: Millis,
    /// Until it is asked again: longer each time, since a whole state takes long to make and to send.
    pub ask_again_ms: Millis,
    /// What the others were last told to be committed.
    pub committed_told: LogIndex,
}

impl Chain {
    pub(crate) fn new(log: Log, applied: LogPosition) -> Chain {
        let last = log.last().index;
        Chain {
            activity: Activity::Inactive,
            log,
            applied: applied.index,
            committed: applied.index,
            own_durable: LogIndex::default(),
            source_durable: None,
            handed_to_disk: last,
            handed_at: 0,
            followers: Vec::new(),
            source_heard_at: 0,
            committed_at: VecDeque::new(),
            requests: BTreeMap::new(),
            outgoing: None,
            incoming: None,
            asked_at: 0,
            ask_again_ms: ASK_FIRST_MS,
            committed_told: LogIndex::default(),
        }
    }
}
