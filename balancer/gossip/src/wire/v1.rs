//! Version 1: membership and verdicts.
use serde::{Deserialize, Serialize};

use super::section::{Reader, Writer};
use super::DecodeError;
use crate::types::{Subject, VersionRange};

/// The kind of a message, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an [`MessageKind::Ack`].
    Ping,
    /// Acknowledges a ping, which is identified by the echo.
    Ack,
    /// Requests an indirect probe of the target.
    PingRequest,
    /// Confirms that the target of an indirect probe is alive.
    IndirectAck,
    /// Disseminates updates, without a response.
    Gossip,
}

/// The latest stamp received from the peer to which this datagram is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub stamp: u32,
    /// Milliseconds between receipt of the stamp and this echo.
    pub delay: u32,
}

/// The target of an indirect probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeTarget {
    pub member: u16,
    /// The time since it was last known to be alive, in units of [`TICK`].
    pub age: u8,
}

/// The part of a payload that every message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub kind: MessageKind,
    /// The sender's time in milliseconds from an arbitrary start. The receiver echoes it.
    pub stamp: u32,
    pub echo: Option<Echo>,
    /// The target of a [`MessageKind::PingRequest`] or an [`MessageKind::IndirectAck`].
    pub target: Option<ProbeTarget>,
    /// The number of members that have recently failed, as known to the sender.
    pub recent_failures: u16,
}

/// The inclusive range of versions that a member has announced as supported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupportedVersions {
    pub min: u8,
    pub max: u8,
}

impl From<VersionRange> for SupportedVersions {
    fn from(versions: VersionRange) -> SupportedVersions {
        SupportedVersions {
            min: versions.min,
            max: versions.max,
        }
    }
}

impl From<SupportedVersions> for VersionRange {
    fn from(versions: SupportedVersions) -> VersionRange {
        VersionRange {
            min: versions.min,
            max: versions.max,
        }
    }
}

/// A digest of the membership with one bit per member from `base` on, by which two replicas detect differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipDigest {
    pub base: u16,
    /// The versions that most members support.
    pub supported_versions: SupportedVersions,
    /// The members that are up.
    pub bits: Vec<u8>,
    /// The members that support other versions; empty if there are none.
    pub others: Vec<u8>,
}

impl MembershipDigest {
    /// The members that the digest covers.
    pub fn members(&self) -> impl Iterator<Item = DigestedMember> + '_ {
        (0..self.bits.len() * 8).filter_map(move |at| {
            let member = u16::try_from(usize::from(self.base) + at).ok()?;
            Some(DigestedMember {
                member,
                is_up: bit(&self.bits, at),
                has_common_versions: !bit(&self.others, at),
            })
        })
    }
}

/// One member of a [`MembershipDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestedMember {
    pub member: u16,
    pub is_up: bool,
    /// Whether it supports [`MembershipDigest::supported_versions`].
    pub has_common_versions: bool,
}

/// A bit of a digest, counted from the lowest bit of each byte; unset beyond the end.
fn bit(bits: &[u8], at: usize) -> bool {
    bits.get(at / 8)
        .is_some_and(|byte| byte >> (at % 8) & 1 == 1)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    Up,
    Suspect,
    Failed,
    /// It has announced that it leaves.
    Left,
}

/// An update on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub member: u16,
    pub incarnation: u64,
    pub status: Status,
    pub supported_versions: SupportedVersions,
    /// The time since it became suspected, in units of [`TICK`].
    pub age: u8,
}

/// The unit of ages on the wire, in milliseconds. One byte represents up to 5.08 s, longer than every bound on an age.
pub const TICK: f64 = 20.0;

/// Whether a verdict is in force or withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VerdictState {
    Against,
    Cleared,
}

/// An observation of an upstream or a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    #[serde(with = "SubjectForm")]
    pub subject: Subject,
    pub observer: u16,
    pub zone: u16,
    /// Grows with each new observation by the observer, as a serial number of RFC 1982.
    pub sequence: u16,
    pub state: VerdictState,
    pub age: u8,
}

/// The encoding of a [`Subject`].
#[derive(Serialize, Deserialize)]
#[serde(remote = "Subject")]
enum SubjectForm {
    Upstream(u64),
    Zone(u16),
}

/// The payload of version 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Body {
    pub head: Head,
    pub digest: MembershipDigest,
    pub updates: Vec<MemberUpdate>,
    pub verdicts: Vec<Verdict>,
}

/// Space for verdicts, enough for four of 17 bytes each; the remaining space is for membership updates and sums.
const VERDICTS_BYTES: usize = 70;

impl Body {
    /// Encodes as much as fits, membership updates first, and truncates `updates` to those that were encoded.
    pub(crate) fn encode(&mut self, to: &mut Writer, reserved: usize) {
        // The head has at most 30 bytes and the length of the digest is limited by its owner, so both always fit.
        to.value(&self.head, 0);
        to.value(&(self.digest.base, self.digest.supported_versions), 0);
        to.list(&self.digest.bits, usize::MAX >> 1, reserved + 3);
        to.list(&self.digest.others, usize::MAX >> 1, reserved + 2);
        let verdicts = if self.verdicts.is_empty() {
            1
        } else {
            VERDICTS_BYTES
        };
        let written = to.list(&self.updates, usize::MAX >> 1, reserved + verdicts);
        self.updates.truncate(written);
        to.list(&self.verdicts, VERDICTS_BYTES, reserved);
    }

    pub(crate) fn decode(from: &mut Reader<'_>) -> Result<Body, DecodeError> {
        let head = from.value()?;
        let (base, supported_versions) = from.value()?;
        let digest = MembershipDigest {
            base,
            supported_versions,
            bits: from.list()?,
            others: from.list()?,
        };
        Ok(Body {
            head,
            digest,
            updates: from.list()?,
            verdicts: from.list()?,
        })
    }
}

/// Encodes a payload of version 1 in at most `max_len` bytes.
pub fn encode(body: &mut Body, max_len: usize) -> Vec<u8> {
    let mut to = Writer::new(max_len);
    body.encode(&mut to, 0);
    to.finish()
}

/// Decodes a complete payload of version 1.
///
/// # Errors
///
/// When the bytes are not exactly one payload.
pub fn decode(payload: &[u8]) -> Result<Body, DecodeError> {
    let mut from = Reader(payload);
    let body = Body::decode(&mut from)?;
    from.end()?;
    Ok(body)
}

/// An age in units of [`TICK`], rounded up; `None` if it is too large for a byte.
pub fn age_to_ticks(age: f64) -> Option<u8> {
    let ticks = (age.max(0.0) / TICK).ceil();
    (ticks < f64::from(u8::MAX)).then_some(ticks as u8)
}
