//! Decodes a frame into a batch of records.
use super::bytes::{f64_at, u32_at};
use super::error::{HeaderError, WireError};
use super::frame::HEADER_SIZE;
use super::record::{decode_record, Record};
use balancer_core::Millis;

/// Size of a record in bytes.
const RECORD_SIZE: usize = 48;

/// A decoded batch.
#[derive(Debug)]
pub struct Batch {
    /// The simulation's current time.
    pub now: Millis,
    /// The batch's sequence number; the reply repeats it.
    pub number: u32,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Variable-size data that records refer to by offset.
    pub tail: Vec<u8>,
}

/// The fields of a frame's header.
struct Header {
    now: Millis,
    number: u32,
    count: usize,
}

/// Decodes a complete frame. `index` is the frame's position in the input, counted from zero, for error messages.
///
/// # Errors
///
/// Returns an error for an invalid header or for the first invalid record.
pub fn decode(frame: &[u8], index: u64) -> Result<Batch, WireError> {
    let header = decode_header(frame).map_err(|source| WireError::Header {
        frame: index,
        source,
    })?;
    let body = &frame[HEADER_SIZE..];
    let (records, tail) = body.split_at(header.count * RECORD_SIZE);
    let records = records.chunks_exact(RECORD_SIZE).enumerate();
    let records = records.map(|(position, record)| {
        decode_record(record, tail).map_err(|source| WireError::Record {
            frame: index,
            record: position,
            source,
        })
    });
    Ok(Batch {
        now: header.now,
        number: header.number,
        records: records.collect::<Result<_, _>>()?,
        tail: tail.to_vec(),
    })
}

fn decode_header(frame: &[u8]) -> Result<Header, HeaderError> {
    let length = frame.len();
    if length < HEADER_SIZE {
        return Err(HeaderError::TooShort { length });
    }
    let stated = u32_at(frame, 0);
    if stated as usize != length {
        return Err(HeaderError::SizeMismatch { stated, length });
    }
    let count = u32_at(frame, 4) as usize;
    let body = length - HEADER_SIZE;
    if count > body / RECORD_SIZE {
        return Err(HeaderError::TooManyRecords { count, body });
    }
    let now = f64_at(frame, 8);
    if !now.is_finite() {
        return Err(HeaderError::Clock(now));
    }
    let number = u32_at(frame, 16);
    Ok(Header { now, number, count })
}
