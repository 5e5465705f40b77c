//! What the stories of replicas share.
#![allow(dead_code)]
pub mod group;

use magpiegap_control::{ControlSettings, StateMachine, Tolerance};
use magpiegap_protocol::{Entry, Location, Position, Replica as ReplicaId};

/// A state that nothing is done with.
pub struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _entry: &Entry) {}
    fn position(&self) -> Position {
        Position::default()
    }
    fn encode(&self) -> Vec<u8> {
        Vec::new()
    }
    fn restore(&mut self, _state: &[u8]) -> bool {
        true
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
