//! The progress of a follower: the entries and the durable index that were sent to it.
use magpiegap_protocol::{LogIndex, Millis, ReplicaId};

/// Longest time between two appends to a follower; without new entries an empty append is sent.
const MAX_APPEND_INTERVAL_MS: Millis = 150;

/// The progress of a replica that this one sends entries to: its successor or, at the tail, a learner.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    pub replica: ReplicaId,
    /// The last entry sent to it.
    pub sent: LogIndex,
    /// The durable index last sent to it.
    advertised_durable: LogIndex,
    /// When `advertised_durable` was last sent.
    advertised_at: Millis,
}

impl FollowerProgress {
    /// A follower that has been sent all entries up to `sent`. The next append is due at once, since the durable index
    /// has not been sent yet.
    pub(crate) fn new(replica: ReplicaId, sent: LogIndex, now: Millis) -> FollowerProgress {
        FollowerProgress {
            replica,
            sent,
            advertised_durable: LogIndex::default(),
            advertised_at: now.saturating_sub(MAX_APPEND_INTERVAL_MS),
        }
    }

    /// Whether there is anything new to send, or the interval since the last append has elapsed.
    pub(crate) fn needs_append(&self, last: LogIndex, durable: LogIndex, now: Millis) -> bool {
        last > self.sent
            || durable > self.advertised_durable
            || now >= self.advertised_at + MAX_APPEND_INTERVAL_MS
    }

    /// Records an append of entries up to `sent`.
    pub(crate) fn record_append(&mut self, sent: LogIndex, durable: LogIndex, now: Millis) {
        self.sent = sent;
        self.advertised_durable = durable;
        self.advertised_at = now;
    }
}
