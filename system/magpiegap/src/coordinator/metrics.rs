//! Metrics of a coordinator in the OpenMetrics 1.0 text format.
use magpiegap_coordinator::{ClusterDescription, Counters};
use magpiegap_scheduler::SchedulerSummary;
use prometheus_client::{
    collector::Collector,
    encoding::{text, DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge, MetricType},
    registry::Registry,
};
use std::fmt;

/// HTTP content type of the metrics text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes the metrics for one scrape.
pub fn to_text(cluster: ClusterDescription) -> String {
    let mut registry = Registry::with_prefix("magpiegap");
    registry.register_collector(Box::new(ClusterMetrics(cluster)));
    let mut encoded = String::new();
    // Encoding to a string fails only for invalid metric names, and all names are constants of this file.
    let _ = text::encode(&mut encoded, &registry);
    encoded
}

/// Escapes a label value, because `prometheus_client` writes label values unescaped.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// A metric with a single value.
struct Metric {
    name: &'static str,
    help: &'static str,
    value: u64,
}

fn metric(name: &'static str, help: &'static str, value: u64) -> Metric {
    Metric { name, help, value }
}

/// A gauge with one value per scheduler.
struct SchedulerGauge {
    name: &'static str,
    help: &'static str,
    value: fn(&SchedulerSummary) -> usize,
}

fn scheduler_gauge(
    name: &'static str,
    help: &'static str,
    value: fn(&SchedulerSummary) -> usize,
) -> SchedulerGauge {
    SchedulerGauge { name, help, value }
}

fn cluster_gauges(cluster: &ClusterDescription) -> [Metric; 13] {
    [
        metric("view", "Number of the newest view", cluster.view),
        metric(
            "active",
            "Whether this coordinator takes part in the chain",
            u64::from(cluster.active),
        ),
        metric(
            "chain_replicas",
            "Replicas in the chain",
            cluster.chain.len() as u64,
        ),
        metric(
            "committed_entry",
            "Newest entry known to be committed",
            cluster.committed,
        ),
        metric(
            "configuration_version",
            "Version of the configuration",
            cluster.configuration,
        ),
        metric("open_jobs", "Jobs that have not ended", cluster.open_jobs),
        metric(
            "tombstones",
            "Recorded cancellations of jobs that were not known",
            cluster.tombstones,
        ),
        metric(
            "proposals_under_way",
            "Proposals under way",
            cluster.proposals as u64,
        ),
        metric(
            "requests_waiting",
            "Requests that wait for a proposal",
            cluster.requests as u64,
        ),
        metric(
            "commit_milliseconds",
            "Time of a commit, about",
            cluster.commit_ms,
        ),
        metric(
            "agents",
            "Agents that wait for news here",
            cluster.agents as u64,
        ),
        metric(
            "agents_behind",
            "Agents here without the newest configuration",
            cluster.agents_behind as u64,
        ),
        metric(
            "longest_turn_milliseconds",
            "Longest turn of the coordinator since the start; heartbeats wait for the end of a turn",
            cluster.counters.longest_turn_ms,
        ),
    ]
}

fn scheduler_gauges() -> [SchedulerGauge; 6] {
    [
        scheduler_gauge("scheduler_workers", "Workers known", |summary| {
            summary.workers
        }),
        scheduler_gauge(
            "scheduler_silent_workers",
            "Workers that do not answer",
            |summary| summary.unresponsive,
        ),
        scheduler_gauge("scheduler_runs", "Runs on record", |summary| summary.runs),
        scheduler_gauge(
            "scheduler_waiting",
            "Tasks and gangs that wait for a place",
            |summary| summary.queued,
        ),
        scheduler_gauge(
            "scheduler_waiting_urgent",
            "Those of priority 0",
            |summary| summary.queued_urgent,
        ),
        scheduler_gauge(
            "scheduler_rejected_jobs",
            "Jobs whose starts workers reject as invalid",
            |summary| summary.rejected_jobs,
        ),
    ]
}

fn counter_metrics(counters: &Counters) -> [Metric; 10] {
    [
        metric(
            "entries_applied",
            "Entries applied since the start",
            counters.entries,
        ),
        metric("views", "Views taken up since the start", counters.views),
        metric("runs_opened", "Runs put on record", counters.runs_opened),
        metric(
            "runs_done",
            "Runs that ended with success",
            counters.runs_done,
        ),
        metric("runs_failed", "Runs that failed", counters.runs_failed),
        metric(
            "runs_cut_short",
            "Runs that were stopped, lapsed or were lost",
            counters.runs_interrupted,
        ),
        metric("worker_calls", "Calls to workers", counters.worker_calls),
        metric(
            "configuration_parts",
            "Parts of configurations for agents",
            counters.configuration_chunks,
        ),
        metric(
            "configuration_bytes",
            "Bytes of these parts",
            counters.configuration_bytes,
        ),
        metric(
            "long_turns",
            "Turns that took longer than a tenth of the suspicion timeout",
            counters.long_turns,
        ),
    ]
}

#[derive(Debug)]
struct ClusterMetrics(ClusterDescription);

impl Collector for ClusterMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for Metric { name, help, value } in cluster_gauges(&self.0) {
            let gauge = ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX));
            gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)?;
        }
        self.encode_schedulers(&mut encoder)?;
        self.encode_counters(&mut encoder)
    }
}

impl ClusterMetrics {
    /// Encodes the gauges that have one value per scheduler of this coordinator.
    fn encode_schedulers(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for SchedulerGauge { name, help, value } in scheduler_gauges() {
            let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            for scheduler in &self.0.schedulers {
                let gauge = ConstGauge::new(value(&scheduler.summary) as i64);
                let service = escape(&scheduler.service);
                let labels = [("service", service.as_str())];
                gauge.encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }

    fn encode_counters(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for Metric { name, help, value } in counter_metrics(&self.0.counters) {
            let counter = ConstCounter::new(value);
            let descriptor = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(descriptor)?;
        }
        Ok(())
    }
}
