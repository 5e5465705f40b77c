//! Reads numbers of the wire, which are big-endian. Whoever calls has checked the length. Owns no state.
use balancer_core::UpstreamId;

fn take<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&b[at..at + N]);
    out
}

/// A big-endian number at this offset, which must lie within.
pub(super) fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(take(b, at))
}

/// See [`u16_at`].
pub(super) fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(take(b, at))
}

/// See [`u16_at`].
pub(super) fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(take(b, at))
}

/// See [`u16_at`].
pub(super) fn f64_at(b: &[u8], at: usize) -> f64 {
    f64::from_bits(u64_at(b, at))
}

/// The id of an upstream: six bytes.
pub(super) fn upstream_at(b: &[u8], at: usize) -> UpstreamId {
    UpstreamId((u64::from(u32_at(b, at)) << 16) | u64::from(u16_at(b, at + 4)))
}
