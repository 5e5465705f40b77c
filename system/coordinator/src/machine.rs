//! The replicated state, with what applying entries has changed since it was last looked at.
use magpiegap_control::{DurableState, StateMachine};
use magpiegap_jobs::{Applied, State};
use magpiegap_protocol::{decode, encode, DecodeError, Entry, Position};

/// The replicated state and the entries applied since they were last taken.
#[derive(Default)]
pub struct Machine {
    /// The state.
    pub state: State,
    pub(crate) applied: Vec<(Entry, Applied)>,
    pub(crate) restored: bool,
}

impl Machine {
    /// A machine with this state.
    pub fn new(state: State) -> Machine {
        Machine { state, ..Machine::default() }
    }

    /// A machine with the state that was found on disk.
    ///
    /// # Errors
    /// When the bytes are no state that this build can read.
    pub fn recover(durable: &DurableState) -> Result<Machine, DecodeError> {
        decode(&durable.state).map(Machine::new)
    }
}

impl StateMachine for Machine {
    fn apply(&mut self, entry: &Entry) {
        let applied = self.state.apply(entry);
        self.applied.push((entry.clone(), applied));
    }

    fn position(&self) -> Position {
        self.state.position
    }

    fn encode(&self) -> Vec<u8> {
        encode(&self.state)
    }

    fn restore(&mut self, state: &[u8]) -> bool {
        match decode(state) {
            Ok(state) => {
                self.state = state;
                self.restored = true;
                true
            }
            Err(_) => false,
        }
    }
}
