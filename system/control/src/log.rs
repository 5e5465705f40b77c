//! The log in memory: all entries that are not applied, and the latest applied ones. What is durable is tracked in
//! `chain_state`.
use magpiegap_protocol::{Entry, LogIndex, LogPosition};
use std::collections::VecDeque;

/// Maximum number of applied entries that are retained for lagging followers.
const MAX_APPLIED_RETAINED: u64 = 4000;
/// Approximate size of all entries in memory above which applied entries are dropped.
const MAX_RETAINED_BYTES: usize = 16 << 20;

/// A batch of consecutive entries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryBatch {
    pub entries: Vec<Entry>,
    /// Whether more entries follow this batch.
    pub more: bool,
}

/// The part of the log that is in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The position before the first entry in memory.
    compacted: LogPosition,
    entries: VecDeque<Entry>,
    /// The approximate size of the entries, in bytes.
    bytes: usize,
}

impl Log {
    pub(crate) fn new(compacted: LogPosition, entries: Vec<Entry>) -> Log {
        let bytes = entries.iter().map(Entry::estimated_bytes).sum();
        Log {
            compacted,
            entries: entries.into(),
            bytes,
        }
    }

    /// The position of the last entry.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.compacted, |entry| entry.position)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.bytes += entry.estimated_bytes();
        self.entries.push_back(entry);
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_entries_since(self.compacted.index.next())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The position of an entry; `None` when it is not in memory.
    pub(crate) fn position(&self, index: LogIndex) -> Option<LogPosition> {
        if index == self.compacted.index {
            return Some(self.compacted);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// All entries after this one; `None` when they are not all in memory.
    pub(crate) fn after(&self, index: LogIndex) -> Option<Vec<Entry>> {
        self.batch_after(index, usize::MAX)
            .map(|batch| batch.entries)
    }

    /// The first entries after `index`, at least one if there is any, up to about `max_bytes`; `None` when
    /// `index` is outside the log in memory.
    pub(crate) fn batch_after(&self, index: LogIndex, max_bytes: usize) -> Option<EntryBatch> {
        self.batch_between(index, self.last().index, max_bytes)
    }

    /// The first entries after `index` and up to `last`, at least one if there is any, up to about `max_bytes`; `None`
    /// when `index` is outside the log in memory.
    pub(crate) fn batch_between(
        &self,
        index: LogIndex,
        last: LogIndex,
        max_bytes: usize,
    ) -> Option<EntryBatch> {
        let skip = usize::try_from(index.checked_entries_since(self.compacted.index)?).ok()?;
        let until = usize::try_from(last.checked_entries_since(self.compacted.index)?)
            .ok()?
            .min(self.entries.len());
        if skip > until {
            return None;
        }
        let mut bytes: usize = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(entry.estimated_bytes());
            is_first || bytes <= max_bytes
        };
        let candidates = self.entries.range(skip..until);
        let entries: Vec<Entry> = candidates.take_while(fits).cloned().collect();
        let more = skip + entries.len() < until;
        Some(EntryBatch { entries, more })
    }

    /// Whether the log reaches this entry and all following entries are in memory.
    pub(crate) fn covers(&self, index: LogIndex) -> bool {
        (self.compacted.index..=self.last().index).contains(&index)
    }

    /// Whether the log holds the entry at this position, or starts right after it.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        position == self.compacted
            || self
                .get(position.index)
                .is_some_and(|entry| entry.position == position)
    }

    /// Drops the oldest applied entries beyond the limits on their number and on memory, but none after `needed`.
    pub(crate) fn compact(&mut self, applied: LogIndex, needed: LogIndex) {
        let last_droppable = applied.min(needed);
        while let Some(index) = self.entries.front().map(|entry| entry.position.index) {
            let surplus = applied.entries_since(index) >= MAX_APPLIED_RETAINED
                || self.bytes > MAX_RETAINED_BYTES;
            if index > last_droppable || !surplus {
                return;
            }
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.estimated_bytes();
                self.compacted = entry.position;
            }
        }
    }
}
