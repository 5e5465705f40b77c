//! The entries that a replica has in memory: all that are not applied, and the latest that are.
use magpiegap_protocol::{Entry, Position};
use std::collections::VecDeque;

/// How many applied entries are kept for successors that lag behind.
const APPLIED_KEPT: usize = 4000;

/// A window of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The place before the first entry in memory.
    before: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(before: Position, entries: Vec<Entry>) -> Log {
        Log { before, entries: entries.into() }
    }

    /// The last entry's place.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.before, |entry| entry.position)
    }

    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// An entry.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.before.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// All entries after this one; `None` when they are not all in memory.
    pub fn after(&self, index: u64) -> Option<Vec<Entry>> {
        let skip = usize::try_from(index.checked_sub(self.before.index)?).ok()?;
        (skip <= self.entries.len()).then(|| self.entries.iter().skip(skip).cloned().collect())
    }

    /// Whether this very entry is, or was, at this place.
    pub fn contains(&self, position: Position) -> bool {
        position == self.before || self.get(position.index).is_some_and(|entry| entry.position == position)
    }

    /// Lets go of entries that were applied long ago.
    pub fn trim(&mut self, applied: u64) {
        let keep_from = applied.saturating_sub(APPLIED_KEPT as u64);
        while self.entries.front().is_some_and(|entry| entry.position.index <= keep_from) {
            if let Some(entry) = self.entries.pop_front() {
                self.before = entry.position;
            }
        }
    }
}
