//! The state of the role that reads the platform's list: the call in flight and the pages collected so far.
use magpiegap_protocol::{FencingToken, Millis, WorkerEntry, WorkerList};

/// A platform call that was not answered for this long has timed out.
const CALL_TIMEOUT_MS: Millis = 1500;
/// An unchanged list is sent to the other coordinators this often.
const REBROADCAST_INTERVAL_MS: Millis = 1000;

/// A call to the platform in flight.
#[derive(Clone, Copy, Debug)]
struct PlatformCall {
    id: u64,
    started_at: Millis,
}

/// The reader of the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct PlatformReader {
    token: FencingToken,
    /// Number of the last list sent, within this token.
    sequence: u64,
    next_read_at: Millis,
    call: Option<PlatformCall>,
    /// Workers of the pages read so far.
    collected: Vec<WorkerEntry>,
    published_at: Millis,
}

impl PlatformReader {
    /// A reader that has just been given its role.
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

    /// The fencing token of its role.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Drops a call that has timed out.
    pub(crate) fn expire_call(&mut self, now: Millis) {
        let has_timed_out = |call: &mut PlatformCall| now >= call.started_at + CALL_TIMEOUT_MS;
        self.call.take_if(has_timed_out);
    }

    /// Whether the list is to be read again from its first page.
    pub(crate) fn is_read_due(&self, now: Millis) -> bool {
        self.call.is_none() && now >= self.next_read_at
    }

    /// Begins with the first page.
    pub(crate) fn discard_pages(&mut self) {
        self.collected.clear();
    }

    /// A call for a page has been made.
    pub(crate) fn begin_call(&mut self, id: u64, now: Millis) {
        self.call = Some(PlatformCall {
            id,
            started_at: now,
        });
    }

    /// Ends the call in flight. Returns whether it was this one: replies to others come too late.
    pub(crate) fn end_call(&mut self, id: u64) -> bool {
        self.call.take_if(|call| call.id == id).is_some()
    }

    /// Adds the workers of a page.
    pub(crate) fn add_page(&mut self, workers: Vec<WorkerEntry>) {
        self.collected.extend(workers);
    }

    /// Waits before the next reading.
    pub(crate) fn schedule_read(&mut self, at: Millis) {
        self.next_read_at = at;
    }

    /// Takes the list of all pages. `None`: it is the known one, and was sent to the others a moment ago.
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
