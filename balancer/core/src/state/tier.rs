//! What was heard of the tier.
use super::ring_place;
use crate::interface::{Millis, Subject, TierUpdate, UpstreamId};

/// The last word that can be acted on, and when it came.
#[derive(Default)]
pub(crate) struct Tier {
    pub word: Option<Box<TierUpdate>>,
    pub at: Millis,
    /// Whether there ever was one that told of others.
    pub met: bool,
}

impl Tier {
    /// Takes a word in. Tells how long ago the last one came.
    pub(crate) fn hear(&mut self, word: Box<TierUpdate>, now: Millis) -> Millis {
        let since = now - self.at;
        (self.word, self.at) = (Some(word).filter(|w| w.joined && w.is_sound()), now);
        self.met |= self.word.as_ref().is_some_and(|w| w.up > 1);
        since
    }
}

/// How many members come before this one in an order that is another for each subject and the same at every member:
/// by rendezvous hashing.
pub(crate) fn members_before(word: &TierUpdate, subject: Subject) -> u32 {
    let what = match subject {
        Subject::Upstream(id) => id.0,
        Subject::Zone(zone) => u64::from(zone),
    };
    let rank = |place: u32| {
        ring_place(UpstreamId(
            what ^ ring_place(UpstreamId(u64::from(place) + 1)),
        ))
    };
    let own = rank(word.place);
    (0..word.up).filter(|&place| rank(place) > own).count() as u32
}
