//! The entries that a replica has in memory: all that are not applied, and the latest that are.
use magpiegap_protocol::{Entry, Position};
use std::collections::VecDeque;

/// How many applied entries are kept for others that lag behind ...
const APPLIED_KEPT: u64 = 4000;
/// ... as long as all entries in memory take up no more than about this many bytes.
const BYTES_KEPT: usize = 16 << 20;

/// Entries that follow each other.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub entries: Vec<Entry>,
    /// There are more after these.
    pub more: bool,
}

/// A window of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The place before the first entry in memory.
    before: Position,
    entries: VecDeque<Entry>,
    /// About how many bytes the entries take up.
    bytes: usize,
}

impl Log {
    pub fn new(before: Position, entries: Vec<Entry>) -> Log {
        let bytes = entries.iter().map(Entry::rough_bytes).sum();
        Log {
            before,
            entries: entries.into(),
            bytes,
        }
    }

    /// The last entry's place.
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.before, |entry| entry.position)
    }

    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.rough_bytes();
        self.entries.push_back(entry);
    }

    /// An entry.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.before.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// All entries after this one; `None` when they are not all in memory.
    pub fn after(&self, index: u64) -> Option<Vec<Entry>> {
        self.run_after(index, usize::MAX).map(|run| run.entries)
    }

    /// The first entries after this one, of about so many bytes, one at least; `None` when they are not all in memory.
    pub fn run_after(&self, index: u64, most_bytes: usize) -> Option<Run> {
        self.run_between(index, self.last().index, most_bytes)
    }

    /// The first entries after one and up to another, of about so many bytes, one at least; `None` when they are not all in
    /// memory.
    pub fn run_between(&self, index: u64, last: u64, most_bytes: usize) -> Option<Run> {
        let skip = usize::try_from(index.checked_sub(self.before.index)?).ok()?;
        let until = usize::try_from(last.checked_sub(self.before.index)?)
            .ok()?
            .min(self.entries.len());
        if skip > until {
            return None;
        }
        let mut bytes: usize = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(entry.rough_bytes());
            is_first || bytes <= most_bytes
        };
        let wanted = self.entries.range(skip..until);
        let entries: Vec<Entry> = wanted.take_while(fits).cloned().collect();
        let more = skip + entries.len() < until;
        Some(Run { entries, more })
    }

    /// Whether the log comes as far as this entry and has all that follow it in memory.
    pub fn has_all_after(&self, index: u64) -> bool {
        (self.before.index..=self.last().index).contains(&index)
    }

    /// Whether this very entry is, or was, at this place.
    pub fn contains(&self, position: Position) -> bool {
        position == self.before
            || self
                .get(position.index)
                .is_some_and(|entry| entry.position == position)
    }

    /// Lets go of entries that were applied long ago, and of more of them where they take up much room, but of none after
    /// `needed`.
    pub fn trim(&mut self, applied: u64, needed: u64) {
        let most = applied.min(needed);
        while let Some(index) = self.entries.front().map(|entry| entry.position.index) {
            let surplus = applied.saturating_sub(index) >= APPLIED_KEPT || self.bytes > BYTES_KEPT;
            if index > most || !surplus {
                return;
            }
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.rough_bytes();
                self.before = entry.position;
            }
        }
    }
}
