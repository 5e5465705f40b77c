//! What is known of another replica: data only, kept by `membership`.
use magpiegap_protocol::{
    Heartbeat, Location, LogIndex, Millis, PeerReport, ReplicaId, ViewNumber,
};

/// What a replica says of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Status {
    /// The newest view that it knows.
    pub view: ViewNumber,
    /// It serves in that view.
    pub serving: bool,
    /// It can't be a member of a chain for now.
    pub unfit: bool,
    /// Its disk had all that was committed up to that view.
    pub complete: bool,
    /// The newest entry that it knew to be committed.
    pub committed: LogIndex,
    /// Its zone and region.
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

/// What a heartbeat reports on a replica.
pub(crate) fn report_on(heartbeat: &Heartbeat, replica: ReplicaId) -> Option<&PeerReport> {
    heartbeat
        .reports
        .iter()
        .find(|report| report.replica == replica)
}

/// What is known of another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub replica: ReplicaId,
    /// What it said last.
    pub status: Status,
    /// Since when it has been heard without a break.
    pub first_heard: Millis,
    /// When it was last heard, by this replica or by others that reported it.
    pub last_heard: Millis,
    /// When it last said that it hears us; `None`: it sends us nothing itself.
    pub last_heard_us: Option<Millis>,
    /// When it last sent us a heartbeat itself.
    pub last_direct: Option<Millis>,
    /// When a connection to its address was refused; what was heard until then counts no more.
    pub refused_at: Option<Millis>,
    /// Its time of day less our steady clock.
    pub wall_offset: Option<i64>,
    /// The newest `sent_at` in its heartbeats to us.
    pub echo: Millis,
}

impl Peer {
    /// A replica that is heard, or heard of, for the first time.
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
