//! The replicated state, with what applying entries has changed since it was last looked at.
use magpiegap_control::{DurableState, StateMachine, StateSnapshot};
use magpiegap_jobs::{Applied, JobsSnapshot, SnapshotBuilder, State};
use magpiegap_protocol::{DecodeError, Entry, LogPosition, ProposalId, RoleToken};
use std::sync::Arc;

/// What an applied entry was, and what it has changed. Not its command, which nobody asks for any more.
pub(crate) struct AppliedEntry {
    pub position: LogPosition,
    pub proposal: ProposalId,
    pub role_token: Option<RoleToken>,
    pub applied: Applied,
}

/// The replicated state and the entries applied since they were last taken.
#[derive(Default)]
pub struct Machine {
    /// The state.
    pub state: State,
    /// Another state that is being built up.
    building: SnapshotBuilder,
    pub(crate) applied: Vec<AppliedEntry>,
    pub(crate) restored: bool,
}

impl Machine {
    /// A machine with this state.
    pub fn new(state: State) -> Machine {
        Machine {
            state,
            ..Machine::default()
        }
    }

    /// A machine with the state that was found on disk.
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

/// A state at one moment.
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

/// A state at one moment, as the replica below keeps and tells it.
pub fn take_snapshot(state: &State) -> Arc<dyn StateSnapshot> {
    Arc::new(MachineSnapshot(state.snapshot()))
}

impl StateMachine for Machine {
    fn apply(&mut self, entry: &Entry) {
        let applied = self.state.apply(entry);
        let Entry {
            position,
            proposal,
            role_token,
            ..
        } = entry;
        let (position, proposal, role_token) = (*position, *proposal, role_token.clone());
        self.applied.push(AppliedEntry {
            position,
            proposal,
            role_token,
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
        self.building = SnapshotBuilder::default();
    }

    fn add_chunk(&mut self, chunk: &[u8]) -> bool {
        self.building.add(chunk).is_ok()
    }

    fn finish_restore(&mut self, position: LogPosition) -> bool {
        let built = std::mem::take(&mut self.building).finish();
        let Some(state) = built.filter(|state| state.position == position) else {
            return false;
        };
        self.state = state;
        self.restored = true;
        true
    }
}
