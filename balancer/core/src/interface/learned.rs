//! Learned state of an instance, saved for a later one.
use super::checks::{check, is_amount, is_fraction};
use super::{Millis, Settings, SettingsError, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Minimum valid response time. The unloaded response time grows by a factor, so it could never recover from zero.
const MIN_RESPONSE_TIME: Millis = 1e-3;

/// Maximum count of an upstream's outcomes or ejections; counters saturate here.
const MAX_COUNT: u32 = 1_000_000_000;

/// Learned load. Rates are in calls per cycle of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Capacity of the next tier for this instance.
    pub capacity: f64,
    /// Recent mean of the admitted rate.
    #[serde(rename = "recent")]
    pub admitted_mean: f64,
    /// Recent peak of the admitted rate.
    #[serde(rename = "peak")]
    pub admitted_peak: f64,
    /// Served rate over all instances, as reported by upstreams; zero if unknown.
    #[serde(rename = "served")]
    pub served_rate: f64,
    /// Fraction of responses within their objective.
    #[serde(rename = "success")]
    pub on_time_fraction: f64,
    /// Fraction of the capacity floor that applies; reduced while response times indicate an overload.
    #[serde(rename = "uncrowded")]
    pub floor_fraction: f64,
    /// Mean response time without queueing.
    #[serde(rename = "unloaded")]
    pub unloaded_response_time: Millis,
}

impl Load {
    /// Scales the rates to `size` times as many upstreams.
    pub fn scale(self, size: f64) -> Load {
        Load {
            capacity: size * self.capacity,
            admitted_mean: size * self.admitted_mean,
            admitted_peak: size * self.admitted_peak,
            ..self
        }
    }

    /// Interpolates towards a saved load: with weight `load` for load values and `times` for response times.
    pub fn interpolate(self, saved: &Load, load: f64, times: f64) -> Load {
        let blend = |now: f64, then: f64, weight: f64| now + weight * (then - now);
        Load {
            capacity: blend(self.capacity, saved.capacity, load),
            admitted_mean: blend(self.admitted_mean, saved.admitted_mean, load),
            admitted_peak: blend(self.admitted_peak, saved.admitted_peak, load),
            served_rate: blend(self.served_rate, saved.served_rate, load),
            on_time_fraction: blend(self.on_time_fraction, saved.on_time_fraction, load),
            floor_fraction: blend(self.floor_fraction, saved.floor_fraction, load),
            unloaded_response_time: blend(
                self.unloaded_response_time,
                saved.unloaded_response_time,
                times,
            ),
        }
    }
}

/// Learned state of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Response time relative to the mean of its machine type.
    pub slowness: f64,
    /// Recent fraction of attempts that failed.
    #[serde(rename = "fails")]
    pub failure_rate: f64,
    /// Number of completed attempts.
    pub outcomes: u32,
    /// When it was last used.
    pub last_used: Millis,
    /// End of its ejection.
    pub ejected_until: Millis,
    /// End of its ejection for a cause other than error responses, which a downstream tier may have caused.
    pub lost_until: Millis,
    /// Consecutive ejections.
    pub ejections: u32,
}

impl Health {
    /// Converts the times to a clock that is ahead by `by`. Times before its zero become zero.
    pub fn shift_clock(self, by: Millis) -> Health {
        let shift = |at: Millis| (at + by).max(0.0);
        Health {
            last_used: shift(self.last_used),
            ejected_until: shift(self.ejected_until),
            lost_until: shift(self.lost_until),
            ..self
        }
    }

    /// Counts a completed attempt.
    pub(crate) fn count_outcome(&mut self) {
        self.outcomes = saturating_increment(self.outcomes);
    }

    /// Counts an ejection.
    pub(crate) fn count_ejection(&mut self) {
        self.ejections = saturating_increment(self.ejections);
    }

    fn is_valid(&self) -> bool {
        let counts = [self.outcomes, self.ejections];
        let amounts = [
            self.slowness,
            self.last_used,
            self.ejected_until,
            self.lost_until,
        ];
        amounts.into_iter().all(is_amount)
            && is_fraction(self.failure_rate)
            && counts.into_iter().all(|count| count <= MAX_COUNT)
    }
}

/// Increments a counter, saturating at [`MAX_COUNT`].
fn saturating_increment(count: u32) -> u32 {
    count.saturating_add(1).min(MAX_COUNT)
}

/// Learned state of an instance, as returned by [`Balancer::learned`](crate::Balancer::learned) and passed to a later
/// instance in [`Event::Restored`](crate::Event::Restored).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Learned {
    /// When the state was saved, on the clock of the saving instance, which all times here refer to.
    #[serde(rename = "at")]
    pub saved_at: Millis,
    /// Learned load.
    pub load: Load,
    /// Highest number of ready upstreams so far, weighted by slow start.
    #[serde(rename = "upstreams_most")]
    pub upstreams_max: f64,
    /// Fraction of `upstreams_max` that was usable.
    pub upstreams_usable: f64,
    /// Mean response time.
    #[serde(rename = "answer")]
    pub mean_response_time: Millis,
    /// Mean deviation from the mean response time.
    pub deviation: Millis,
    /// Requests per cycle of each tenant, in the order of [`Settings::tenants`], plus one entry for all unlisted
    /// tenants; absent for tenants without requests.
    pub demands: Vec<Option<f64>>,
    /// Mean response time of each machine type relative to the class's objective, and its number of samples.
    pub kinds: BTreeMap<u8, (f64, f64)>,
    /// Fraction of calls without a response, bucketed by how long their connection may have been idle.
    #[serde(rename = "rest_lost")]
    pub idle_loss_rates: Vec<f64>,
    /// Upstreams that were called, with the start time of their process. The state does not apply after a restart.
    pub upstreams: Vec<(UpstreamId, Millis, Health)>,
}

impl Learned {
    /// Checks every number. State that passes can be restored completely, whatever its age.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn validate(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.check_load()?;
        self.check_response_times(settings)?;
        check(
            self.demands.iter().flatten().copied().all(is_amount)
                && self.demands.len() == settings.tenants.len().max(1) + 1,
            "learned.demands",
            "a rate of at least 0 for each tenant",
        )?;
        check(
            self.idle_loss_rates.iter().copied().all(is_fraction),
            "learned.rest_lost",
            "between 0 and 1",
        )?;
        self.check_kinds(settings)?;
        check(
            self.upstreams
                .iter()
                .all(|(_, since, health)| is_amount(*since) && health.is_valid()),
            "learned.upstreams",
            "numbers of at least 0, counts of at most 1000000000",
        )
    }

    fn check_load(&self) -> Result<(), SettingsError> {
        let load = &self.load;
        let amounts = [
            load.capacity,
            load.admitted_mean,
            load.admitted_peak,
            load.served_rate,
            self.upstreams_max,
            self.saved_at,
        ];
        check(
            amounts.into_iter().all(is_amount),
            "learned.load",
            "numbers of at least 0",
        )?;
        let parts = [
            load.on_time_fraction,
            load.floor_fraction,
            self.upstreams_usable,
        ];
        check(
            parts.into_iter().all(is_fraction),
            "learned.load.success",
            "between 0 and 1",
        )
    }

    fn check_response_times(&self, settings: &Settings) -> Result<(), SettingsError> {
        // No response can take longer than the longest deadline.
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let is_response_time = |time: f64| (MIN_RESPONSE_TIME..=longest).contains(&time);
        check(
            is_response_time(self.mean_response_time)
                && is_response_time(self.load.unloaded_response_time),
            "learned.answer",
            "at least 0.001 ms and at most the longest deadline",
        )?;
        check(
            (0.0..=longest).contains(&self.deviation),
            "learned.deviation",
            "between 0 and the longest deadline",
        )
    }

    fn check_kinds(&self, settings: &Settings) -> Result<(), SettingsError> {
        let classes = settings.classes.iter();
        let max_relative = classes
            .map(|class| class.deadline / class.objective)
            .fold(1.0, f64::max);
        check(
            self.kinds.values().all(|&(relative, samples)| {
                (0.0..=max_relative).contains(&relative) && is_amount(samples)
            }),
            "learned.kinds",
            "response times relative to the objective within the deadlines, sample counts of at least 0",
        )
    }
}
