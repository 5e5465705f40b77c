//! Errors of reading and decoding frames.
use std::io;

/// Error of reading or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading failed.
    #[error("reading standard input: {0}")]
    Io(#[source] io::Error),
    /// The input ended inside a frame.
    #[error("frame {frame}: input ended after {got} of {wanted} bytes")]
    Truncated {
        /// Position of the frame, counted from zero.
        frame: u64,
        /// Bytes that were needed: those of the frame or of its size field.
        wanted: usize,
        /// Bytes that were read.
        got: usize,
    },
    /// The frame's header is invalid.
    #[error("frame {frame}: header: {source}")]
    Header {
        /// Position of the frame, counted from zero.
        frame: u64,
        /// The error of the header.
        source: HeaderError,
    },
    /// A record is invalid.
    #[error("frame {frame}, record {record}: {source}")]
    Record {
        /// Position of the frame, counted from zero.
        frame: u64,
        /// Position of the record, counted from zero.
        record: usize,
        /// The error of the record.
        source: RecordError,
    },
}

/// Error of decoding a header.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// No frame can have the stated size.
    #[error("stated size of {size} bytes is outside {min} to {max}")]
    SizeOutOfRange {
        /// The stated size in bytes.
        size: usize,
        /// The minimum size in bytes.
        min: usize,
        /// The maximum size in bytes.
        max: usize,
    },
    /// The frame is shorter than a header.
    #[error("frame of {length} bytes is shorter than a header")]
    TooShort {
        /// The frame's length in bytes.
        length: usize,
    },
    /// The stated size differs from the frame's length.
    #[error("stated size of {stated} bytes differs from the frame's {length} bytes")]
    SizeMismatch {
        /// The stated size in bytes.
        stated: u32,
        /// The frame's length in bytes.
        length: usize,
    },
    /// The frame is too short for the stated number of records.
    #[error("{count} records do not fit into {body} bytes")]
    TooManyRecords {
        /// The stated number of records.
        count: usize,
        /// Bytes after the header.
        body: usize,
    },
    /// The simulation's current time is not finite.
    #[error("current time is not finite: {0}")]
    Clock(f64),
}

/// Error of decoding a record.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The record refers to bytes outside the frame's tail.
    #[error("{what}: bytes {start} to {end} are outside the tail of {tail} bytes")]
    OutsideTail {
        /// What the bytes hold.
        what: &'static str,
        /// The first byte.
        start: u32,
        /// The byte after the last one.
        end: u64,
        /// Length of the tail in bytes.
        tail: usize,
    },
    /// A time is not finite.
    #[error("{what} is not finite: {value}")]
    NotFinite {
        /// Name of the field.
        what: &'static str,
        /// Its value.
        value: f64,
    },
    /// The record's event code is unknown.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The code of an upstream's availability is unknown.
    #[error("unknown availability code {0}")]
    UnknownAvailability(u8),
}

/// Why an update of the endpoint list cannot be resolved.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum UpdateError {
    /// No table has the stated number.
    #[error("the table was never sent")]
    MissingTable,
    /// The update's kind is unknown.
    #[error("unknown kind of update {0}")]
    UnknownKind(u8),
}
