//! What is over the tenants' limits in the tier, and what a copy has seen of the classes.
use crate::interface::{Ending, Millis, Settings};

/// Requests by which a tenant's mix of classes is known: then old ones count half.
const MIX_OF: f64 = 400.0;
/// Weight of a class's newest answer.
const TAKES_GAIN: f64 = 0.02;

/// What the tier's level says of a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Level {
    /// There is none: the tier has room for what it is asked, or nothing is known of that.
    Absent,
    /// Its tenant is within its limit over the tier, and others are not.
    Within,
    /// Its tenant is over its limit, and it is worth more than what goes.
    Above,
    /// All copies refuse it.
    Below,
}

/// The level up to which all copies refuse, and the order in which they do.
pub(crate) struct Shed {
    /// The part of each tenant's requests that is over its limit.
    pub parts: Vec<f64>,
    /// The part of ties that passes, as a multiple of the part of requests.
    pub again: f64,
    /// Requests of each tenant by class; and what answers of each class take.
    mixes: Vec<Vec<f64>>,
    pub takes: Vec<Millis>,
}

impl Shed {
    /// Nothing is over, and answers are taken to take what they may.
    pub(crate) fn new(s: &Settings, tenants: usize) -> Self {
        let mixes = vec![vec![0.0; s.classes.len()]; tenants];
        let takes = s.classes.iter().map(|c| c.objective).collect();
        Shed {
            parts: vec![0.0; tenants],
            again: 1.0,
            mixes,
            takes,
        }
    }

    /// Takes note of a request.
    pub(crate) fn asked(&mut self, tenant: usize, class: usize) {
        let mix = &mut self.mixes[tenant];
        mix[class] += 1.0;
        if mix.iter().sum::<f64>() > MIX_OF {
            mix.iter_mut().for_each(|n| *n /= 2.0);
        }
    }

    /// Takes note of how an attempt ended, and after how long.
    pub(crate) fn took(&mut self, class: usize, ending: Ending, duration: Millis) {
        if ending == Ending::Ok {
            self.takes[class] += TAKES_GAIN * (duration - self.takes[class]);
        }
    }

    /// The part of a tenant's requests that come before this one: those of classes that stand lower, and of those that
    /// stand as high the ones with a lower tie.
    pub(crate) fn before(
        &self,
        tenant: usize,
        (class, tie): (usize, u64),
        stands: impl Fn(usize) -> f64,
    ) -> f64 {
        let (own, tie) = (stands(class), tie as f64 / u64::MAX as f64);
        let part = |c: usize| match stands(c) {
            other if other == own => tie,
            other => f64::from(u8::from(other < own)),
        };
        let mix = &self.mixes[tenant];
        mix.iter()
            .enumerate()
            .map(|(c, n)| n * part(c))
            .sum::<f64>()
            / mix.iter().sum::<f64>()
    }
}
