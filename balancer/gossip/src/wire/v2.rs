//! Version 2: version 1, and behind it sums.
//!
//! Figures are in bfloat16: 8 significant bits over the range of `f32`, so that reading what was written is off by at
//! most 1 part in 256. Rounding is to the nearest, so sums over many are off by less.
use half::bf16;
use serde::{Deserialize, Serialize};

use super::section::{Reader, Writer};
use super::{v1, DecodeError};

/// A figure as written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Figure(u16);

impl Figure {
    /// What is no number that can be added, or below nothing, is written as nothing.
    pub fn of(value: f64) -> Figure {
        let value = if value.is_finite() && value > 0.0 {
            value.min(f64::from(bf16::MAX))
        } else {
            0.0
        };
        Figure(bf16::from_f64(value).to_bits())
    }

    pub fn value(self) -> f64 {
        let value = f64::from(bf16::from_bits(self.0));
        if value.is_finite() && value > 0.0 {
            value
        } else {
            0.0
        }
    }
}

// Two bytes each; postcard's own form of a `u16` would take three for most.
impl Serialize for Figure {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.0.to_be_bytes().serialize(to)
    }
}

impl<'de> Deserialize<'de> for Figure {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Figure, D::Error> {
        Ok(Figure(u16::from_be_bytes(<[u8; 2]>::deserialize(from)?)))
    }
}

/// Bytes of the sender's own [`Totals`] and of the count before them.
const TOTALS_BYTES: usize = 14;

/// An owner's totals: 12 bytes at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    pub owner: u16,
    pub age: u8,
    /// Demand, capacity, first attempts, retries.
    pub figures: [Figure; 4],
}

/// One tenant's figures: demand, calls, client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub tenant: u16,
    pub figures: [Figure; 3],
}

/// The sender's tenants: the sum of those that no [`Row`] names, and the age of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rest {
    pub age: u8,
    pub figures: [Figure; 3],
}

/// Tenants that one datagram names at most: 9 bytes each. With fewer tenants all are named.
pub const ROWS: usize = 8;

/// The payload of version 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Body {
    pub first: v1::Body,
    pub rest: Option<Rest>,
    pub rows: Vec<Row>,
    pub totals: Vec<Totals>,
}

/// Bytes that the two lists behind the rest take when they are empty.
const EMPTY_LISTS: usize = 2;
/// Bytes that membership updates leave for sums: the sender's own totals and four tenants at least.
const SUMS_RESERVE: usize = 70;

/// The payload of a datagram of version 2.
pub fn write(body: &mut Body, most: usize) -> Vec<u8> {
    let mut to = Writer::new(most);
    // Three lists that are empty take three bytes.
    let reserved = if body.totals.is_empty() {
        3
    } else {
        SUMS_RESERVE
    };
    body.first.write(&mut to, reserved);
    if !to.value(&body.rest, EMPTY_LISTS) {
        // What doesn't fit is absent, and its absence takes the byte that is reserved for it.
        to.value(&None::<Rest>, EMPTY_LISTS);
    }
    to.list(
        &body.rows,
        usize::MAX >> 1,
        if body.totals.is_empty() {
            1
        } else {
            TOTALS_BYTES
        },
    );
    to.list(&body.totals, usize::MAX >> 1, 0);
    to.finish()
}

/// Reads a whole payload of version 2.
pub fn read(payload: &[u8]) -> Result<Body, DecodeError> {
    let mut from = Reader(payload);
    let first = v1::Body::read(&mut from)?;
    let body = Body {
        first,
        rest: from.value()?,
        rows: from.list()?,
        totals: from.list()?,
    };
    from.end()?;
    Ok(body)
}
