//! The codec of datagrams: the fixed header and the trailing checksum. The payload between them is encoded by the
//! module of its version. Received bytes are either decoded completely or rejected with a reason. Stateless.
mod section;
pub mod v1;
pub mod v2;

use crate::types::{Member, VersionRange, HEADER_LEN, MAGIC, MAX_DATAGRAM_LEN};

/// The length of the trailing CRC-32, in bytes.
const CHECKSUM_LEN: usize = 4;
/// The maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_LEN: usize = MAX_DATAGRAM_LEN - HEADER_LEN - CHECKSUM_LEN;

/// The header of a datagram, which is the same in all versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u8,
    pub supported_versions: VersionRange,
    pub position: Member,
    pub incarnation: u64,
    pub deployment: u32,
    pub epoch: u64,
}

/// The reason why a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short, too long, corrupt, or not of this protocol.
    #[error("malformed datagram")]
    Malformed,
}

/// Encodes a datagram from its header and payload, and appends the checksum.
pub fn seal(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LEN + payload.len() + CHECKSUM_LEN);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[
        header.version,
        header.supported_versions.min,
        header.supported_versions.max,
    ]);
    bytes.extend_from_slice(&header.position.0.to_be_bytes());
    bytes.extend_from_slice(&header.incarnation.to_be_bytes());
    bytes.extend_from_slice(&header.deployment.to_be_bytes());
    bytes.extend_from_slice(&header.epoch.to_be_bytes());
    bytes.extend_from_slice(payload);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Verifies a datagram and returns its header and payload.
///
/// # Errors
///
/// When the length, the magic bytes, the checksum or the versions are invalid.
pub fn open(bytes: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
    if bytes.len() < HEADER_LEN + CHECKSUM_LEN
        || bytes.len() > MAX_DATAGRAM_LEN
        || bytes[..2] != MAGIC
    {
        return Err(DecodeError::Malformed);
    }
    let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_LEN);
    if crc32fast::hash(body).to_be_bytes() != checksum {
        return Err(DecodeError::Malformed);
    }
    let supported_versions = VersionRange {
        min: body[3],
        max: body[4],
    };
    if supported_versions.min > supported_versions.max
        || body[2] < supported_versions.min
        || body[2] > supported_versions.max
    {
        return Err(DecodeError::Malformed);
    }
    let header = Header {
        version: body[2],
        supported_versions,
        position: Member(u16::from_be_bytes(fixed(&body[5..7]))),
        incarnation: u64::from_be_bytes(fixed(&body[7..15])),
        deployment: u32::from_be_bytes(fixed(&body[15..19])),
        epoch: u64::from_be_bytes(fixed(&body[19..27])),
    };
    Ok((header, &body[HEADER_LEN..]))
}

/// The first `N` bytes of a slice as an array; callers pass slices of length `N`.
fn fixed<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[..N]);
    array
}
