//! Version 2: the payload of version 1, followed by the loads from which sums over the tier are computed.
//!
//! Values are encoded as bfloat16, with 8 significant bits and the range of `f32`, so the relative error is at most 1
//! in 256. Rounding is to the nearest, so sums of many values have smaller errors.
use half::bf16;
use serde::{Deserialize, Serialize};

use super::section::{Reader, Writer};
use super::{v1, DecodeError};

/// A non-negative value as bfloat16.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CompactFloat(u16);

impl CompactFloat {
    /// Rounds to the nearest representable value. Negative and non-finite values become zero.
    pub fn of(value: f64) -> CompactFloat {
        let value = if value.is_finite() && value > 0.0 {
            value.min(f64::from(bf16::MAX))
        } else {
            0.0
        };
        CompactFloat(bf16::from_f64(value).to_bits())
    }

    /// The value, which is finite and not negative.
    pub fn value(self) -> f64 {
        let value = f64::from(bf16::from_bits(self.0));
        if value.is_finite() && value > 0.0 {
            value
        } else {
            0.0
        }
    }
}

// Encoded as two bytes; postcard's encoding of a `u16` would take three bytes for most values.
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

/// The length of the sender's own [`Totals`] and the count before them, in bytes.
const TOTALS_BYTES: usize = 14;

/// The totals of one member, at most 12 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    pub owner: u16,
    pub age: u8,
    /// Demand, capacity, first attempts, retries.
    pub values: [CompactFloat; 4],
}

/// The load of one tenant: demand, calls in flight, client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRow {
    pub tenant: u16,
    pub values: [CompactFloat; 3],
}

/// The sum over the sender's tenants without a [`TenantRow`], and the age of all its tenants' loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnnamedTenants {
    pub age: u8,
    pub values: [CompactFloat; 3],
}

/// Limit of tenant rows per datagram, at 9 bytes each.
pub const MAX_TENANT_ROWS: usize = 8;

/// The payload of version 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Body {
    pub version_1: v1::Body,
    pub unnamed_tenants: Option<UnnamedTenants>,
    pub rows: Vec<TenantRow>,
    pub totals: Vec<Totals>,
}

/// The length of the two empty lists after the unnamed tenants, in bytes.
const EMPTY_LISTS: usize = 2;
/// Bytes that membership updates leave for loads: at least the sender's own totals and four tenants.
const SUMS_RESERVE: usize = 70;

/// Encodes a payload of version 2 in at most `max_len` bytes.
pub fn encode(body: &mut Body, max_len: usize) -> Vec<u8> {
    let mut to = Writer::new(max_len);
    // Without totals, at least three bytes are needed: absent unnamed tenants and two empty lists.
    let reserved = if body.totals.is_empty() {
        3
    } else {
        SUMS_RESERVE
    };
    body.version_1.encode(&mut to, reserved);
    if !to.value(&body.unnamed_tenants, EMPTY_LISTS) {
        // If they don't fit they are encoded as absent, in the byte that is reserved for this.
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
