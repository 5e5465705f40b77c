//! Reads numbers of the wire, which are big-endian. The caller has checked the length. Owns no state.
use balancer_core::UpstreamId;

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}

/// A big-endian number at this offset, which must lie within.
pub(super) fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(array_at(bytes, offset))
}

/// See [`u16_at`].
pub(super) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(array_at(bytes, offset))
}

/// See [`u16_at`].
pub(super) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(array_at(bytes, offset))
}

/// See [`u16_at`].
pub(super) fn f64_at(bytes: &[u8], offset: usize) -> f64 {
    f64::from_bits(u64_at(bytes, offset))
}

/// The id of an upstream: six bytes.
pub(super) fn upstream_at(bytes: &[u8], offset: usize) -> UpstreamId {
    let high = u64::from(u32_at(bytes, offset)) << 16;
    UpstreamId(high | u64::from(u16_at(bytes, offset + 4)))
}
