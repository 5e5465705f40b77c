//! State of tier-wide load shedding: excess by tenant, and statistics by class.
use crate::interface::{Ending, Millis, Settings};

/// Number of requests after which the counts of a tenant's class mix are halved, so that old requests lose weight.
const MIX_REQUESTS: f64 = 400.0;
/// Smoothing factor of response times by class.
const RESPONSE_TIME_GAIN: f64 = 0.02;

/// Result of tier-wide load shedding for a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SheddingVerdict {
    /// No shedding level applies: the tier's capacity suffices or is unknown.
    NoLevel,
    /// The tenant is within its tier-wide limit, while others are not.
    WithinLimit,
    /// The tenant is over its limit, and the request ranks above the shedding level.
    AboveLevel,
    /// The request ranks below the shedding level; all instances shed it.
    BelowLevel,
}

/// Sort key of a tenant's requests in shedding order.
#[derive(Clone, Copy)]
pub(crate) struct ClassKey {
    /// Index in the settings.
    pub class: usize,
    /// See [`Request::tie`](crate::Request::tie).
    pub tie: u64,
}

/// State of tier-wide load shedding.
pub(crate) struct LoadShedding {
    /// Fraction of each tenant's requests over its tier-wide limit.
    pub excess: Vec<f64>,
    /// Ratio of the fraction of ties that passes to the fraction of requests that passes; above one, as shed requests are
    /// retried with the same tie.
    pub retry_multiple: f64,
    /// Recent requests of each tenant by class.
    class_mixes: Vec<Vec<f64>>,
    /// Mean response times by class.
    pub response_times: Vec<Millis>,
}

impl LoadShedding {
    /// Initial state: no excess, and response times equal to the objectives.
    pub(crate) fn new(settings: &Settings, tenants: usize) -> Self {
        let classes = &settings.classes;
        LoadShedding {
            excess: vec![0.0; tenants],
            retry_multiple: 1.0,
            class_mixes: vec![vec![0.0; classes.len()]; tenants],
            response_times: classes.iter().map(|class| class.objective).collect(),
        }
    }

    /// Counts a request in the tenant's class mix.
    pub(crate) fn record_request(&mut self, tenant: usize, class: usize) {
        let mix = &mut self.class_mixes[tenant];
        mix[class] += 1.0;
        if mix.iter().sum::<f64>() > MIX_REQUESTS {
            mix.iter_mut().for_each(|requests| *requests /= 2.0);
        }
    }

    /// Records the outcome and duration of an attempt.
    pub(crate) fn record_outcome(&mut self, class: usize, ending: Ending, duration: Millis) {
        if ending == Ending::Ok {
            let mean = &mut self.response_times[class];
            *mean += RESPONSE_TIME_GAIN * (duration - *mean);
        }
    }

    /// Fraction of a tenant's requests that is shed before this one: those of classes with a lower value, and those of
    /// classes with the same value and a lower tie.
    pub(crate) fn shed_before(
        &self,
        tenant: usize,
        key: ClassKey,
        value: impl Fn(usize) -> f64,
    ) -> f64 {
        let own_value = value(key.class);
        let tie = key.tie as f64 / u64::MAX as f64;
        let part = |class: usize| match value(class) {
            other if other == own_value => tie,
            other => f64::from(u8::from(other < own_value)),
        };
        let mix = &self.class_mixes[tenant];
        let before = mix
            .iter()
            .enumerate()
            .map(|(class, requests)| requests * part(class))
            .sum::<f64>();
        before / mix.iter().sum::<f64>()
    }
}
