//! State of the platform reader role: the call in flight and the pages collected so far.
use magpiegap_protocol::{FencingToken, Millis, WorkerEntry, WorkerList};

/// Timeout of a platform call.
const CALL_TIMEOUT_MS: Millis = 1500;
/// Interval at which an unchanged list is resent to the other coordinators.
const REBROADCAST_INTERVAL_MS: Millis = 1000;

/// A platform call in flight.
#[derive(Clone, Copy, Debug)]
struct PlatformCall {
    id: u64,
    started_at: Millis,
}

/// The reader of the platform's worker list.
#[derive(Clone, Debug)]
pub(crate) struct PlatformReader {
    token: FencingToken,
    /// Sequence number of the last list published under this token.
    sequence: u64,
    next_read_at: Millis,
    call: Option<PlatformCall>,
    /// Workers on the pages read so far.
    collected: Vec<WorkerEntry>,
    published_at: Millis,
}

impl PlatformReader {
    /// Creates a reader for a newly acquired role. The first read is due immediately.
    pub(crate) fn new(token: FencingToken, now: Millis) -> PlatformReader {
        PlatformReader {
            token,
            sequence: 0,
            next_read_at: now,
            call: None,
            collected: Vec::new(),
            published_at: 0,
        }
    }

    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Drops the call in flight if it has timed out.
    pub(crate) fn expire_call(&mut self, now: Millis) {
        let has_timed_out = |call: &mut PlatformCall| now >= call.started_at + CALL_TIMEOUT_MS;
        self.call.take_if(has_timed_out);
    }

    /// Returns whether the list must be read again from its first page.
    pub(crate) fn is_read_due(&self, now: Millis) -> bool {
        self.call.is_none() && now >= self.next_read_at
    }

    /// Discards collected pages before the list is read from its first page.
    pub(crate) fn discard_pages(&mut self) {
        self.collected.clear();
    }

    /// Records that a call for a page was made.
    pub(crate) fn begin_call(&mut self, id: u64, now: Millis) {
        self.call = Some(PlatformCall {
            id,
            started_at: now,
        });
    }

    /// Ends the call in flight if it has this ID. Returns `false` for other IDs, whose replies are too late.
    pub(crate) fn end_call(&mut self, id: u64) -> bool {
        self.call.take_if(|call| call.id == id).is_some()
    }

    pub(crate) fn add_page(&mut self, workers: Vec<WorkerEntry>) {
        self.collected.extend(workers);
    }

    /// Sets the earliest time of the next read.
    pub(crate) fn schedule_read(&mut self, at: Millis) {
        self.next_read_at = at;
    }

    /// Returns the list of all collected pages, or `None` if it is unchanged and was published recently.
    pub(crate) fn finish_list(
        &mut self,
        known: Option<&WorkerList>,
        now: Millis,
    ) -> Option<WorkerList> {
        let workers = std::mem::take(&mut self.collected);
        let has_changed = known.is_none_or(|list| list.workers != workers);
        if !has_changed && now < self.published_at + REBROADCAST_INTERVAL_MS {
            return None;
        }
        self.published_at = now;
        self.sequence += 1;
        Some(WorkerList {
            token: self.token,
            sequence: self.sequence,
            workers,
        })
    }
}
