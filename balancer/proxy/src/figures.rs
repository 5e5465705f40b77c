//! What the balancer counts of itself, and the file in which others read it. Owns the counters.
mod file;
mod peers;
mod snapshot;

pub(crate) use file::File;
pub(crate) use peers::{Dropped, Peers, Sums};
pub(crate) use snapshot::{Now, Snapshot, Times};

use crate::log::Lines;
use crate::recovery::Start;
use balancer_core::{Ending, Refusal};
use balancer_snapshots::writer::Written;
use hdrhistogram::Histogram;

/// Times up to an hour are told apart, in microseconds; longer ones count as that.
const LONGEST: u64 = 3_600_000_000;

/// How a request ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// With an upstream's answer.
    Served,
    /// Refused by the module.
    Refused(Refusal),
    /// Refused because as many were open as may be.
    Full,
    /// Answered as failed.
    Failed,
    /// Its client left.
    Left,
}

impl Ended {
    /// Its name, in figures and events.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Ended::Served => "served",
            Ended::Refused(Refusal::OverLimit) => "refused_over_limit",
            Ended::Refused(Refusal::TooLittleTime) => "refused_too_little_time",
            Ended::Refused(Refusal::NoUpstream) => "refused_no_upstream",
            Ended::Refused(Refusal::GivenUp) => "refused_given_up",
            Ended::Full => "refused_too_many_open",
            Ended::Failed => "failed",
            Ended::Left => "left",
        }
    }
}

/// The counters.
pub(crate) struct Figures {
    counts: Snapshot,
    to_answer: Histogram<u64>,
    to_end: Histogram<u64>,
    zones: Vec<String>,
    own_zone: u16,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the crate takes.
    Histogram::new_with_bounds(1, LONGEST, 2).unwrap_or_else(|_| unreachable!("constant bounds"))
}

impl Figures {
    /// Nothing counted yet, for a balancer of this name and zone, at this start of it.
    pub(crate) fn new(
        name: &str,
        zones: &[String],
        own_zone: u16,
        start: Option<Start>,
    ) -> Figures {
        let (starts, incarnation) = (start.map(|s| s.count), start.map(|s| s.incarnation));
        let counts = Snapshot {
            name: name.into(),
            starts,
            incarnation,
            ..Snapshot::default()
        };
        Figures {
            counts,
            to_answer: histogram(),
            to_end: histogram(),
            zones: zones.to_vec(),
            own_zone,
        }
    }

    /// A request was taken.
    pub(crate) fn taken(&mut self) {
        self.counts.requests += 1;
    }

    /// It has ended, after so many milliseconds.
    pub(crate) fn ended(&mut self, how: Ended, after: f64) {
        *self.counts.ended.entry(how.name()).or_default() += 1;
        self.to_answer
            .saturating_record((after * 1000.0).max(0.0) as u64);
    }

    /// An attempt has begun, to an upstream of this zone.
    pub(crate) fn attempt(&mut self, zone: u16) {
        self.counts.attempts += 1;
        self.counts.crossings += u64::from(zone != self.own_zone);
        let name = self
            .zones
            .get(usize::from(zone))
            .map_or("unknown", String::as_str);
        match self.counts.zones.get_mut(name) {
            Some(count) => *count += 1,
            None => {
                self.counts.zones.insert(name.into(), 1);
            }
        }
    }

    /// An attempt has ended, after so many milliseconds.
    pub(crate) fn attempt_ended(&mut self, how: Ending, after: f64) {
        *self.counts.attempts_ended.entry(name_of(how)).or_default() += 1;
        self.to_end
            .saturating_record((after * 1000.0).max(0.0) as u64);
    }

    /// Discovery has answered, or a call has failed.
    pub(crate) fn list(&mut self, answered: bool) {
        if answered {
            self.counts.lists += 1;
        } else {
            self.counts.list_failures += 1;
        }
    }

    /// All counts, with what only others know.
    pub(crate) fn snapshot(
        &self,
        now: Now,
        log: Lines,
        recovery: Option<Written>,
        peers: Option<Peers>,
        skipped: u64,
    ) -> Snapshot {
        Snapshot {
            at_ms: now.at_ms,
            up_ms: now.up_ms,
            open: now.open,
            listed: now.listed,
            ready: now.ready,
            to_answer: Times::of(&self.to_answer),
            to_end: Times::of(&self.to_end),
            log,
            recovery,
            peers,
            skipped,
            ..self.counts.clone()
        }
    }
}

/// The name of an attempt's end, in figures and events.
pub(crate) fn name_of(how: Ending) -> &'static str {
    match how {
        Ending::Ok => "served",
        Ending::Error => "error",
        Ending::Full => "turned_away",
        Ending::Timeout => "timed_out",
        Ending::ConnectFailed => "not_connected",
        Ending::Reset => "reset",
        Ending::Cancelled => "cancelled",
        Ending::Moot => "not_sent",
        Ending::Unknown => "unknown",
    }
}
