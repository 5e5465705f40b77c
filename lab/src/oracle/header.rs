//! What every datagram between balancers begins and ends with, read from its bytes alone.
//!
//! | at | bytes | what, numbers big-endian |
//! | --- | --- | --- |
//! | 0 | 2 | `oP` |
//! | 2 | 1 | the version that the rest is written in |
//! | 3 | 1 | the lowest version that the sender reads |
//! | 4 | 1 | the highest |
//! | 5 | 2 | the sender's place in the list of its tier |
//! | 7 | 8 | its incarnation |
//! | 15 | 4 | the deployment |
//! | 19 | 8 | the number of the agreement on a version |
//! | last | 4 | CRC-32 of all before |

const MAGIC: &[u8] = b"oP";
const LENGTH: usize = 27;
const SUM: usize = 4;

/// The fixed part of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub version: u8,
    /// The lowest and the highest version that the sender reads.
    pub reads: (u8, u8),
    pub place: u16,
    pub incarnation: u64,
    pub epoch: u64,
}

impl Header {
    /// Reads one; the error says what is wrong with it.
    pub(super) fn read(bytes: &[u8]) -> Result<Header, &'static str> {
        let (body, sum) = bytes.split_last_chunk::<SUM>().ok_or("too short")?;
        if body.len() < LENGTH {
            return Err("too short");
        }
        if !body.starts_with(MAGIC) {
            return Err("not begun as all are");
        }
        if u32::from_be_bytes(*sum) != crc32fast::hash(body) {
            return Err("of a wrong sum");
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
            false => Err("of a version that its sender does not read"),
        }
    }
}
