//! A state that counts what was applied to it.
use magpiegap_control::{FrozenState, StateMachine};
use magpiegap_protocol::{decode, encode, Entry, Position, ProposalId};
use std::sync::Arc;

/// How many parts a state has.
const PARTS: u32 = 9;

/// Counts what was applied, and remembers what that was until it is asked.
#[derive(Clone, Debug, Default)]
pub struct CountingState {
    pub position: Position,
    applied: Vec<(u64, ProposalId)>,
    building: Vec<Position>,
}

#[derive(Debug)]
struct FrozenCount(Position);

impl FrozenState for FrozenCount {
    fn position(&self) -> Position {
        self.0
    }
    fn parts(&self) -> u32 {
        PARTS
    }
    fn part(&self, _number: u32) -> Vec<u8> {
        encode(&self.0)
    }
}

impl CountingState {
    /// Takes what was applied since this was last asked.
    pub fn take_applied(&mut self) -> Vec<(u64, ProposalId)> {
        std::mem::take(&mut self.applied)
    }
}

impl StateMachine for CountingState {
    fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.position.index,
            self.position.index + 1,
            "entries are applied in order"
        );
        self.position = entry.position;
        self.applied.push((entry.position.index, entry.proposal));
    }
    fn position(&self) -> Position {
        self.position
    }
    fn freeze(&self) -> Arc<dyn FrozenState> {
        Arc::new(FrozenCount(self.position))
    }
    fn begin_restore(&mut self) {
        self.building.clear();
    }
    fn add_part(&mut self, part: &[u8]) -> bool {
        decode(part)
            .map(|position| self.building.push(position))
            .is_ok()
    }
    fn finish_restore(&mut self, position: Position) -> bool {
        let built = std::mem::take(&mut self.building);
        let whole = built.len() == PARTS as usize && built.iter().all(|part| *part == position);
        if whole {
            self.position = position;
        }
        whole
    }
}
