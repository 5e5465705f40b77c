//! What was committed a while ago, by which a replica judges whether another one has caught up.
use magpiegap_protocol::{LogIndex, Millis};
use std::collections::VecDeque;

/// A replica that knows all that was committed this long ago lacks only what is in flight.
const CAUGHT_UP_LAG_MS: Millis = 250;

/// The commit index at one moment.
#[derive(Clone, Copy, Debug)]
struct CommitSample {
    at: Millis,
    committed: LogIndex,
}

/// The commit index at moments of the last [`CAUGHT_UP_LAG_MS`], and at one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommitHistory {
    /// Oldest first.
    samples: VecDeque<CommitSample>,
}

impl CommitHistory {
    /// Records the commit index of now, and drops samples that are older than needed.
    pub(crate) fn record(&mut self, committed: LogIndex, now: Millis) {
        self.samples.push_back(CommitSample { at: now, committed });
        while self
            .samples
            .get(1)
            .is_some_and(|sample| sample.at + CAUGHT_UP_LAG_MS <= now)
        {
            self.samples.pop_front();
        }
    }

    /// The oldest commit index recorded; `None`: there is none.
    pub(crate) fn oldest(&self) -> Option<LogIndex> {
        self.samples.front().map(|sample| sample.committed)
    }
}
