//! Parses the fixed header and trailer of datagrams between balancers, independently of the balancer's own code.
//!
//! | offset | bytes | content, numbers big-endian |
//! | --- | --- | --- |
//! | 0 | 2 | `oP` |
//! | 2 | 1 | protocol version of the datagram |
//! | 3 | 1 | lowest version that the sender supports |
//! | 4 | 1 | highest version that the sender supports |
//! | 5 | 2 | index of the sender in the member list of its tier |
//! | 7 | 8 | incarnation of the sender |
//! | 15 | 4 | deployment |
//! | 19 | 8 | epoch of the version agreement |
//! | last | 4 | CRC-32 of all preceding bytes |

const MAGIC: &[u8] = b"oP";
const HEADER_LEN: usize = 27;
const CHECKSUM_LEN: usize = 4;

/// The fixed header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub version: u8,
    /// Lowest and highest version that the sender supports.
    pub reads: (u8, u8),
    pub place: u16,
    pub incarnation: u64,
    pub epoch: u64,
}

impl Header {
    /// Parses a header. The error completes the sentence "sent a datagram ...".
    pub(super) fn read(bytes: &[u8]) -> Result<Header, &'static str> {
        let (body, checksum) = bytes
            .split_last_chunk::<CHECKSUM_LEN>()
            .ok_or("shorter than a header and checksum")?;
        if body.len() < HEADER_LEN {
            return Err("shorter than a header and checksum");
        }
        if !body.starts_with(MAGIC) {
            return Err("with a wrong magic number");
        }
        if u32::from_be_bytes(*checksum) != crc32fast::hash(body) {
            return Err("with a wrong checksum");
        }
        let number = |at: usize, bytes: usize| {
            body[at..at + bytes]
                .iter()
                .fold(0u64, |n, byte| n << 8 | u64::from(*byte))
        };
        let header = Header {
            version: body[2],
            reads: (body[3], body[4]),
            place: number(5, 2) as u16,
            incarnation: number(7, 8),
            epoch: number(19, 8),
        };
        match (header.reads.0..=header.reads.1).contains(&header.version) {
            true => Ok(header),
            false => Err("in a version that its sender does not support"),
        }
    }
}
