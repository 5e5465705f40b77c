//! Decides how tier updates are used. Outdated updates, and those received while partitioned, are ignored.
use crate::{interface::*, state::*};

/// How long an update is valid, on the local clock, as updates may stop arriving. Several arrive within this time, so
/// that losing one has no effect.
pub(super) const UPDATE_VALID_FOR: Millis = 1500.0;
/// Maximum age of the sums and evidence in an update.
const MAX_AGE: Millis = 3000.0;
/// Number of observing instances, and of their zones, from which half of the local evidence suffices.
const MIN_OBSERVERS: u32 = 3;
const MIN_OBSERVER_ZONES: u32 = 2;
/// Total trial rate over all instances, as a multiple of the rate of a single instance.
const TRIAL_INSTANCES: f64 = 2.0;

/// Factors by which this instance extends its trial intervals if other instances also try; at least one.
pub(super) struct TrialIntervalFactors {
    /// Before the first trial.
    pub first: f64,
    /// Before each subsequent one.
    pub subsequent: f64,
}

impl Tier {
    /// The last update, while it is valid.
    pub(crate) fn current(&self, now: Millis) -> Option<&TierUpdate> {
        let update = self.update.as_deref();
        update.filter(|_| now - self.updated_at <= UPDATE_VALID_FOR)
    }

    /// The sums over the tier, while they are valid.
    pub(crate) fn sums(&self, now: Millis) -> Option<&TierSums> {
        let sums = self.current(now)?.sums.as_ref();
        sums.filter(|sums| sums.load.capacity > 0.0 && sums.age + now - self.updated_at <= MAX_AGE)
    }

    /// Evidence of other instances against a subject, unless one has received a response since.
    fn evidence(&self, subject: Subject, now: Millis) -> Option<&Evidence> {
        let update = self.current(now)?;
        let evidence = update
            .evidence
            .iter()
            .find(|evidence| evidence.subject == subject)?;
        let age = evidence.age + now - self.updated_at;
        (evidence.cleared == 0 && age <= MAX_AGE).then_some(evidence)
    }

    /// Whether enough other instances have evidence against a subject.
    pub(crate) fn corroborates(&self, subject: Subject, now: Millis) -> bool {
        self.evidence(subject, now).is_some_and(|evidence| {
            evidence.observers >= MIN_OBSERVERS && evidence.zones >= MIN_OBSERVER_ZONES
        })
    }

    /// Factors for the trial intervals. The instances try in an order known to all of them; once one has received a
    /// response, no instance waits any longer.
    pub(super) fn trial_interval_factors(
        &self,
        subject: Subject,
        settings: &Settings,
        now: Millis,
    ) -> TrialIntervalFactors {
        let (turn, instances) = match (self.current(now), self.evidence(subject, now)) {
            (Some(update), Some(evidence)) if f64::from(evidence.observers) >= TRIAL_INSTANCES => {
                (members_before(update, subject) + 1, update.live_instances)
            }
            // Partitioned from other instances that may also try: assume an equal share of the trials, by index.
            (None, _) if self.has_seen_peers => {
                (settings.index % settings.balancers + 1, settings.balancers)
            }
            _ => (0, 0),
        };
        TrialIntervalFactors {
            first: (f64::from(turn) / TRIAL_INSTANCES).max(1.0),
            subsequent: (f64::from(instances) / TRIAL_INSTANCES).max(1.0),
        }
    }
}
