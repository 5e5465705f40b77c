//! The replicated state as the replica below it sees it: something that entries are applied to, of which snapshots can be
//! taken, and that can be restored from the chunks of one.
use magpiegap_protocol::{Entry, LogPosition};
use std::{fmt, sync::Arc};

/// A state at one moment, which does not change any more. Its chunks are encoded one at a time, when they are needed.
pub trait StateSnapshot: fmt::Debug + Send + Sync {
    /// The last entry applied to it.
    fn position(&self) -> LogPosition;
    /// How many chunks it has, at least one.
    fn chunks(&self) -> u32;
    /// One of its chunks, encoded; empty for one that it does not have.
    fn chunk(&self, number: u32) -> Vec<u8>;
}

/// The replicated state.
pub trait StateMachine {
    /// Applies the next entry.
    fn apply(&mut self, entry: &Entry);
    /// The last entry applied.
    fn position(&self) -> LogPosition;
    /// The state as it is now.
    fn snapshot(&self) -> Arc<dyn StateSnapshot>;
    /// Begins to restore another state. The present one stays until that is complete.
    fn begin_restore(&mut self);
    /// Adds the next chunk; `false` when the bytes are none.
    fn add_chunk(&mut self, chunk: &[u8]) -> bool;
    /// Replaces the present state by the restored one; `false`, and no change, when it is not that of this position.
    fn finish_restore(&mut self, position: LogPosition) -> bool;
}

/// A snapshot as its encoded chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EncodedSnapshot {
    position: LogPosition,
    chunks: Vec<Vec<u8>>,
}

impl EncodedSnapshot {
    /// A snapshot of these chunks.
    pub fn new(position: LogPosition, chunks: Vec<Vec<u8>>) -> EncodedSnapshot {
        EncodedSnapshot { position, chunks }
    }
}

impl StateSnapshot for EncodedSnapshot {
    fn position(&self) -> LogPosition {
        self.position
    }

    fn chunks(&self) -> u32 {
        self.chunks.len() as u32
    }

    fn chunk(&self, number: u32) -> Vec<u8> {
        self.chunks
            .get(number as usize)
            .cloned()
            .unwrap_or_default()
    }
}

/// Restores a machine from a snapshot; `false`, and no change, when that can't be read.
pub fn restore(machine: &mut dyn StateMachine, state: &dyn StateSnapshot) -> bool {
    machine.begin_restore();
    let read = (0..state.chunks()).all(|number| machine.add_chunk(&state.chunk(number)));
    read && machine.finish_restore(state.position())
}
