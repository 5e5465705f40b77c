//! Decides what an update of the tier counts for. Beyond its bound, or partitioned off, it is as if none had come.
use crate::{interface::*, state::*};

/// An update counts this long by the own clock, since updates may stop coming: several come in that time, so that
/// a lost one changes nothing.
pub(super) const UPDATE_VALID_FOR: Millis = 1500.0;
/// Sums and evidence in an update count up to this age.
const MAX_AGE: Millis = 3000.0;
/// Evidence of so many instances, in so many zones, lets half of the own evidence do.
const MIN_OBSERVERS: u32 = 3;
const MIN_OBSERVER_ZONES: u32 = 2;
/// All instances together try what they have ejected as often as so many alone would.
const TRIAL_INSTANCES: f64 = 2.0;

/// How many times longer than alone this instance waits between trials of what others have ejected too; at least once.
pub(super) struct TrialPauses {
    /// Before the first trial.
    pub first: f64,
    /// Before each further one.
    pub repeated: f64,
}

impl Tier {
    /// The last update, while it counts.
    pub(crate) fn current(&self, now: Millis) -> Option<&TierUpdate> {
        let update = self.update.as_deref();
        update.filter(|_| now - self.updated_at <= UPDATE_VALID_FOR)
    }

    /// The sums over the tier, while they count.
    pub(crate) fn sums(&self, now: Millis) -> Option<&TierSums> {
        let sums = self.current(now)?.sums.as_ref();
        sums.filter(|sums| sums.load.capacity > 0.0 && sums.age + now - self.updated_at <= MAX_AGE)
    }

    /// What other instances have against it, unless one got a response since.
    fn evidence(&self, subject: Subject, now: Millis) -> Option<&Evidence> {
        let update = self.current(now)?;
        let evidence = update
            .evidence
            .iter()
            .find(|evidence| evidence.subject == subject)?;
        let age = evidence.age + now - self.updated_at;
        (evidence.cleared == 0 && age <= MAX_AGE).then_some(evidence)
    }

    /// Whether enough other instances have evidence against it.
    pub(crate) fn corroborates(&self, subject: Subject, now: Millis) -> bool {
        self.evidence(subject, now).is_some_and(|evidence| {
            evidence.observers >= MIN_OBSERVERS && evidence.zones >= MIN_OBSERVER_ZONES
        })
    }

    /// The pauses between trials. Each instance has its turn in an order that all know; once one got a response, nobody
    /// waits.
    pub(super) fn trial_pauses(
        &self,
        subject: Subject,
        settings: &Settings,
        now: Millis,
    ) -> TrialPauses {
        let (turn, instances) = match (self.current(now), self.evidence(subject, now)) {
            (Some(update), Some(evidence)) if f64::from(evidence.observers) >= TRIAL_INSTANCES => {
                (members_before(update, subject) + 1, update.up)
            }
            // Partitioned off from others who may be trying as well: by its number, its even part.
            (None, _) if self.has_met_others => {
                (settings.index % settings.balancers + 1, settings.balancers)
            }
            _ => (0, 0),
        };
        TrialPauses {
            first: (f64::from(turn) / TRIAL_INSTANCES).max(1.0),
            repeated: (f64::from(instances) / TRIAL_INSTANCES).max(1.0),
        }
    }
}
