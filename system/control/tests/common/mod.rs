//! What the tests of replicas share.
#![allow(dead_code)]
pub(crate) mod counting_state;
pub(crate) mod disk_change;
pub(crate) mod group;

use magpiegap_control::{
    ControlSettings, DurableState, EncodedSnapshot, Output, Replica, RestoreError, StateMachine,
    StateSnapshot, Tolerance,
};
use magpiegap_protocol::{
    Entry, Heartbeat, Location, LogIndex, LogPosition, PeerReport, ReplicaId, ViewNumber,
    WallMillis,
};
use std::sync::Arc;

/// A state that nothing is done with.
pub(crate) struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _entry: &Entry) {}
    fn position(&self) -> LogPosition {
        LogPosition::default()
    }
    fn snapshot(&self) -> Arc<dyn StateSnapshot> {
        no_state()
    }
    fn begin_restore(&mut self) {}
    fn add_chunk(&mut self, _chunk: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
    fn finish_restore(&mut self, _position: LogPosition) -> Result<(), RestoreError> {
        Ok(())
    }
}

/// A snapshot of one chunk, with nothing in it.
pub(crate) fn no_state() -> Arc<dyn StateSnapshot> {
    Arc::new(EncodedSnapshot::new(
        LogPosition::default(),
        vec![Vec::new()],
    ))
}

/// A replica with what is on its disk, all of which has been written anew.
pub(crate) fn started(settings: ControlSettings, disk: DurableState) -> Replica {
    let mut replica = Replica::new(settings, disk, 0);
    let written = replica.poll_outputs();
    let [Output::Checkpoint { ticket, .. }] = written[..] else {
        panic!("not only a checkpoint: {written:?}")
    };
    replica.handle_persisted(ticket, 0, &mut NoState);
    replica.poll_outputs();
    replica
}

/// What a replica active in a view reports of another one that it hears.
pub(crate) fn report(of: ReplicaId, view: u64) -> PeerReport {
    PeerReport {
        replica: of,
        age_ms: 1,
        view: ViewNumber(view),
        serving: false,
        unfit: false,
        complete: true,
        committed: LogIndex(0),
        bidirectional: true,
        location: Location::default(),
        echo: 0,
    }
}

/// A heartbeat of a replica that has all that was committed up to a view, and hears nobody.
pub(crate) fn heartbeat(view: u64) -> Heartbeat {
    Heartbeat {
        view: ViewNumber(view),
        serving: false,
        unfit: false,
        reports: Vec::new(),
        wall_ms: WallMillis(0),
        committed: LogIndex(0),
        complete: true,
        location: Location::default(),
        sent_at: 0,
        sealed: false,
        disk: None,
    }
}

/// Settings of a replica that knows these addresses; one machine may be lost.
pub(crate) fn settings(own: ReplicaId, seeds: Vec<u32>) -> ControlSettings {
    ControlSettings {
        own,
        seeds,
        location: Location::default(),
        tolerance: Tolerance::of_machines(1),
        heartbeat_interval_ms: 60,
        suspicion_timeout_ms: 320,
        seed: 1,
    }
}
