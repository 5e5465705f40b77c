//! Version 1: membership and verdicts.
use serde::{Deserialize, Serialize};

use super::section::{Reader, Writer};
use super::DecodeError;
use crate::types::Subject;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping,
    /// Answers a ping, identified by its echo.
    Ack,
    /// Asks the receiver for an indirect probe of the member that this is about.
    PingRequest,
    /// Confirms that the member that this is about has answered an indirect probe.
    IndirectAck,
    /// Disseminates updates; wants no answer.
    Gossip,
}

/// The latest stamp that was read from the receiver, and how long ago, in the sender's milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub stamp: u32,
    pub held: u32,
}

/// A third member, and how long ago it lived at most, in units of [`TICK`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub member: u16,
    pub age: u8,
}

/// The fixed part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub kind: Kind,
    /// The sender's milliseconds from an arbitrary start: echoed by the receiver, compared by nobody else.
    pub stamp: u32,
    pub echo: Option<Echo>,
    /// Whom an [`Kind::PingRequest`] or a [`Kind::IndirectAck`] is about.
    pub about: Option<About>,
    /// Members that the sender has lately declared gone.
    pub lost: u16,
}

/// Versions that a member reads, as it announced them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reads {
    pub least: u8,
    pub most: u8,
}

/// Who is up, as a bit for each place from `base` on, so that two replicas find where they differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    pub base: u16,
    /// What most of them read.
    pub reads: Reads,
    pub bits: Vec<u8>,
    /// Those that read anything else; empty if there are none.
    pub others: Vec<u8>,
}

impl View {
    /// The places that the view covers, each with whether it is up, and whether it reads what most do.
    pub fn places(&self) -> impl Iterator<Item = (u16, bool, bool)> + '_ {
        let bit = |bits: &[u8], at: usize| {
            bits.get(at / 8)
                .is_some_and(|byte| byte >> (at % 8) & 1 == 1)
        };
        (0..self.bits.len() * 8).filter_map(move |at| {
            let place = u16::try_from(usize::from(self.base) + at).ok()?;
            Some((place, bit(&self.bits, at), !bit(&self.others, at)))
        })
    }
}

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    Up,
    Suspect,
    Gone,
    /// It has left in order, by its own message.
    Left,
}

/// An update on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub member: u16,
    pub incarnation: u64,
    pub status: Status,
    pub reads: Reads,
    /// How long it has been suspected, in units of [`TICK`].
    pub age: u8,
}

/// The unit of ages on the wire, in milliseconds. A byte of them reaches 5.08 s, beyond every bound.
pub const TICK: f64 = 20.0;

/// Whether a verdict is given or withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stance {
    Against,
    Cleared,
}

/// An observation on an upstream or a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    #[serde(with = "SubjectForm")]
    pub subject: Subject,
    pub observer: u16,
    pub zone: u16,
    /// Grows with each change of the observer's mind, as RFC 1982's serial numbers do.
    pub sequence: u16,
    pub stance: Stance,
    pub age: u8,
}

/// How a [`Subject`] is written.
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
    pub view: View,
    pub records: Vec<Record>,
    pub verdicts: Vec<Verdict>,
}

/// Space for verdicts, in bytes: four of 17 bytes, so that membership updates and sums keep theirs.
const VERDICTS_BYTES: usize = 70;

impl Body {
    /// Writes what fits, membership updates first; `records` are as many as were written.
    pub(crate) fn write(&mut self, to: &mut Writer, reserved: usize) {
        // The fixed part has 30 bytes at most and the view what its owner limits it to, so both always fit.
        to.value(&self.head, 0);
        to.value(&(self.view.base, self.view.reads), 0);
        to.list(&self.view.bits, usize::MAX >> 1, reserved + 3);
        to.list(&self.view.others, usize::MAX >> 1, reserved + 2);
        let verdicts = if self.verdicts.is_empty() {
            1
        } else {
            VERDICTS_BYTES
        };
        let written = to.list(&self.records, usize::MAX >> 1, reserved + verdicts);
        self.records.truncate(written);
        to.list(&self.verdicts, VERDICTS_BYTES, reserved);
    }

    pub(crate) fn read(from: &mut Reader<'_>) -> Result<Body, DecodeError> {
        let head = from.value()?;
        let (base, reads) = from.value()?;
        let view = View {
            base,
            reads,
            bits: from.list()?,
            others: from.list()?,
        };
        Ok(Body {
            head,
            view,
            records: from.list()?,
            verdicts: from.list()?,
        })
    }
}

/// The payload of a datagram of version 1.
pub fn write(body: &mut Body, most: usize) -> Vec<u8> {
    let mut to = Writer::new(most);
    body.write(&mut to, 0);
    to.finish()
}

/// Reads a whole payload of version 1.
pub fn read(payload: &[u8]) -> Result<Body, DecodeError> {
    let mut from = Reader(payload);
    let body = Body::read(&mut from)?;
    from.end()?;
    Ok(body)
}

/// An age for the wire, never less than it is; none beyond what a byte holds.
pub fn ticks(age: f64) -> Option<u8> {
    let ticks = (age.max(0.0) / TICK).ceil();
    (ticks < f64::from(u8::MAX)).then_some(ticks as u8)
}
