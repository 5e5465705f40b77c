//! A hash that is stable across machines and builds. It does not resist deliberate collisions.

/// The 64-bit FNV-1a hash of bytes (Fowler, Noll and Vo).
pub fn fnv1a<'b>(bytes: impl IntoIterator<Item = &'b u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.into_iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
