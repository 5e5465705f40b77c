//! State received from the tier.
use super::ring_position;
use crate::interface::{Millis, Subject, TierUpdate, UpstreamId};

/// The last usable update and its time of arrival.
#[derive(Default)]
pub(crate) struct Tier {
    pub update: Option<Box<TierUpdate>>,
    pub updated_at: Millis,
    /// Whether any update has listed other instances.
    pub has_seen_peers: bool,
}

impl Tier {
    /// Stores an update and returns the time since the previous one.
    pub(crate) fn handle_update(&mut self, update: Box<TierUpdate>, now: Millis) -> Millis {
        let since_last = now - self.updated_at;
        self.update = Some(update).filter(|update| update.connected && update.is_valid());
        self.updated_at = now;
        self.has_seen_peers |= self
            .update
            .as_ref()
            .is_some_and(|update| update.live_instances > 1);
        since_last
    }
}

/// Number of members that precede this one in the rendezvous-hashing order of the subject (Thaler and Ravishankar,
/// 1998), which is the same at every member.
pub(crate) fn members_before(update: &TierUpdate, subject: Subject) -> u32 {
    let subject_id = match subject {
        Subject::Upstream(id) => id.0,
        Subject::Zone(zone) => u64::from(zone),
    };
    let rank = |index: u32| {
        let member = ring_position(UpstreamId(u64::from(index) + 1));
        ring_position(UpstreamId(subject_id ^ member))
    };
    let own_rank = rank(update.index);
    (0..update.live_instances)
        .filter(|&index| rank(index) > own_rank)
        .count() as u32
}
