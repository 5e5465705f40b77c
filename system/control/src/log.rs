//! The entries that a replica has in memory: all that are not applied, and the latest that are.
use magpiegap_protocol::{Entry, LogIndex, LogPosition};
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
    before: LogPosition,
    entries: VecDeque<Entry>,
    /// About how many bytes the entries take up.
    bytes: usize,
}

impl Log {
    pub(crate) fn new(before: LogPosition, entries: Vec<Entry>) -> Log {
        let bytes = entries.iter().map(Entry::estimated_bytes).sum();
        Log {
            before,
            entries: entries.into(),
            bytes,
        }
    }

    /// The last entry's place.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.before, |entry| entry.position)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.bytes += entry.estimated_bytes();
        self.entries.push_back(entry);
    }

    /// An entry.
    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_entries_since(self.before.index.next())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// All entries after this one; `None` when they are not all in memory.
    pub(crate) fn after(&self, index: LogIndex) -> Option<Vec<Entry>> {
        self.run_after(index, usize::MAX).map(|run| run.entries)
    }

    /// The first entries after this one, of about so many bytes, one at least; `None` when they are not all in memory.
    pub(crate) fn run_after(&self, index: LogIndex, most_bytes: usize) -> Option<Run> {
        self.run_between(index, self.last().index, most_bytes)
    }

    /// The first entries after one and up to another, of about so many bytes, one at least; `None` when they are not all in
    /// memory.
    pub(crate) fn run_between(
        &self,
        index: LogIndex,
        last: LogIndex,
        most_bytes: usize,
    ) -> Option<Run> {
        let skip = usize::try_from(index.checked_entries_since(self.before.index)?).ok()?;
        let until = usize::try_from(last.checked_entries_since(self.before.index)?)
            .ok()?
            .min(self.entries.len());
        if skip > until {
            return None;
        }
        let mut bytes: usize = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(entry.estimated_bytes());
            is_first || bytes <= most_bytes
        };
        let wanted = self.entries.range(skip..until);
        let entries: Vec<Entry> = wanted.take_while(fits).cloned().collect();
        let more = skip + entries.len() < until;
        Some(Run { entries, more })
    }

    /// Whether the log comes as far as this entry and has all that follow it in memory.
    pub(crate) fn has_all_after(&self, index: LogIndex) -> bool {
        (self.before.index..=self.last().index).contains(&index)
    }

    /// Whether this very entry is, or was, at this place.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        position == self.before
            || self
                .get(position.index)
                .is_some_and(|entry| entry.position == position)
    }

    /// Lets go of entries that were applied long ago, and of more of them where they take up much room, but of none after
    /// `needed`.
    pub(crate) fn trim(&mut self, applied: LogIndex, needed: LogIndex) {
        let most = applied.min(needed);
        while let Some(index) = self.entries.front().map(|entry| entry.position.index) {
            let surplus = applied.entries_since(index) >= APPLIED_KEPT || self.bytes > BYTES_KEPT;
            if index > most || !surplus {
                return;
            }
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.estimated_bytes();
                self.before = entry.position;
            }
        }
    }
}
