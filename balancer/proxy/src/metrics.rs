//! The balancer's metrics, and the file that they are exported to. Owns the counters.
mod file;
mod snapshot;
mod tier;

pub(crate) use file::{MetricsFile, MetricsFileError};
pub(crate) use snapshot::{Gauges, Percentiles, Snapshot};
pub(crate) use tier::{DroppedDatagrams, TierMetrics, TierSums};

use crate::log::LogCounters;
use crate::recovery::Start;
use balancer_core::{Ending, Refusal};
use balancer_snapshots::writer::Written;
use hdrhistogram::Histogram;

/// Maximum value of the histograms, in microseconds: one hour. Longer times are recorded as this.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Number of significant decimal digits of recorded times.
const HISTOGRAM_DIGITS: u8 = 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Answered with an upstream's response.
    Served,
    /// Refused by the module.
    Refused(Refusal),
    /// Refused because too many requests were open.
    TooManyOpen,
    /// Answered as failed.
    Failed,
    /// The client disconnected.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Returns the name of the outcome in metrics and log events.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Refused(Refusal::OverLimit) => "refused_over_limit",
            RequestOutcome::Refused(Refusal::TooLittleTime) => "refused_too_little_time",
            RequestOutcome::Refused(Refusal::NoUpstream) => "refused_no_upstream",
            RequestOutcome::Refused(Refusal::GivenUp) => "refused_given_up",
            RequestOutcome::TooManyOpen => "refused_too_many_open",
            RequestOutcome::Failed => "failed",
            RequestOutcome::ClientDisconnected => "left",
        }
    }
}

/// The counters.
pub(crate) struct Metrics {
    counts: Snapshot,
    response_times: Histogram<u64>,
    attempt_times: Histogram<u64>,
    zones: Vec<String>,
    local_zone: u16,
}

/// Metrics of other components at the time of a snapshot.
pub(crate) struct ComponentMetrics {
    /// The log's counters.
    pub log: LogCounters,
    /// The counters of recovery writes, if recovery is on.
    pub recovery: Option<Written>,
    /// The tier's metrics, if this replica communicates with its peers.
    pub tier: Option<TierMetrics>,
    /// Number of snapshots that were not written to the file.
    pub skipped: u64,
}

fn histogram() -> Histogram<u64> {
    // Cannot fail: the bounds are valid constants.
    Histogram::new_with_bounds(1, MAX_RECORDED_US, HISTOGRAM_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds"))
}

fn record_ms(histogram: &mut Histogram<u64>, ms: f64) {
    histogram.saturating_record((ms * 1000.0).max(0.0) as u64);
}

impl Metrics {
    /// Creates zero counters for this start of a balancer with this name and zone.
    pub(crate) fn new(
        name: &str,
        zones: &[String],
        local_zone: u16,
        start: Option<Start>,
    ) -> Metrics {
        let counts = Snapshot {
            name: name.into(),
            starts: start.map(|start| start.count),
            incarnation: start.map(|start| start.incarnation),
            ..Snapshot::default()
        };
        Metrics {
            counts,
            response_times: histogram(),
            attempt_times: histogram(),
            zones: zones.to_vec(),
            local_zone,
        }
    }

    /// Counts a received request.
    pub(crate) fn request_received(&mut self) {
        self.counts.requests += 1;
    }

    /// Counts the end of a request that took `ms` milliseconds.
    pub(crate) fn request_ended(&mut self, outcome: RequestOutcome, ms: f64) {
        *self
            .counts
            .requests_ended
            .entry(outcome.name())
            .or_default() += 1;
        record_ms(&mut self.response_times, ms);
    }

    /// Counts an attempt to an upstream in this zone.
    pub(crate) fn attempt_began(&mut self, zone: u16) {
        self.counts.attempts += 1;
        self.counts.cross_zone_attempts += u64::from(zone != self.local_zone);
        let name = self
            .zones
            .get(usize::from(zone))
            .map_or("unknown", String::as_str);
        match self.counts.attempts_by_zone.get_mut(name) {
            Some(count) => *count += 1,
            None => {
                self.counts.attempts_by_zone.insert(name.into(), 1);
            }
        }
    }

    /// Counts the end of an attempt that took `ms` milliseconds.
    pub(crate) fn attempt_ended(&mut self, ending: Ending, ms: f64) {
        let name = attempt_outcome_name(ending);
        *self.counts.attempts_ended.entry(name).or_default() += 1;
        record_ms(&mut self.attempt_times, ms);
    }

    /// Counts a response from discovery.
    pub(crate) fn list_answered(&mut self) {
        self.counts.lists += 1;
    }

    /// Counts a failed call to discovery.
    pub(crate) fn list_failed(&mut self) {
        self.counts.list_failures += 1;
    }

    /// Returns all counters with the gauges and the metrics of other components.
    pub(crate) fn snapshot(&self, gauges: Gauges, components: ComponentMetrics) -> Snapshot {
        Snapshot {
            at_ms: gauges.at_ms,
            up_ms: gauges.up_ms,
            open: gauges.open,
            listed: gauges.listed,
            ready: gauges.ready,
            response_times: Percentiles::of(&self.response_times),
            attempt_times: Percentiles::of(&self.attempt_times),
            log: components.log,
            recovery: components.recovery,
            tier: components.tier,
            skipped: components.skipped,
            ..self.counts.clone()
        }
    }
}

/// Returns the name of an attempt's outcome in metrics and log events.
pub(crate) fn attempt_outcome_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Ok => "served",
        Ending::Error => "error",
        Ending::Rejected => "turned_away",
        Ending::Timeout => "timed_out",
        Ending::ConnectFailed => "not_connected",
        Ending::Reset => "reset",
        Ending::Cancelled => "cancelled",
        Ending::NotSent => "not_sent",
        Ending::Unknown => "unknown",
    }
}
