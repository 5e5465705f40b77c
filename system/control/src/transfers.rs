//! States on their way: one that others may ask for, and one that is being built up.
use crate::state_machine::StateSnapshot;
use magpiegap_protocol::{Entry, LogPosition, Millis};
use std::sync::Arc;

/// A state that others may ask for.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub state: Arc<dyn StateSnapshot>,
    /// When it was last asked for.
    pub asked_at: Millis,
}

impl Outgoing {
    /// The last entry of the state; those after it must be there for whoever takes it.
    pub(crate) fn position(&self) -> LogPosition {
        self.state.position()
    }
}

/// A state that is being built up.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    /// The last entry that it holds.
    pub position: LogPosition,
    /// How many parts it has.
    pub chunks: u32,
    /// The next part to come.
    pub next: u32,
    /// Entries after the state.
    pub entries: Vec<Entry>,
}

impl Incoming {
    /// A state of which nothing has come yet.
    pub(crate) fn new(position: LogPosition, chunks: u32) -> Incoming {
        Incoming {
            position,
            chunks,
            next: 0,
            entries: Vec::new(),
        }
    }

    /// Whether all of the state is there.
    pub(crate) fn is_whole(&self) -> bool {
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
