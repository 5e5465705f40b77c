//! Numbers and durations in experiment files: either fixed or drawn uniformly from a range. Also holds default values
//! that several tables share.
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use thiserror::Error;

/// Milliseconds: a duration, or a point in time counted from the start of the run.
pub type Millis = f64;

/// A number that is fixed or drawn uniformly from a range: `0.2` or `[0.1, 0.3]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Lower bound.
    pub least: f64,
    /// Upper bound.
    pub most: f64,
}

/// A duration that is fixed or drawn uniformly from a range: `"200ms"` or `["1s", "3s"]`. Stored in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Range);

impl Range {
    /// Returns a range that holds a single value.
    pub const fn fixed(value: f64) -> Range {
        Range {
            least: value,
            most: value,
        }
    }

    /// Returns the midpoint.
    pub fn mean(&self) -> f64 {
        (self.least + self.most) / 2.0
    }
}

impl Span {
    /// Returns a span from bounds in milliseconds.
    pub const fn ms(least: f64, most: f64) -> Span {
        Span(Range { least, most })
    }
}

/// Why a value is not a valid range.
#[derive(Debug, Error)]
enum RangeError {
    #[error("invalid range {least} to {most}: bounds must be from 0 to 1e12, the lower one first")]
    Order { least: f64, most: f64 },
    #[error("invalid duration {text:?}, expected for example \"1s 500ms\": {source}")]
    Duration {
        text: String,
        source: humantime::DurationError,
    },
}

fn range(least: f64, most: f64) -> Result<Range, RangeError> {
    if !(0.0..=1e12).contains(&least) || !(0.0..=1e12).contains(&most) || least > most {
        return Err(RangeError::Order { least, most });
    }
    Ok(Range { least, most })
}

struct RangeVisitor;

impl<'de> Visitor<'de> for RangeVisitor {
    type Value = Range;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number or a pair of numbers [least, most]")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Range, E> {
        range(v, v).map_err(E::custom)
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Range, E> {
        self.visit_f64(v as f64)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
        let (least, most) = read_pair(&mut seq, &self)?;
        range(least, most).map_err(de::Error::custom)
    }
}

fn read_pair<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    expected: &dyn de::Expected,
) -> Result<(T, T), A::Error> {
    let least = seq
        .next_element()?
        .ok_or_else(|| de::Error::invalid_length(0, expected))?;
    let most = seq
        .next_element()?
        .ok_or_else(|| de::Error::invalid_length(1, expected))?;
    match seq.next_element::<de::IgnoredAny>()? {
        Some(_) => Err(de::Error::invalid_length(3, expected)),
        None => Ok((least, most)),
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Range, D::Error> {
        d.deserialize_any(RangeVisitor)
    }
}

fn parse_millis(text: &str) -> Result<f64, RangeError> {
    let time = humantime::parse_duration(text).map_err(|source| RangeError::Duration {
        text: text.to_owned(),
        source,
    })?;
    Ok(time.as_secs_f64() * 1000.0)
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a duration with its unit such as \"1500ms\", or a pair of durations [least, most]",
        )
    }
    fn visit_str<E: de::Error>(self, v: &str) -> Result<Span, E> {
        let ms = parse_millis(v).map_err(E::custom)?;
        Ok(Span::ms(ms, ms))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
        let (least, most): (String, String) = read_pair(&mut seq, &self)?;
        let (least, most) = (parse_millis(&least), parse_millis(&most));
        let span = least
            .and_then(|l| range(l, most?))
            .map_err(de::Error::custom)?;
        Ok(Span(span))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        d.deserialize_any(SpanVisitor)
    }
}

pub(super) fn zero() -> Range {
    Range::fixed(0.0)
}

pub(super) fn unit() -> f64 {
    1.0
}

pub(super) fn unit_range() -> Range {
    Range::fixed(1.0)
}

pub(super) fn one() -> u32 {
    1
}
