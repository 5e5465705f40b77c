//! Positions on a hash ring, the same at every balancer. Stateless.
use crate::interface::UpstreamId;

/// Position of an id, evenly distributed by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn ring_position(id: UpstreamId) -> u64 {
    let mixed = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
