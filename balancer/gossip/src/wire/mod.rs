//! The bytes of datagrams: the fixed header and the check at the end here, what lies between in a module for each
//! version. Whatever a stranger sends is either read whole or dropped with a reason; nothing here keeps state.
mod section;
pub mod v1;
pub mod v2;

use crate::types::{Member, Versions, DATAGRAM_MOST, HEADER, MAGIC};

/// The CRC-32 at the end, in bytes.
const CHECK: usize = 4;
/// What a datagram has for its payload, in bytes.
pub const PAYLOAD: usize = DATAGRAM_MOST - HEADER - CHECK;

/// The header of every datagram of every version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u8,
    pub reads: Versions,
    pub place: Member,
    pub incarnation: u64,
    pub deployment: u32,
    pub epoch: u64,
}

/// Why a datagram was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, garbled, or nothing of ours.
    Broken,
}

/// A whole datagram: header, payload, check.
pub fn seal(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len() + CHECK);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[header.version, header.reads.least, header.reads.most]);
    bytes.extend_from_slice(&header.place.0.to_be_bytes());
    bytes.extend_from_slice(&header.incarnation.to_be_bytes());
    bytes.extend_from_slice(&header.deployment.to_be_bytes());
    bytes.extend_from_slice(&header.epoch.to_be_bytes());
    bytes.extend_from_slice(payload);
    let check = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&check.to_be_bytes());
    bytes
}

/// The header and the payload of a datagram that came whole.
pub fn open(bytes: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
    if bytes.len() < HEADER + CHECK || bytes.len() > DATAGRAM_MOST || bytes[..2] != MAGIC {
        return Err(DecodeError::Broken);
    }
    let (body, check) = bytes.split_at(bytes.len() - CHECK);
    if crc32fast::hash(body).to_be_bytes() != check {
        return Err(DecodeError::Broken);
    }
    let reads = Versions {
        least: body[3],
        most: body[4],
    };
    if reads.least > reads.most || body[2] < reads.least || body[2] > reads.most {
        return Err(DecodeError::Broken);
    }
    let header = Header {
        version: body[2],
        reads,
        place: Member(u16::from_be_bytes(fixed(&body[5..7]))),
        incarnation: u64::from_be_bytes(fixed(&body[7..15])),
        deployment: u32::from_be_bytes(fixed(&body[15..19])),
        epoch: u64::from_be_bytes(fixed(&body[19..27])),
    };
    Ok((header, &body[HEADER..]))
}

/// The first bytes of a slice as an array; the slices that it is given have its length.
fn fixed<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[..N]);
    array
}
