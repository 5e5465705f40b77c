//! The replicated state as the replica below it sees it: something that entries are applied to, that can be frozen at one
//! moment, and that can be built up anew from the parts of a frozen one.
use magpiegap_protocol::{Entry, Position};
use std::{fmt, sync::Arc};

/// A state at one moment, which does not change any more. Its parts are encoded one at a time, when they are needed.
pub trait FrozenState: fmt::Debug + Send + Sync {
    /// The last entry applied to it.
    fn position(&self) -> Position;
    /// How many parts it has, at least one.
    fn parts(&self) -> u32;
    /// One of its parts, encoded; empty for one that it does not have.
    fn part(&self, number: u32) -> Vec<u8>;
}

/// The replicated state.
pub trait StateMachine {
    /// Applies the next entry.
    fn apply(&mut self, entry: &Entry);
    /// The last entry applied.
    fn position(&self) -> Position;
    /// The state as it is now.
    fn freeze(&self) -> Arc<dyn FrozenState>;
    /// Begins to build up another state. The present one stays until that is whole.
    fn begin_restore(&mut self);
    /// Adds the next part; `false` when the bytes are none.
    fn add_part(&mut self, part: &[u8]) -> bool;
    /// Puts the state that was built up into the place of the present one; `false`, and no change, when it is not that of
    /// this position.
    fn finish_restore(&mut self, position: Position) -> bool;
}

/// A state as its encoded parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EncodedState {
    position: Position,
    parts: Vec<Vec<u8>>,
}

impl EncodedState {
    /// A state of these parts.
    pub fn new(position: Position, parts: Vec<Vec<u8>>) -> EncodedState {
        EncodedState { position, parts }
    }
}

impl FrozenState for EncodedState {
    fn position(&self) -> Position {
        self.position
    }

    fn parts(&self) -> u32 {
        self.parts.len() as u32
    }

    fn part(&self, number: u32) -> Vec<u8> {
        self.parts.get(number as usize).cloned().unwrap_or_default()
    }
}

/// Restores a machine from a state; `false`, and no change, when that can't be read.
pub fn restore(machine: &mut dyn StateMachine, state: &dyn FrozenState) -> bool {
    machine.begin_restore();
    let read = (0..state.parts()).all(|number| machine.add_part(&state.part(number)));
    read && machine.finish_restore(state.position())
}
