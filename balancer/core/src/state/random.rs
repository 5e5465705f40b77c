//! Random draws. Owns no state: the generator is the caller's.
use rand_core::RngCore;

/// The generator of every random choice.
pub(crate) type Rng = rand_pcg::Pcg64Mcg;

/// Draws from 0 to below 1.
pub(crate) fn random_unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws from 0 to below `bound`.
pub(crate) fn random_below(rng: &mut Rng, bound: usize) -> usize {
    ((u128::from(rng.next_u64()) * bound as u128) >> 64) as usize
}
