//! Decodes one record of a batch; what it points at lies in the frame's tail. Owns no state.
use super::bytes::{f64_at, u16_at, u32_at, u64_at, upstream_at};
use super::error::{RecordError, UpdateError};
use balancer_core::{
    Availability, Ending, Endpoint, EndpointUpdate, Event, Request, RequestId, UpstreamId,
};
use std::ops::Range;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of an entry of a list.
const ENTRY_SIZE: usize = 24;
/// The most values of a load report.
const MAX_REPORT: usize = 4;

/// A list of upstreams as a `table` record carries it.
pub type Table = Vec<Endpoint>;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The next records belong to this instance.
    Target(u16),
    /// An instance starts with these settings (a range of the frame's tail).
    Configure {
        /// Feeds the balancer's random choices.
        seed: u64,
        /// Where the settings lie in the tail.
        setup: Range<usize>,
    },
    /// An instance was killed.
    Destroy,
    /// A numbered list for all instances.
    Table {
        /// What `Sync` records point at it by.
        number: u32,
        /// The list.
        endpoints: Table,
    },
    /// An update of the endpoint list, pointing at a table.
    Sync {
        /// The kind of update, see [`endpoint_update`].
        kind: u8,
        /// The number of the table.
        table: u32,
    },
    /// Anything else the balancer handles.
    Event(Event),
    /// An attempt ended; the upstream and the values of its load report, as many as there are.
    Outcome {
        /// What the balancer handles.
        event: Event,
        /// The upstream of the attempt.
        upstream: UpstreamId,
        /// The values of its load report.
        report: Vec<f32>,
    },
    /// A legal record that the balancer has no use for.
    Skip,
}

/// The bytes of the tail from an offset on.
fn range(
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

fn finite(value: f64, what: &'static str) -> Result<f64, RecordError> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(RecordError::NotFinite { what, value })
    }
}

/// By the key, which a client's retry has as well; without one by the id.
fn tie(record: &[u8]) -> u64 {
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
        setup: range(tail, u32_at(record, 9), length, "settings")?,
    })
}

fn decode_request(record: &[u8]) -> Result<Record, RecordError> {
    Ok(Record::Event(Event::Request(Request {
        id: RequestId(u32_at(record, 1)),
        class: usize::from(record[5]),
        tenant: u32_at(record, 6) as usize,
        deadline: finite(f64_at(record, 18), "deadline")?,
        tie: tie(record),
    })))
}

fn decode_table(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let length = u64::from(u32_at(record, 9)) * ENTRY_SIZE as u64;
    let range = range(tail, u32_at(record, 5), length, "entries")?;
    let entries = tail[range].chunks_exact(ENTRY_SIZE);
    Ok(Record::Table {
        number: u32_at(record, 1),
        endpoints: entries.map(decode_entry).collect::<Result<_, _>>()?,
    })
}

fn decode_outcome(record: &[u8]) -> Result<Record, RecordError> {
    let values = usize::from(record[24]).min(MAX_REPORT);
    let value = |position| f32::from_bits(u32_at(record, 25 + 4 * position));
    Ok(Record::Outcome {
        event: Event::Outcome {
            request: RequestId(u32_at(record, 1)),
            attempt: u32::from(u16_at(record, 5)),
            ending: ending(u16_at(record, 13)),
            duration: finite(f64_at(record, 15), "duration")?,
            closed: record[23] != 0,
        },
        upstream: upstream_at(record, 7),
        report: (0..values).map(value).collect(),
    })
}

fn decode_entry(entry: &[u8]) -> Result<Endpoint, RecordError> {
    Ok(Endpoint {
        availability: availability(entry[11])?,
        since: finite(f64_at(entry, 16), "start time of an upstream")?,
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

/// Resolves a `sync` record against the table it points at.
///
/// # Errors
///
/// The kind is unknown, or it needs a table that was never sent.
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
