//! The state of the chain at one replica. What changes it is in `chain`, `replication`, `catch_up` and
//! `snapshot_transfer`.
use crate::{
    catch_up_backoff::CatchUpBackoff,
    commit_history::CommitHistory,
    log::Log,
    progress::FollowerProgress,
    snapshot_progress::{IncomingSnapshot, OutgoingSnapshot},
};
use magpiegap_protocol::{LogIndex, LogPosition, Millis, ReplicaId};
use std::collections::BTreeMap;

/// What a replica does in the current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Nothing: there is no chain yet, or the replica leads one and does not have all that was committed.
    Inactive,
    /// A learner: it is outside of the chain, and waits for what it is missing.
    Learning,
    /// A learner that has caught up: the tail sends it new entries.
    Following,
    /// It is in the chain, and waits for what it is missing.
    Joining,
    /// It is a member of the chain and serves.
    Active,
}

/// The entries of the log on this replica's disk.
#[derive(Clone, Debug)]
pub(crate) struct LocalDisk {
    /// Entries up to this one are on disk.
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
    /// The applied index.
    pub applied: LogIndex,
    /// The commit index, as far as it is known here.
    pub committed: LogIndex,
    pub disk: LocalDisk,
    /// Entries up to this one are on the disks of the source and of all before it. The source is the predecessor; for a
    /// replica outside of the chain, the tail. `None`: it has said nothing in this view.
    pub source_durable: Option<LogIndex>,
    /// Those that have requested entries and are sent new ones as they come.
    pub followers: Vec<FollowerProgress>,
    /// When the source last sent its progress.
    pub source_last_heard: Millis,
    pub commit_history: CommitHistory,
    /// Requests that came before this replica was active, with the last entry that the sender has.
    pub pending_requests: BTreeMap<ReplicaId, LogPosition>,
    /// A snapshot that others may request.
    pub outgoing: Option<OutgoingSnapshot>,
    /// A snapshot that is being received, to replace what this replica has.
    pub incoming: Option<IncomingSnapshot>,
    /// How often the source is sent requests for what is missing.
    pub catch_up_backoff: CatchUpBackoff,
    /// The commit index last announced to the others.
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

    /// Raises the commit index to this entry, or to the last one that is there.
    pub(crate) fn record_committed(&mut self, index: LogIndex) {
        let known = index.min(self.log.last().index);
        self.committed = self.committed.max(known);
    }
}
