//! What can be wrong with the input. Owns no state.
use std::io;

/// What was wrong with the input, and where.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The pipe failed.
    #[error("reading standard input: {0}")]
    Io(#[source] io::Error),
    /// The input ended inside a frame.
    #[error("frame {batch}: input ended after {got} of {wanted} bytes")]
    Truncated {
        /// The frame, counted from zero.
        batch: u64,
        /// Bytes that the frame has.
        wanted: usize,
        /// Bytes that came.
        got: usize,
    },
    /// A header that cannot be right.
    #[error("frame {batch}: header: {source}")]
    Header {
        /// The frame, counted from zero.
        batch: u64,
        /// What is wrong.
        source: HeaderError,
    },
    /// A record that cannot be right.
    #[error("frame {batch}, record {record}: {source}")]
    Record {
        /// The frame, counted from zero.
        batch: u64,
        /// The record, counted from zero.
        record: usize,
        /// What is wrong.
        source: RecordError,
    },
}

/// What is wrong with a header.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// The stated size is none that a frame can have.
    #[error("stated size of {size} bytes is outside {min} to {max}")]
    SizeOutOfRange {
        /// The stated size in bytes.
        size: usize,
        /// The least size in bytes.
        min: usize,
        /// The largest size in bytes.
        max: usize,
    },
    /// Less than a header.
    #[error("{length} bytes are too few for a frame")]
    TooShort {
        /// Bytes that there are.
        length: usize,
    },
    /// The stated size is not the frame's.
    #[error("stated size {stated} is not the {length} bytes at hand")]
    SizeMismatch {
        /// The stated size in bytes.
        stated: u32,
        /// Bytes that there are.
        length: usize,
    },
    /// More records than the frame can hold.
    #[error("{count} records do not fit into {body} bytes")]
    TooManyRecords {
        /// The stated number of records.
        count: usize,
        /// Bytes after the header.
        body: usize,
    },
    /// The clock reads no time.
    #[error("the clock reads {0}")]
    Clock(f64),
}

/// What is wrong with a record.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// It points at bytes that the tail does not have.
    #[error("{what}: bytes {start} to {end} lie outside the tail of {tail}")]
    OutsideTail {
        /// What it points at.
        what: &'static str,
        /// The first byte.
        start: u32,
        /// The byte after the last.
        end: u64,
        /// Bytes of the tail.
        tail: usize,
    },
    /// A time that is none.
    #[error("{what} reads {value}")]
    NotFinite {
        /// What time.
        what: &'static str,
        /// What it reads.
        value: f64,
    },
    /// A record of an unknown kind.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// An upstream of an unknown availability.
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
}

/// Why an update of the endpoint list cannot be resolved.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum UpdateError {
    /// The table that it points at does not exist.
    #[error("points at a table that was never sent")]
    MissingTable,
    /// An update of an unknown kind.
    #[error("unknown kind of news {0}")]
    UnknownKind(u8),
}
