//! Random draws, and places that are the same at every balancer. Owns no state: the generator is the caller's.
use crate::interface::UpstreamId;
use rand_core::RngCore;

/// The generator of every random choice.
pub(crate) type Rng = rand_pcg::Pcg64Mcg;

/// From 0 to below 1.
pub(crate) fn unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// From 0 to below `n`.
pub(crate) fn below(rng: &mut Rng, n: usize) -> usize {
    ((u128::from(rng.next_u64()) * n as u128) >> 64) as usize
}

/// A stable spread of ids over a ring, the same at every balancer.
pub(crate) fn ring_place(id: UpstreamId) -> u64 {
    let x = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
