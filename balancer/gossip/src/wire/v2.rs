//! Version 2: version 1, and behind it the loads of which tiers make sums.
//!
//! Values are in bfloat16: 8 significant bits over the range of `f32`, so that reading what was written is off by at
//! most 1 part in 256. Rounding is to the nearest, so sums over many are off by less.
use half::bf16;
use serde::{Deserialize, Serialize};

use super::section::{Reader, Writer};
use super::{v1, DecodeError};

/// A value as bfloat16.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CompactFloat(u16);

impl CompactFloat {
    /// The nearest to a value. What is no finite number, or negative, becomes zero.
    pub fn of(value: f64) -> CompactFloat {
        let value = if value.is_finite() && value > 0.0 {
            value.min(f64::from(bf16::MAX))
        } else {
            0.0
        };
        CompactFloat(bf16::from_f64(value).to_bits())
    }

    /// The value: finite and not negative.
    pub fn value(self) -> f64 {
        let value = f64::from(bf16::from_bits(self.0));
        if value.is_finite() && value > 0.0 {
            value
        } else {
            0.0
        }
    }
}

// Two bytes each; postcard's own encoding of a `u16` would take three for most.
impl Serialize for CompactFloat {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.0.to_be_bytes().serialize(to)
    }
}

impl<'de> Deserialize<'de> for CompactFloat {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<CompactFloat, D::Error> {
        Ok(CompactFloat(u16::from_be_bytes(<[u8; 2]>::deserialize(
            from,
        )?)))
    }
}

/// Bytes of the sender's own [`Totals`] and of the count before them.
const TOTALS_BYTES: usize = 14;

/// The totals of one member: 12 bytes at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    pub owner: u16,
    pub age: u8,
    /// Demand, capacity, version_1 attempts, retries.
    pub values: [CompactFloat; 4],
}

/// The load of one tenant: demand, calls in flight, client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRow {
    pub tenant: u16,
    pub values: [CompactFloat; 3],
}

/// The sender's tenants: the sum of those that no [`TenantRow`] names, and the age of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnnamedTenants {
    pub age: u8,
    pub values: [CompactFloat; 3],
}

/// Tenants that one datagram names at most, at 9 bytes each. With fewer tenants all are named.
pub const MAX_TENANT_ROWS: usize = 8;

/// The payload of version 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Body {
    pub version_1: v1::Body,
    pub unnamed_tenants: Option<UnnamedTenants>,
    pub rows: Vec<TenantRow>,
    pub totals: Vec<Totals>,
}

/// Bytes that the two lists behind the unnamed tenants take when they are empty.
const EMPTY_LISTS: usize = 2;
/// Bytes that membership updates leave for sums: the sender's own totals and four tenants at least.
const SUMS_RESERVE: usize = 70;

/// Encodes a payload of version 2 in so many bytes at most.
pub fn encode(body: &mut Body, max_len: usize) -> Vec<u8> {
    let mut to = Writer::new(max_len);
    // Three lists that are empty take three bytes.
    let reserved = if body.totals.is_empty() {
        3
    } else {
        SUMS_RESERVE
    };
    body.version_1.encode(&mut to, reserved);
    if !to.value(&body.unnamed_tenants, EMPTY_LISTS) {
        // What doesn't fit is absent, and its absence takes the byte that is reserved for it.
        to.value(&None::<UnnamedTenants>, EMPTY_LISTS);
    }
    let totals_len = if body.totals.is_empty() {
        1
    } else {
        TOTALS_BYTES
    };
    to.list(&body.rows, usize::MAX >> 1, totals_len);
    to.list(&body.totals, usize::MAX >> 1, 0);
    to.finish()
}

/// Decodes a complete payload of version 2.
///
/// # Errors
///
/// When the bytes are not exactly one payload.
pub fn decode(payload: &[u8]) -> Result<Body, DecodeError> {
    let mut from = Reader(payload);
    let version_1 = v1::Body::decode(&mut from)?;
    let body = Body {
        version_1,
        unnamed_tenants: from.value()?,
        rows: from.list()?,
        totals: from.list()?,
    };
    from.end()?;
    Ok(body)
}
