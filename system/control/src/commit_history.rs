//! The recent history of the commit index, by which a replica judges whether another one has caught up.
use magpiegap_protocol::{LogIndex, Millis};
use std::collections::VecDeque;

/// A replica that has every entry committed this long ago counts as caught up: it lacks only entries in flight.
const CAUGHT_UP_LAG_MS: Millis = 250;

/// The commit index at one point in time.
#[derive(Clone, Copy, Debug)]
struct CommitSample {
    at: Millis,
    committed: LogIndex,
}

/// Samples of the commit index within the last [`CAUGHT_UP_LAG_MS`], and the latest one before that.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommitHistory {
    /// Oldest first.
    samples: VecDeque<CommitSample>,
}

impl CommitHistory {
    /// Records the current commit index, and drops samples that are no longer needed.
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

    /// The oldest recorded commit index; `None` when nothing was recorded.
    pub(crate) fn oldest(&self) -> Option<LogIndex> {
        self.samples.front().map(|sample| sample.committed)
    }
}
