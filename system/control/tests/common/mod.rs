//! What the stories of replicas share.
#![allow(dead_code)]
pub mod group;

use magpiegap_control::StateMachine;
use magpiegap_protocol::{Entry, Position};

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
