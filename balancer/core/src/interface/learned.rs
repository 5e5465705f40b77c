//! What an instance has learned, to be saved for a later one.
use super::checks::{check, is_amount, is_part};
use super::{Millis, Settings, SettingsError, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Least response time that is valid, in milliseconds: one that took no time would never be grown from again.
const MIN_RESPONSE_TIME: Millis = 1e-3;

/// The largest count of an upstream's outcomes or ejections: counting stops there.
const MAX_COUNT: u32 = 1_000_000_000;

/// What an instance has learned of the load. Rates are calls per cycle, of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// What the next tier carries for this instance.
    pub capacity: f64,
    /// What was admitted: its mean of late.
    pub recent: f64,
    /// What was admitted: its peak of late.
    pub peak: f64,
    /// What all instances together get served, by what upstreams report; zero: not known.
    pub served: f64,
    /// The part of responses in time.
    pub success: f64,
    /// The part of the least capacity that is left while responses take as long as in an overload.
    pub uncrowded: f64,
    /// The mean time of a response that was not queued.
    pub unloaded: Millis,
}

impl Load {
    /// The same for `size` times as many upstreams.
    pub fn scaled(self, size: f64) -> Load {
        Load {
            capacity: size * self.capacity,
            recent: size * self.recent,
            peak: size * self.peak,
            ..self
        }
    }

    /// Blends it with a saved one: of weight `load` in what it says of the load, and `times` in response times.
    pub fn mixed(self, saved: &Load, load: f64, times: f64) -> Load {
        let blend = |now: f64, then: f64, weight: f64| now + weight * (then - now);
        Load {
            capacity: blend(self.capacity, saved.capacity, load),
            recent: blend(self.recent, saved.recent, load),
            peak: blend(self.peak, saved.peak, load),
            served: blend(self.served, saved.served, load),
            success: blend(self.success, saved.success, load),
            uncrowded: blend(self.uncrowded, saved.uncrowded, load),
            unloaded: blend(self.unloaded, saved.unloaded, times),
        }
    }
}

/// What an instance has learned of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Response time as a multiple of its kind's.
    pub slowness: f64,
    /// The part of attempts of late that failed.
    pub fails: f64,
    /// Attempts that have ended.
    pub outcomes: u32,
    /// When it was last used.
    pub last_used: Millis,
    /// Until when it is ejected.
    pub ejected_until: Millis,
    /// Until when it is ejected for more than errors, which a tier behind may have caused.
    pub lost_until: Millis,
    /// Ejections in a row.
    pub ejections: u32,
}

impl Health {
    /// The same on a clock that reads this much more. What was before its zero was long ago.
    pub fn shifted(self, by: Millis) -> Health {
        let shift = |at: Millis| (at + by).max(0.0);
        Health {
            last_used: shift(self.last_used),
            ejected_until: shift(self.ejected_until),
            lost_until: shift(self.lost_until),
            ..self
        }
    }

    /// Counts an attempt that has ended.
    pub(crate) fn count_outcome(&mut self) {
        self.outcomes = counted(self.outcomes);
    }

    /// Counts an ejection.
    pub(crate) fn count_ejection(&mut self) {
        self.ejections = counted(self.ejections);
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
            && is_part(self.fails)
            && counts.into_iter().all(|count| count <= MAX_COUNT)
    }
}

/// One more than this count, or the largest one.
fn counted(count: u32) -> u32 {
    count.saturating_add(1).min(MAX_COUNT)
}

/// What an instance has learned, as [`Balancer::learned`](crate::Balancer::learned) hands it out and
/// [`Event::Restored`](crate::Event::Restored) returns it to a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Learned {
    /// When that was, on the clock of then: all times in it are on that clock.
    pub at: Millis,
    /// The load.
    pub load: Load,
    /// The most ready upstreams that there were, each by its slow-start weight.
    #[serde(rename = "upstreams_most")]
    pub upstreams_max: f64,
    /// The part of `upstreams_max` that could be sent to.
    pub upstreams_usable: f64,
    /// Mean response time.
    pub answer: Millis,
    /// Mean deviation from the mean response time.
    pub deviation: Millis,
    /// Requests per cycle that each tenant made, by position in [`Settings::tenants`], with one further entry for
    /// all that are not listed; absent: none was seen.
    pub demands: Vec<Option<f64>>,
    /// Response times of machine kinds, as parts of the class's objective, and the responses that each rests on.
    pub kinds: BTreeMap<u8, (f64, f64)>,
    /// The part of calls that got no response, in steps by how long their connection may have been idle.
    pub rest_lost: Vec<f64>,
    /// Upstreams that were called, with when their processes had started: nothing applies to another start.
    pub upstreams: Vec<(UpstreamId, Millis, Health)>,
}

impl Learned {
    /// Checks every number. What passes can be restored completely, however old it is.
    ///
    /// # Errors
    ///
    /// The first field at fault.
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
            self.rest_lost.iter().copied().all(is_part),
            "learned.rest_lost",
            "between 0 and 1",
        )?;
        self.check_kinds(settings)?;
        check(
            self.upstreams
                .iter()
                .all(|(_, since, health)| is_amount(*since) && health.is_valid()),
            "learned.upstreams",
            "numbers of at least 0, counts of a billion at most",
        )
    }

    fn check_load(&self) -> Result<(), SettingsError> {
        let load = &self.load;
        let amounts = [
            load.capacity,
            load.recent,
            load.peak,
            load.served,
            self.upstreams_max,
            self.at,
        ];
        check(
            amounts.into_iter().all(is_amount),
            "learned.load",
            "numbers of at least 0",
        )?;
        let parts = [load.success, load.uncrowded, self.upstreams_usable];
        check(
            parts.into_iter().all(is_part),
            "learned.load.success",
            "between 0 and 1",
        )
    }

    fn check_response_times(&self, settings: &Settings) -> Result<(), SettingsError> {
        // No response takes longer than the longest deadline.
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let is_response_time = |time: f64| (MIN_RESPONSE_TIME..=longest).contains(&time);
        check(
            is_response_time(self.answer) && is_response_time(self.load.unloaded),
            "learned.answer",
            "a time that an answer can take",
        )?;
        check(
            (0.0..=longest).contains(&self.deviation),
            "learned.deviation",
            "a time that an answer can take",
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
            "times that answers can take",
        )
    }
}
