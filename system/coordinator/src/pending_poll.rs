//! Long polls waiting for a change of the feed.
use crate::outputs::RequestId;
use magpiegap_protocol::{FeedPoll, Millis};

/// A long poll without a response.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub request: RequestId,
    pub poll: FeedPoll,
    /// When the poll is answered even if the feed has not changed.
    pub expires_at: Millis,
}

impl PendingPoll {
    /// Returns whether the feed has changed or the poll has expired.
    pub(crate) fn is_due(&self, revision: u64, now: Millis) -> bool {
        self.poll.revision != revision || now >= self.expires_at
    }
}
