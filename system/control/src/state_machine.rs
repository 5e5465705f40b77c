//! The replicated state as the replica below it sees it: something that entries are applied to, of which snapshots can be
//! taken, and that can be restored from the chunks of one.
use magpiegap_protocol::{DecodeError, Entry, LogPosition};
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
    /// Adds the next chunk.
    ///
    /// # Errors
    /// When the bytes are none.
    fn add_chunk(&mut self, chunk: &[u8]) -> Result<(), RestoreError>;
    /// Replaces the present state by the restored one.
    ///
    /// # Errors
    /// When that is not complete, or not the state at this position; the present one stays.
    fn finish_restore(&mut self, position: LogPosition) -> Result<(), RestoreError>;
}

/// Why a state could not be restored from a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// A chunk can't be read.
    #[error("a chunk can't be read: {0}")]
    Chunk(#[from] DecodeError),
    /// Chunks are missing.
    #[error("it is not complete")]
    Incomplete,
    /// The chunks are those of a state at another position.
    #[error("it is the state at {found:?}, and not at {expected:?}")]
    OtherPosition {
        /// Where the snapshot was said to be.
        expected: LogPosition,
        /// Where it is.
        found: LogPosition,
    },
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

/// Restores a machine from a snapshot.
///
/// # Errors
/// When that can't be read; the machine keeps its state.
pub fn restore(
    machine: &mut dyn StateMachine,
    state: &dyn StateSnapshot,
) -> Result<(), RestoreError> {
    machine.begin_restore();
    for number in 0..state.chunks() {
        machine.add_chunk(&state.chunk(number))?;
    }
    machine.finish_restore(state.position())
}
