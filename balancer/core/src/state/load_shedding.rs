//! What exceeds the tenants' limits in the tier, and what an instance has seen of the classes.
use crate::interface::{Ending, Millis, Settings};

/// Requests by which a tenant's mix of classes is known: then old ones count half.
const MIX_REQUESTS: f64 = 400.0;
/// Weight of a class's newest response.
const RESPONSE_TIME_GAIN: f64 = 0.02;

/// What the tier's level of shedding means for a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SheddingVerdict {
    /// There is no level: the tier has the capacity for what it is sent, or that is not known.
    NoLevel,
    /// Its tenant is within its limit over the tier, and others are not.
    WithinLimit,
    /// Its tenant is over its limit, and the request is worth more than what is shed.
    AboveLevel,
    /// All instances shed it.
    BelowLevel,
}

/// By what the requests of a tenant are ordered.
#[derive(Clone, Copy)]
pub(crate) struct ClassKey {
    /// Position in the settings.
    pub class: usize,
    /// See [`Request::tie`](crate::Request::tie).
    pub tie: u64,
}

/// The level up to which all instances shed, and the order in which they do.
pub(crate) struct LoadShedding {
    /// The part of each tenant's requests that is over its limit.
    pub excess: Vec<f64>,
    /// The part of ties that passes, as a multiple of the part of requests: shed requests are retried.
    pub retry_multiple: f64,
    /// Requests of each tenant by class.
    class_mixes: Vec<Vec<f64>>,
    /// Response times by class.
    pub response_times: Vec<Millis>,
}

impl LoadShedding {
    /// Nothing is over a limit, and responses are assumed to take their objective.
    pub(crate) fn new(settings: &Settings, tenants: usize) -> Self {
        let classes = &settings.classes;
        LoadShedding {
            excess: vec![0.0; tenants],
            retry_multiple: 1.0,
            class_mixes: vec![vec![0.0; classes.len()]; tenants],
            response_times: classes.iter().map(|class| class.objective).collect(),
        }
    }

    /// Records a request.
    pub(crate) fn record_request(&mut self, tenant: usize, class: usize) {
        let mix = &mut self.class_mixes[tenant];
        mix[class] += 1.0;
        if mix.iter().sum::<f64>() > MIX_REQUESTS {
            mix.iter_mut().for_each(|requests| *requests /= 2.0);
        }
    }

    /// Records how an attempt ended, and after how long.
    pub(crate) fn record_outcome(&mut self, class: usize, ending: Ending, duration: Millis) {
        if ending == Ending::Ok {
            let mean = &mut self.response_times[class];
            *mean += RESPONSE_TIME_GAIN * (duration - *mean);
        }
    }

    /// The part of a tenant's requests that are shed before this one: those of classes with a lower value, and of those
    /// with the same value the ones with a lower tie.
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
