//! What the stories of replicas share.
#![allow(dead_code)]
pub mod counting_state;
pub mod disk_change;
pub mod group;

use magpiegap_control::{
    ControlSettings, EncodedState, FrozenState, Output, Replica, Snapshot, StateMachine, Tolerance,
};
use magpiegap_protocol::{Entry, Heartbeat, Location, PeerReport, Position, Replica as ReplicaId};
use std::sync::Arc;

/// A state that nothing is done with.
pub struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _entry: &Entry) {}
    fn position(&self) -> Position {
        Position::default()
    }
    fn freeze(&self) -> Arc<dyn FrozenState> {
        no_state()
    }
    fn begin_restore(&mut self) {}
    fn add_part(&mut self, _part: &[u8]) -> bool {
        true
    }
    fn finish_restore(&mut self, _position: Position) -> bool {
        true
    }
}

/// A state of one part, with nothing in it.
pub fn no_state() -> Arc<dyn FrozenState> {
    Arc::new(EncodedState::new(Position::default(), vec![Vec::new()]))
}

/// A replica with what is on its disk, all of which has been written anew.
pub fn started(settings: ControlSettings, disk: Snapshot) -> Replica {
    let mut replica = Replica::new(settings, disk, 0);
    let written = replica.take_outputs();
    let [Output::Checkpoint { ticket, .. }] = written[..] else {
        panic!("not only a checkpoint: {written:?}")
    };
    replica.persisted(ticket, 0, &mut NoState);
    replica.take_outputs();
    replica
}

/// What a replica at work in a view tells of another one that it hears.
pub fn report(of: ReplicaId, view: u64) -> PeerReport {
    PeerReport {
        replica: of,
        age_ms: 1,
        view,
        serving: false,
        unfit: false,
        complete: true,
        committed: 0,
        both_ways: true,
        location: Location::default(),
        echo: 0,
    }
}

/// A heartbeat of a replica that has all that was committed up to a view, and hears nobody.
pub fn heartbeat(view: u64) -> Heartbeat {
    Heartbeat {
        view,
        serving: false,
        unfit: false,
        heard: Vec::new(),
        wall_ms: 0,
        committed: 0,
        complete: true,
        location: Location::default(),
        sent_at: 0,
        sealed: false,
    }
}

/// Settings of a replica that knows these addresses; one machine may be lost.
pub fn settings(own: ReplicaId, seeds: Vec<u32>) -> ControlSettings {
    ControlSettings {
        own,
        seeds,
        location: Location::default(),
        tolerance: Tolerance::of_machines(1),
        heartbeat_ms: 60,
        suspect_ms: 320,
        seed: 1,
    }
}
