//! The replicated state as the state machine of the log, with what the entries applied since the last step have changed.
use magpiegap_control::{DurableState, RestoreError, StateMachine, StateSnapshot};
use magpiegap_jobs::{Applied, JobsSnapshot, SnapshotBuilder, State};
use magpiegap_protocol::{DecodeError, Entry, LogPosition, ProposalId, RoleToken};
use std::sync::Arc;

/// An applied entry without its command, and what it has changed.
pub(crate) struct AppliedEntry {
    pub position: LogPosition,
    pub proposal: ProposalId,
    pub role_token: Option<RoleToken>,
    pub applied: Applied,
}

/// The replicated state, and the entries applied since the last step.
#[derive(Default)]
pub struct Machine {
    /// The state.
    pub state: State,
    /// A state that is being restored from the chunks of a snapshot.
    restoring: SnapshotBuilder,
    pub(crate) applied: Vec<AppliedEntry>,
    /// The state was replaced by a snapshot since the last step.
    pub(crate) was_restored: bool,
}

impl Machine {
    /// A machine with this state.
    pub fn new(state: State) -> Machine {
        Machine {
            state,
            ..Machine::default()
        }
    }

    /// Restores the state that was found on disk.
    ///
    /// # Errors
    /// When the bytes are no state that this build can read.
    pub fn recover(durable: &DurableState) -> Result<Machine, DecodeError> {
        let mut builder = SnapshotBuilder::default();
        for number in 0..durable.state.chunks() {
            builder.add(&durable.state.chunk(number))?;
        }
        Ok(Machine::new(builder.finish().unwrap_or_default()))
    }
}

/// A state at one position of the log.
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

/// Takes a snapshot of a state, as the replica below saves and sends it.
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
        self.restoring = SnapshotBuilder::default();
    }

    fn add_chunk(&mut self, chunk: &[u8]) -> Result<(), RestoreError> {
        Ok(self.restoring.add(chunk)?)
    }

    fn finish_restore(&mut self, position: LogPosition) -> Result<(), RestoreError> {
        let built = std::mem::take(&mut self.restoring).finish();
        let state = built.ok_or(RestoreError::Incomplete)?;
        if state.position != position {
            return Err(RestoreError::OtherPosition {
                expected: position,
                found: state.position,
            });
        }
        self.state = state;
        self.was_restored = true;
        Ok(())
    }
}
