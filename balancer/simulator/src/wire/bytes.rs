//! Reads the big-endian numbers of the wire format. Callers check lengths first; reads out of bounds panic.
use balancer_core::UpstreamId;

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}

/// Reads the big-endian number at an offset. Panics if it extends beyond `bytes`.
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

/// Reads the six-byte id of an upstream. Panics if it extends beyond `bytes`.
pub(super) fn upstream_at(bytes: &[u8], offset: usize) -> UpstreamId {
    let high = u64::from(u32_at(bytes, offset)) << 16;
    UpstreamId(high | u64::from(u16_at(bytes, offset + 4)))
}
