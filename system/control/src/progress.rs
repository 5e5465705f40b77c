//! The progress of a follower: what it was sent, and what it was told to be durable.
use magpiegap_protocol::{LogIndex, Millis, ReplicaId};

/// A follower is sent an append at least this often.
const MAX_APPEND_INTERVAL_MS: Millis = 150;

/// The progress of a replica that this one passes entries on to: its successor, or at the tail a learner.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    pub replica: ReplicaId,
    /// The last entry sent to it.
    pub sent: LogIndex,
    /// The durable index that it was last sent.
    advertised_durable: LogIndex,
    /// When that was sent.
    advertised_at: Millis,
}

impl FollowerProgress {
    /// A follower that has been sent all entries up to this one. The durable index is yet to be advertised, so the next
    /// append is due at once.
    pub(crate) fn new(replica: ReplicaId, sent: LogIndex, now: Millis) -> FollowerProgress {
        FollowerProgress {
            replica,
            sent,
            advertised_durable: LogIndex::default(),
            advertised_at: now.saturating_sub(MAX_APPEND_INTERVAL_MS),
        }
    }

    /// Whether there is something new to send, or the last append is so long ago that another one is due.
    pub(crate) fn needs_append(&self, last: LogIndex, durable: LogIndex, now: Millis) -> bool {
        last > self.sent
            || durable > self.advertised_durable
            || now >= self.advertised_at + MAX_APPEND_INTERVAL_MS
    }

    /// Records an append up to an entry.
    pub(crate) fn record_append(&mut self, sent: LogIndex, durable: LogIndex, now: Millis) {
        self.sent = sent;
        self.advertised_durable = durable;
        self.advertised_at = now;
    }
}
