//! The interface of the replicated state: entries are applied to it, snapshots are taken of it, and it is restored
//! from the chunks of a snapshot.
use magpiegap_protocol::{DecodeError, Entry, LogPosition};
use std::{fmt, sync::Arc};

/// An immutable state at one log position. Its chunks are encoded one at a time, on demand.
pub trait StateSnapshot: fmt::Debug + Send + Sync {
    /// The last entry applied to this state.
    fn position(&self) -> LogPosition;
    /// The number of chunks; at least one.
    fn chunks(&self) -> u32;
    /// Encodes a chunk; empty when there is no chunk with this number.
    fn chunk(&self, number: u32) -> Vec<u8>;
}

/// The replicated state machine.
pub trait StateMachine {
    /// Applies the next entry.
    fn apply(&mut self, entry: &Entry);
    /// The last entry applied.
    fn position(&self) -> LogPosition;
    /// Takes a snapshot of the current state.
    fn snapshot(&self) -> Arc<dyn StateSnapshot>;
    /// Begins to restore another state. The current state stays in place until `finish_restore` succeeds.
    fn begin_restore(&mut self);
    /// Adds the next chunk of the state to be restored.
    ///
    /// # Errors
    /// When the bytes are not a valid chunk.
    fn add_chunk(&mut self, chunk: &[u8]) -> Result<(), RestoreError>;
    /// Replaces the current state by the restored one.
    ///
    /// # Errors
    /// When the restored state is incomplete or at another position; the current state stays in place.
    fn finish_restore(&mut self, position: LogPosition) -> Result<(), RestoreError>;
}

/// Why a state could not be restored from a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// A chunk can't be decoded.
    #[error("cannot decode a snapshot chunk: {0}")]
    Chunk(#[from] DecodeError),
    /// Chunks are missing.
    #[error("snapshot is incomplete")]
    Incomplete,
    /// The chunks are from a state at another position.
    #[error("snapshot is at {found:?}, expected {expected:?}")]
    PositionMismatch {
        /// The position announced for the snapshot.
        expected: LogPosition,
        /// The position found in its chunks.
        found: LogPosition,
    },
}

/// A snapshot held as encoded chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EncodedSnapshot {
    position: LogPosition,
    chunks: Vec<Vec<u8>>,
}

impl EncodedSnapshot {
    /// Creates a snapshot from encoded chunks.
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

/// Restores a state machine from a snapshot.
///
/// # Errors
/// When the snapshot can't be restored; the state machine keeps its state.
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
