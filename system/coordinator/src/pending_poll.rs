//! A long poll of the feed that waits for a change.
use crate::outputs::RequestId;
use magpiegap_protocol::{FeedPoll, Millis};

/// A long poll without a response yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub request: RequestId,
    pub poll: FeedPoll,
    /// When it gets a response even if nothing has changed.
    pub expires_at: Millis,
}

impl PendingPoll {
    /// Whether there is something to respond: a newer feed, or the end of the wait.
    pub(crate) fn is_due(&self, revision: u64, now: Millis) -> bool {
        self.poll.revision != revision || now >= self.expires_at
    }
}
