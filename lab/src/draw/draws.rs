//! Random draws made during a run, from seeds that are part of the plan.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Maximum relative deviation of the work of a call.
const CALL_WORK_NOISE: f64 = 0.2;

/// Random draws for the calls of one request into a tier: their number and work.
pub struct Draws {
    rng: Pcg64Mcg,
}

impl Draws {
    /// Creates the draws from the seed of a request or of one of its calls.
    pub fn new(seed: u64) -> Draws {
        Draws {
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Draws the number of calls to the next tier, with the given mean.
    pub fn count(&mut self, mean: f64) -> usize {
        let base = mean.floor();
        base as usize + usize::from(self.rng.gen::<f64>() < mean - base)
    }

    /// Draws the factor by which the work of an attempt deviates.
    pub fn noise(&mut self) -> f64 {
        1.0 + CALL_WORK_NOISE * (2.0 * self.rng.gen::<f64>() - 1.0)
    }

    /// Draws a number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.rng.gen()
    }

    /// Draws the seed of a call to the next tier.
    pub fn seed(&mut self) -> u64 {
        self.rng.gen()
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.gen::<f64>() < p
    }
}
