//! The state of another replica as known here. Plain data, updated by `membership`.
use magpiegap_protocol::{
    Heartbeat, Location, LogIndex, Millis, PeerReport, ReplicaId, ViewNumber,
};

/// The status that a replica reports of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Status {
    /// The newest view known to it.
    pub view: ViewNumber,
    /// Whether it serves in that view.
    pub serving: bool,
    /// Whether it can't be a chain member for now.
    pub unfit: bool,
    /// Whether its disk held all entries committed up to that view.
    pub complete: bool,
    /// The commit index known to it.
    pub committed: LogIndex,
    /// The zone and region of its machine.
    pub location: Location,
}

impl From<&Heartbeat> for Status {
    fn from(heartbeat: &Heartbeat) -> Status {
        let Heartbeat {
            view,
            serving,
            unfit,
            complete,
            committed,
            location,
            ..
        } = *heartbeat;
        Status {
            view,
            serving,
            unfit,
            complete,
            committed,
            location,
        }
    }
}

impl From<&PeerReport> for Status {
    fn from(report: &PeerReport) -> Status {
        let PeerReport {
            view,
            serving,
            unfit,
            complete,
            committed,
            location,
            ..
        } = *report;
        Status {
            view,
            serving,
            unfit,
            complete,
            committed,
            location,
        }
    }
}

/// The report on a replica in a heartbeat, if there is one.
pub(crate) fn report_on(heartbeat: &Heartbeat, replica: ReplicaId) -> Option<&PeerReport> {
    heartbeat
        .reports
        .iter()
        .find(|report| report.replica == replica)
}

/// The state of another replica as known here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub replica: ReplicaId,
    /// The status that it last reported.
    pub status: Status,
    /// Since when it has been heard from without interruption.
    pub first_heard: Millis,
    /// When this replica, or a peer that reported it, last received a heartbeat from it.
    pub last_heard: Millis,
    /// When it last reported that it receives this replica's heartbeats; `None` if it never did.
    pub last_heard_us: Option<Millis>,
    /// When its last heartbeat arrived at this replica.
    pub last_direct: Option<Millis>,
    /// When a connection to its address was last refused. It is unreachable unless it was heard from after that.
    pub refused_at: Option<Millis>,
    /// Its wall clock minus this replica's steady clock.
    pub wall_offset: Option<i64>,
    /// The newest `sent_at` in its heartbeats to this replica.
    pub echo: Millis,
}

impl Peer {
    /// A replica that is heard from or reported for the first time.
    pub(crate) fn new(replica: ReplicaId, status: Status, at: Millis, now: Millis) -> Peer {
        Peer {
            replica,
            status,
            first_heard: now,
            last_heard: at,
            last_heard_us: None,
            last_direct: None,
            refused_at: None,
            wall_offset: None,
            echo: 0,
        }
    }
}
