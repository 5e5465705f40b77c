//! The progress of snapshot transfers: of one that others may request, and of one that is being received.
use crate::state_machine::StateSnapshot;
use magpiegap_protocol::{Entry, LogPosition, Millis};
use std::sync::Arc;

/// A snapshot that others may request.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub state: Arc<dyn StateSnapshot>,
    /// When a chunk of it was last requested.
    pub last_requested_at: Millis,
}

impl OutgoingSnapshot {
    /// The last entry in the snapshot; those after it must be there for whoever takes it.
    pub(crate) fn position(&self) -> LogPosition {
        self.state.position()
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    /// The last entry that it holds.
    pub position: LogPosition,
    /// How many chunks it has.
    pub chunks: u32,
    /// The next chunk to come.
    pub next: u32,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl IncomingSnapshot {
    /// A snapshot of which nothing has come yet.
    pub(crate) fn new(position: LogPosition, chunks: u32) -> IncomingSnapshot {
        IncomingSnapshot {
            position,
            chunks,
            next: 0,
            entries: Vec::new(),
        }
    }

    /// Whether all chunks are there.
    pub(crate) fn has_all_chunks(&self) -> bool {
        self.next >= self.chunks
    }

    /// The last entry that is there.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.position, |entry| entry.position)
    }

    /// Forgets the entries: another source may not have those that are not committed.
    pub(crate) fn forget_entries(&mut self) {
        self.entries.clear();
    }
}
