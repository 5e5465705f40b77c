//! The progress of snapshot transfers, outgoing and incoming.
use crate::state_machine::StateSnapshot;
use magpiegap_protocol::{Entry, LogPosition, Millis};
use std::sync::Arc;

/// A snapshot that is offered to other replicas.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub state: Arc<dyn StateSnapshot>,
    /// When it was last offered, or a chunk of it last requested.
    pub last_requested_at: Millis,
}

impl OutgoingSnapshot {
    /// The last entry in the snapshot. The log must retain the entries after it for the receivers.
    pub(crate) fn position(&self) -> LogPosition {
        self.state.position()
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    /// The last entry in the snapshot.
    pub position: LogPosition,
    /// The number of chunks of the snapshot.
    pub chunks: u32,
    /// The number of the next chunk expected.
    pub next: u32,
    /// The entries after the snapshot that were received so far.
    pub entries: Vec<Entry>,
}

impl IncomingSnapshot {
    /// A snapshot of which no chunk was received yet.
    pub(crate) fn new(position: LogPosition, chunks: u32) -> IncomingSnapshot {
        IncomingSnapshot {
            position,
            chunks,
            next: 0,
            entries: Vec::new(),
        }
    }

    /// Whether all chunks were received.
    pub(crate) fn has_all_chunks(&self) -> bool {
        self.next >= self.chunks
    }

    /// The position of the last entry received.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.position, |entry| entry.position)
    }

    /// Drops the entries: a new source may lack those that are not committed.
    pub(crate) fn forget_entries(&mut self) {
        self.entries.clear();
    }
}
