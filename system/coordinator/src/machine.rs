//! The replicated state, with what applying entries has changed since it was last looked at.
use magpiegap_control::{DurableState, FrozenState, StateMachine};
use magpiegap_jobs::{Applied, FrozenState as FrozenJobs, State, StateBuilder};
use magpiegap_protocol::{DecodeError, Entry, Fence, Position, ProposalId};
use std::sync::Arc;

/// What an applied entry was, and what it has changed. Not its command, which nobody asks for any more.
pub(crate) struct AppliedEntry {
    pub position: Position,
    pub proposal: ProposalId,
    pub fence: Option<Fence>,
    pub applied: Applied,
}

/// The replicated state and the entries applied since they were last taken.
#[derive(Default)]
pub struct Machine {
    /// The state.
    pub state: State,
    /// Another state that is being built up.
    building: StateBuilder,
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
        let mut builder = StateBuilder::default();
        for number in 0..durable.state.parts() {
            builder.add(&durable.state.part(number))?;
        }
        Ok(Machine::new(builder.finish().unwrap_or_default()))
    }
}

/// A state at one moment.
#[derive(Debug)]
struct Frozen(FrozenJobs);

impl FrozenState for Frozen {
    fn position(&self) -> Position {
        self.0.position()
    }

    fn parts(&self) -> u32 {
        self.0.parts()
    }

    fn part(&self, number: u32) -> Vec<u8> {
        self.0.part(number)
    }
}

/// A state at one moment, as the replica below keeps and tells it.
pub fn freeze(state: &State) -> Arc<dyn FrozenState> {
    Arc::new(Frozen(state.freeze()))
}

impl StateMachine for Machine {
    fn apply(&mut self, entry: &Entry) {
        let applied = self.state.apply(entry);
        let Entry {
            position,
            proposal,
            fence,
            ..
        } = entry;
        let (position, proposal, fence) = (*position, *proposal, fence.clone());
        self.applied.push(AppliedEntry {
            position,
            proposal,
            fence,
            applied,
        });
    }

    fn position(&self) -> Position {
        self.state.position
    }

    fn freeze(&self) -> Arc<dyn FrozenState> {
        freeze(&self.state)
    }

    fn begin_restore(&mut self) {
        self.building = StateBuilder::default();
    }

    fn add_part(&mut self, part: &[u8]) -> bool {
        self.building.add(part).is_ok()
    }

    fn finish_restore(&mut self, position: Position) -> bool {
        let built = std::mem::take(&mut self.building).finish();
        let Some(state) = built.filter(|state| state.position == position) else {
            return false;
        };
        self.state = state;
        self.restored = true;
        true
    }
}
