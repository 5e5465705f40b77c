//! Decodes the records of a batch. Variable-size data that a record refers to is in the frame's tail.
use super::bytes::{f64_at, u16_at, u32_at, u64_at, upstream_at};
use super::error::{RecordError, UpdateError};
use balancer_core::{
    Availability, Ending, Endpoint, EndpointUpdate, Event, Request, RequestId, UpstreamId,
};
use std::ops::Range;
use xxhash_rust::xxh3::xxh3_64;

/// Size in bytes of an entry of an endpoint list.
const ENTRY_SIZE: usize = 24;
/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

/// The endpoint list of a `table` record.
pub type Table = Vec<Endpoint>;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The following records apply to this instance.
    Target(u16),
    /// Creates an instance.
    Configure {
        /// Seed of the balancer's random number generator.
        seed: u64,
        /// Range of the settings' JSON in the tail.
        setup: Range<usize>,
    },
    /// Removes the instance.
    Destroy,
    /// Stores an endpoint list for all instances under a number.
    Table {
        /// The number that `Sync` records refer to it by.
        number: u32,
        /// The list.
        endpoints: Table,
    },
    /// Updates the endpoint list from a table.
    Sync {
        /// Code of the kind of update, see [`endpoint_update`].
        kind: u8,
        /// The number of the table.
        table: u32,
    },
    /// Any other event that the balancer handles.
    Event(Event),
    /// An attempt ended.
    Outcome {
        /// The outcome as an event of the balancer.
        event: Event,
        /// The upstream of the attempt.
        upstream: UpstreamId,
        /// Values of the upstream's load report, in the order of its columns; empty without a report.
        report: Vec<f32>,
    },
    /// A valid record that the balancer does not use.
    Skip,
}

/// Returns a range of the tail after checking its bounds.
fn tail_range(
    tail: &[u8],
    start: u32,
    length: u64,
    what: &'static str,
) -> Result<Range<usize>, RecordError> {
    let end = u64::from(start) + length;
    if end > tail.len() as u64 {
        return Err(RecordError::OutsideTail {
            what,
            start,
            end,
            tail: tail.len(),
        });
    }
    Ok(start as usize..end as usize)
}

fn check_finite(value: f64, what: &'static str) -> Result<f64, RecordError> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(RecordError::NotFinite { what, value })
    }
}

/// Hashes the request's key, which a client's retry repeats, or its id if it has no key.
fn request_tie(record: &[u8]) -> u64 {
    let has_key = u64_at(record, 10) != 0;
    xxh3_64(if has_key {
        &record[10..18]
    } else {
        &record[1..5]
    })
}

/// Decodes one record.
pub(super) fn decode_record(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    match record[0] {
        0 => Ok(Record::Event(Event::Timer(u32_at(record, 1)))),
        1 => Ok(Record::Destroy),
        2 => Ok(Record::Sync {
            kind: record[1],
            table: u32_at(record, 10),
        }),
        3 | 7 => Ok(Record::Skip),
        4 => decode_configure(record, tail),
        5 => decode_request(record),
        6 => decode_table(record, tail),
        8 => decode_outcome(record),
        9 => {
            let id = RequestId(u32_at(record, 1));
            Ok(Record::Event(Event::ClientDisconnected(id)))
        }
        10 => Ok(Record::Target(u16_at(record, 1))),
        11 => Ok(Record::Event(Event::Streaming {
            request: RequestId(u32_at(record, 1)),
            attempt: u32::from(u16_at(record, 11)),
        })),
        code => Err(RecordError::UnknownEvent(code)),
    }
}

fn decode_configure(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let length = u64::from(u32_at(record, 13));
    Ok(Record::Configure {
        seed: u64_at(record, 1),
        setup: tail_range(tail, u32_at(record, 9), length, "settings")?,
    })
}

fn decode_request(record: &[u8]) -> Result<Record, RecordError> {
    Ok(Record::Event(Event::Request(Request {
        id: RequestId(u32_at(record, 1)),
        class: usize::from(record[5]),
        tenant: u32_at(record, 6) as usize,
        deadline: check_finite(f64_at(record, 18), "deadline")?,
        tie: request_tie(record),
    })))
}

fn decode_table(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let length = u64::from(u32_at(record, 9)) * ENTRY_SIZE as u64;
    let range = tail_range(tail, u32_at(record, 5), length, "entries")?;
    let entries = tail[range].chunks_exact(ENTRY_SIZE);
    Ok(Record::Table {
        number: u32_at(record, 1),
        endpoints: entries.map(decode_entry).collect::<Result<_, _>>()?,
    })
}

fn decode_outcome(record: &[u8]) -> Result<Record, RecordError> {
    let values = usize::from(record[24]).min(MAX_REPORT_VALUES);
    let value = |position| f32::from_bits(u32_at(record, 25 + 4 * position));
    Ok(Record::Outcome {
        event: Event::Outcome {
            request: RequestId(u32_at(record, 1)),
            attempt: u32::from(u16_at(record, 5)),
            ending: ending(u16_at(record, 13)),
            duration: check_finite(f64_at(record, 15), "duration")?,
            closed: record[23] != 0,
        },
        upstream: upstream_at(record, 7),
        report: (0..values).map(value).collect(),
    })
}

fn decode_entry(entry: &[u8]) -> Result<Endpoint, RecordError> {
    Ok(Endpoint {
        availability: availability(entry[11])?,
        since: check_finite(f64_at(entry, 16), "start time of an upstream")?,
        id: upstream_at(entry, 0),
        zone: u16_at(entry, 6),
        kind: entry[8],
        group: u16_at(entry, 9),
    })
}

fn availability(code: u8) -> Result<Availability, RecordError> {
    match code {
        0 => Ok(Availability::Draining),
        2 => Ok(Availability::Removed),
        3 => Ok(Availability::Ready),
        other => Err(RecordError::UnknownAvailability(other)),
    }
}

fn ending(code: u16) -> Ending {
    match code {
        200 => Ending::Ok,
        502 => Ending::Error,
        429 => Ending::Rejected,
        408 => Ending::Timeout,
        521 => Ending::ConnectFailed,
        520 => Ending::Reset,
        444 => Ending::Cancelled,
        409 => Ending::NotSent,
        _ => Ending::Unknown,
    }
}

/// Builds the endpoint update of a `sync` record from the table that it refers to.
///
/// # Errors
///
/// Returns an error if the kind is unknown, or if it needs a table that was never sent.
pub fn endpoint_update(kind: u8, table: Option<&Table>) -> Result<EndpointUpdate, UpdateError> {
    let endpoints = || table.cloned().ok_or(UpdateError::MissingTable);
    match kind {
        0 => Ok(EndpointUpdate::Full(endpoints()?)),
        1 => Ok(EndpointUpdate::Failed),
        2 => Ok(EndpointUpdate::Delta(endpoints()?)),
        3 => Ok(EndpointUpdate::Cached(endpoints()?)),
        other => Err(UpdateError::UnknownKind(other)),
    }
}
