//! Helpers shared by the tests of replicas.
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

/// A state machine that ignores all entries.
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

/// A snapshot with one empty chunk.
pub(crate) fn no_state() -> Arc<dyn StateSnapshot> {
    Arc::new(EncodedSnapshot::new(
        LogPosition::default(),
        vec![Vec::new()],
    ))
}

/// A replica that has started from this disk, and whose first checkpoint is durable.
pub(crate) fn started(settings: ControlSettings, disk: DurableState) -> Replica {
    let mut replica = Replica::new(settings, disk, 0);
    let written = replica.poll_outputs();
    let [Output::Checkpoint { ticket, .. }] = written[..] else {
        panic!("expected a checkpoint only, got {written:?}")
    };
    replica.handle_persisted(ticket, 0, &mut NoState);
    replica.poll_outputs();
    replica
}

/// A report, by a replica that knows view `view`, on another replica with a bidirectional connection.
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

/// A heartbeat of a replica that is complete up to a view, and has received no heartbeats.
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

/// Settings of a replica with these seeds that tolerates the loss of one machine.
pub(crate) fn settings(own: ReplicaId, seeds: Vec<u32>) -> ControlSettings {
    ControlSettings {
        own,
        seeds,
        location: Location::default(),
        tolerance: Tolerance::of_machines(1),
        heartbeat_interval_ms: 60,
        suspicion_timeout_ms: 320,
        random_seed: 1,
    }
}
