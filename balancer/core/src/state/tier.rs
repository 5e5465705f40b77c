//! What was received of the tier.
use super::ring_position;
use crate::interface::{Millis, Subject, TierUpdate, UpstreamId};

/// The last update that can be acted on, and when it came.
#[derive(Default)]
pub(crate) struct Tier {
    pub update: Option<Box<TierUpdate>>,
    pub updated_at: Millis,
    /// Whether there ever was an update that named other instances.
    pub has_met_others: bool,
}

impl Tier {
    /// Stores an update, and returns the time since the last one.
    pub(crate) fn handle_update(&mut self, update: Box<TierUpdate>, now: Millis) -> Millis {
        let since_last = now - self.updated_at;
        self.update = Some(update).filter(|update| update.joined && update.is_sound());
        self.updated_at = now;
        self.has_met_others |= self.update.as_ref().is_some_and(|update| update.up > 1);
        since_last
    }
}

/// The number of members before this one in an order that differs by subject and is the same at every member: by
/// rendezvous hashing (Thaler and Ravishankar, 1998).
pub(crate) fn members_before(update: &TierUpdate, subject: Subject) -> u32 {
    let subject_id = match subject {
        Subject::Upstream(id) => id.0,
        Subject::Zone(zone) => u64::from(zone),
    };
    let rank = |position: u32| {
        let member = ring_position(UpstreamId(u64::from(position) + 1));
        ring_position(UpstreamId(subject_id ^ member))
    };
    let own_rank = rank(update.position);
    (0..update.up)
        .filter(|&position| rank(position) > own_rank)
        .count() as u32
}
