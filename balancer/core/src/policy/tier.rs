//! Decides what a word of the tier counts for. Beyond its bound, or cut off, it is as if none was heard.
use crate::{interface::*, state::*};

/// A word counts this long by the own clock, since words may stop coming: several come in that time, so that
/// a lost one changes nothing. What it says counts up to this age.
pub(super) const WORD_KEPT: Millis = 1500.0;
const SAYING_KEPT: Millis = 3000.0;
/// Evidence of so many, in so many zones, lets half of the own evidence do.
const BACKERS: u32 = 3;
const BACKER_ZONES: u32 = 2;
/// All copies together try what they have left as often as so many alone would.
const TRIERS: f64 = 2.0;

impl Tier {
    pub(crate) fn word(&self, now: Millis) -> Option<&TierUpdate> {
        self.word.as_deref().filter(|_| now - self.at <= WORD_KEPT)
    }

    pub(crate) fn sums(&self, now: Millis) -> Option<&TierSums> {
        self.word(now)?
            .sums
            .as_ref()
            .filter(|s| s.load.room > 0.0 && s.age + now - self.at <= SAYING_KEPT)
    }

    /// What others have against it, unless one was answered since.
    fn against(&self, subject: Subject, now: Millis) -> Option<&Evidence> {
        let e = self
            .word(now)?
            .evidence
            .iter()
            .find(|e| e.subject == subject)?;
        (e.cleared == 0 && e.age + now - self.at <= SAYING_KEPT).then_some(e)
    }

    pub(crate) fn backs(&self, subject: Subject, now: Millis) -> bool {
        self.against(subject, now)
            .is_some_and(|e| e.observers >= BACKERS && e.zones >= BACKER_ZONES)
    }

    /// How many times longer than alone this copy waits before it first tries what others have left too, and
    /// then between trials. Each has its turn in an order that all know; once one was answered, nobody waits.
    pub(crate) fn wait(&self, subject: Subject, s: &Settings, now: Millis) -> (f64, f64) {
        let (first, all) = match (self.word(now), self.against(subject, now)) {
            (Some(w), Some(e)) if f64::from(e.observers) >= TRIERS => {
                (members_before(w, subject) + 1, w.up)
            }
            // Cut off from others who may be trying as well: by its number, its even part.
            (None, _) if self.met => (s.index % s.balancers + 1, s.balancers),
            _ => (0, 0),
        };
        (
            (f64::from(first) / TRIERS).max(1.0),
            (f64::from(all) / TRIERS).max(1.0),
        )
    }
}
