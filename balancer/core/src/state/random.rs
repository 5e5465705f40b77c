//! Random numbers. Stateless: the caller owns the generator.
use rand_core::RngCore;

/// Random number generator of all decisions.
pub(crate) type Rng = rand_pcg::Pcg64Mcg;

/// Uniform random number in `[0, 1)`.
pub(crate) fn random_unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Uniform random integer in `[0, bound)`.
pub(crate) fn random_below(rng: &mut Rng, bound: usize) -> usize {
    ((u128::from(rng.next_u64()) * bound as u128) >> 64) as usize
}
