//! What is drawn while a run goes on, from seeds that the plan has.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How unequal the work of the calls of one request is.
const CALL_VARIES: f64 = 0.2;

/// What is drawn for the calls of one request into one tier: how many, and how much work each is.
pub struct Calls {
    rng: Pcg64Mcg,
}

impl Calls {
    /// For the request that was drawn with this seed, at this place of its tree of calls.
    pub fn new(seed: u64) -> Calls {
        Calls {
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Calls to the next tier, for this mean.
    pub fn count(&mut self, mean: f64) -> usize {
        let base = mean.floor();
        base as usize + usize::from(self.rng.gen::<f64>() < mean - base)
    }

    /// Noise on the work of one attempt.
    pub fn noise(&mut self) -> f64 {
        1.0 + CALL_VARIES * (2.0 * self.rng.gen::<f64>() - 1.0)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.rng.gen()
    }

    /// Seed for one call further down.
    pub fn seed(&mut self) -> u64 {
        self.rng.gen()
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.gen::<f64>() < p
    }
}
