//! Adapts the replicated state to the state machine interface of the log, and collects the changes of applied entries.
use magpiegap_control::{DurableState, RestoreError, StateMachine, StateSnapshot};
use magpiegap_jobs::{Applied, JobsSnapshot, SnapshotBuilder, State};
use magpiegap_protocol::{DecodeError, Entry, LogPosition, ProposalId, RoleToken};
use std::sync::Arc;

/// An applied entry without its command, and the changes that it made.
pub(crate) struct AppliedEntry {
    pub position: LogPosition,
    pub proposal: ProposalId,
    pub role_token: Option<RoleToken>,
    pub applied: Applied,
}

/// The replicated state, and the entries applied since they were last processed.
#[derive(Default)]
pub struct Machine {
    /// The replicated state.
    pub state: State,
    /// Collects the chunks of the snapshot that is being restored.
    snapshot_builder: SnapshotBuilder,
    pub(crate) applied: Vec<AppliedEntry>,
    /// The state was replaced by a snapshot since this flag was last cleared.
    pub(crate) was_restored: bool,
}

impl Machine {
    /// Creates a machine with an initial state.
    pub fn new(state: State) -> Machine {
        Machine {
            state,
            ..Machine::default()
        }
    }

    /// Restores the machine from durable state.
    ///
    /// # Errors
    /// Returns an error if the stored state cannot be decoded by this version.
    pub fn recover(durable: &DurableState) -> Result<Machine, DecodeError> {
        let mut builder = SnapshotBuilder::default();
        for number in 0..durable.state.chunks() {
            builder.add(&durable.state.chunk(number))?;
        }
        Ok(Machine::new(builder.finish().unwrap_or_default()))
    }
}

/// A snapshot of the state at one log position.
#[derive(Debug)]
struct MachineSnapshot(JobsSnapshot);

impl StateSnapshot for MachineSnapshot {
    fn position(&self) -> LogPosition {
        self.0.position()
    }

    fn chunks(&self) -> u32 {
        self.0.chunks()
    }

    fn chunk(&self, number: u32) -> Vec<u8> {
        self.0.chunk(number)
    }
}

/// Takes a snapshot in the form that the replica persists and transfers.
pub fn take_snapshot(state: &State) -> Arc<dyn StateSnapshot> {
    Arc::new(MachineSnapshot(state.snapshot()))
}

impl StateMachine for Machine {
    fn apply(&mut self, entry: &Entry) {
        let applied = self.state.apply(entry);
        self.applied.push(AppliedEntry {
            position: entry.position,
            proposal: entry.proposal,
            role_token: entry.role_token.clone(),
            applied,
        });
    }

    fn position(&self) -> LogPosition {
        self.state.position
    }

    fn snapshot(&self) -> Arc<dyn StateSnapshot> {
        take_snapshot(&self.state)
    }

    fn begin_restore(&mut self) {
        self.snapshot_builder = SnapshotBuilder::default();
    }

    fn add_chunk(&mut self, chunk: &[u8]) -> Result<(), RestoreError> {
        Ok(self.snapshot_builder.add(chunk)?)
    }

    fn finish_restore(&mut self, position: LogPosition) -> Result<(), RestoreError> {
        let restored = std::mem::take(&mut self.snapshot_builder).finish();
        let state = restored.ok_or(RestoreError::Incomplete)?;
        if state.position != position {
            return Err(RestoreError::PositionMismatch {
                expected: position,
                found: state.position,
            });
        }
        self.state = state;
        self.was_restored = true;
        Ok(())
    }
}
