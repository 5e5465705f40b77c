//! A state machine that records which entries were applied.
use magpiegap_control::{RestoreError, StateMachine, StateSnapshot};
use magpiegap_protocol::{decode, encode, Entry, LogPosition, ProposalId};
use std::sync::Arc;

/// The number of chunks of a snapshot.
const CHUNKS: u32 = 9;

/// A state that consists of the position of the last entry. It also records applied entries until they are taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountingState {
    pub position: LogPosition,
    applied: Vec<(u64, ProposalId)>,
    restoring: Vec<LogPosition>,
}

#[derive(Debug)]
struct CountSnapshot(LogPosition);

impl StateSnapshot for CountSnapshot {
    fn position(&self) -> LogPosition {
        self.0
    }
    fn chunks(&self) -> u32 {
        CHUNKS
    }
    fn chunk(&self, _number: u32) -> Vec<u8> {
        encode(&self.0)
    }
}

impl CountingState {
    /// Takes the entries that were applied since the last call.
    pub(crate) fn take_applied(&mut self) -> Vec<(u64, ProposalId)> {
        std::mem::take(&mut self.applied)
    }
}

impl StateMachine for CountingState {
    fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.position.index,
            self.position.index + 1,
            "entries must be applied in order"
        );
        self.position = entry.position;
        self.applied.push((entry.position.index.0, entry.proposal));
    }
    fn position(&self) -> LogPosition {
        self.position
    }
    fn snapshot(&self) -> Arc<dyn StateSnapshot> {
        Arc::new(CountSnapshot(self.position))
    }
    fn begin_restore(&mut self) {
        self.restoring.clear();
    }
    fn add_chunk(&mut self, chunk: &[u8]) -> Result<(), RestoreError> {
        self.restoring.push(decode(chunk)?);
        Ok(())
    }
    fn finish_restore(&mut self, position: LogPosition) -> Result<(), RestoreError> {
        let built = std::mem::take(&mut self.restoring);
        let is_complete =
            built.len() == CHUNKS as usize && built.iter().all(|chunk| *chunk == position);
        if !is_complete {
            return Err(RestoreError::Incomplete);
        }
        self.position = position;
        Ok(())
    }
}
