//! Metrics and times as experiment files state them: fixed, or drawn from a range. Holds the defaults that several
//! tables share.
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use thiserror::Error;

/// Milliseconds: a point of a run, counted from its start, or a span.
pub type Millis = f64;

/// A metric that is fixed, or drawn evenly between two: `0.2` or `[0.1, 0.3]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

/// A time that is fixed, or drawn evenly between two: `"200ms"` or `["1s", "3s"]`. Held in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Range);

impl Range {
    /// The same metric every time.
    pub const fn fixed(value: f64) -> Range {
        Range {
            least: value,
            most: value,
        }
    }

    /// The metric in the middle.
    pub fn mean(&self) -> f64 {
        (self.least + self.most) / 2.0
    }
}

impl Span {
    /// A span between two numbers of milliseconds.
    pub const fn ms(least: f64, most: f64) -> Span {
        Span(Range { least, most })
    }
}

/// Why a text or two numbers are no range.
#[derive(Debug, Error)]
enum RangeError {
    #[error("{least} to {most} is no range from a least to a most of at least 0")]
    Order { least: f64, most: f64 },
    #[error("{text:?} is no time such as \"1s 500ms\": {source}")]
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
        f.write_str("a number, or two of them: [least, most]")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Range, E> {
        range(v, v).map_err(E::custom)
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Range, E> {
        self.visit_f64(v as f64)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
        let (least, most) = two(&mut seq, &self)?;
        range(least, most).map_err(de::Error::custom)
    }
}

fn two<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
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

fn millis(text: &str) -> Result<f64, RangeError> {
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
        f.write_str("a time with its unit such as \"1500ms\", or two of them: [least, most]")
    }
    fn visit_str<E: de::Error>(self, v: &str) -> Result<Span, E> {
        let ms = millis(v).map_err(E::custom)?;
        Ok(Span::ms(ms, ms))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
        let (least, most): (String, String) = two(&mut seq, &self)?;
        let (least, most) = (millis(&least), millis(&most));
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

pub(super) fn none() -> Range {
    Range::fixed(0.0)
}

pub(super) fn unit() -> f64 {
    1.0
}

pub(super) fn unit_range() -> Range {
    Range::fixed(1.0)
}

pub(super) fn one_try() -> u32 {
    1
}
