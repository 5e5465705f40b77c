//! The state of the chain at one replica. It is updated by `chain`, `replication`, `catch_up` and `snapshot_transfer`.
use crate::{
    catch_up_backoff::CatchUpBackoff,
    commit_history::CommitHistory,
    log::Log,
    progress::FollowerProgress,
    snapshot_progress::{IncomingSnapshot, OutgoingSnapshot},
};
use magpiegap_protocol::{LogIndex, LogPosition, Millis, ReplicaId};
use std::collections::BTreeMap;

/// The role of a replica in the current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// There is no chain yet, or the replica is the head but does not hold all committed entries.
    Inactive,
    /// The replica is a learner: outside the chain, and catching up.
    Learning,
    /// The replica is a learner that has caught up; the tail sends it new entries.
    Following,
    /// The replica is in the chain, and catching up.
    Joining,
    /// The replica is in the chain, and serves.
    Active,
}

/// How much of the log is on this replica's disk.
#[derive(Clone, Debug)]
pub(crate) struct LocalDisk {
    /// The last entry known to be durable.
    pub durable: LogIndex,
    /// The last entry submitted to the disk.
    pub submitted: LogIndex,
    /// When entries were last submitted.
    pub submitted_at: Millis,
}

/// The state of the chain at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    pub activity: Activity,
    pub log: Log,
    /// The last entry applied to the state machine.
    pub applied: LogIndex,
    /// The commit index known to this replica.
    pub committed: LogIndex,
    pub disk: LocalDisk,
    /// The last entry that is durable on the source and on all its predecessors. The source is the predecessor in the
    /// chain, or the tail for a learner. `None` until the source has reported it in this view.
    pub source_durable: Option<LogIndex>,
    /// The replicas that have all entries and are sent new ones.
    pub followers: Vec<FollowerProgress>,
    /// When the source last sent entries or its durable index.
    pub source_last_heard: Millis,
    pub commit_history: CommitHistory,
    /// Requests received before this replica was active, with the last log position of the sender.
    pub pending_requests: BTreeMap<ReplicaId, LogPosition>,
    /// The snapshot offered to other replicas.
    pub outgoing: Option<OutgoingSnapshot>,
    /// The snapshot being received, which will replace this replica's state.
    pub incoming: Option<IncomingSnapshot>,
    /// The backoff of the catch-up requests to the source.
    pub catch_up_backoff: CatchUpBackoff,
    /// The commit index last announced to the chain.
    pub committed_announced: LogIndex,
}

impl Chain {
    pub(crate) fn new(log: Log, applied: LogPosition) -> Chain {
        let last = log.last().index;
        Chain {
            activity: Activity::Inactive,
            log,
            applied: applied.index,
            committed: applied.index,
            disk: LocalDisk {
                durable: LogIndex::default(),
                submitted: last,
                submitted_at: 0,
            },
            source_durable: None,
            followers: Vec::new(),
            source_last_heard: 0,
            commit_history: CommitHistory::default(),
            pending_requests: BTreeMap::new(),
            outgoing: None,
            incoming: None,
            catch_up_backoff: CatchUpBackoff::new(),
            committed_announced: LogIndex::default(),
        }
    }

    /// Raises the commit index to this one, or to the last entry of the log if that is lower.
    pub(crate) fn record_committed(&mut self, index: LogIndex) {
        let known = index.min(self.log.last().index);
        self.committed = self.committed.max(known);
    }
}
