//! The figures of a coordinator in the text format that monitoring systems scrape (OpenMetrics).
use magpiegap_coordinator::ClusterDescription;
use magpiegap_scheduler::Summary;
use prometheus_client::{
    collector::Collector,
    encoding::{text, DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge, MetricType},
    registry::Registry,
};

/// The content type of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The text for one scrape.
pub fn to_text(cluster: ClusterDescription) -> String {
    let mut registry = Registry::with_prefix("magpiegap");
    registry.register_collector(Box::new(Figures(cluster)));
    let mut encoded = String::new();
    // Writing to a string fails only where a name is not allowed, and all names are fixed here.
    let _ = text::encode(&mut encoded, &registry);
    encoded
}

/// A label's value as the format wants it; the library writes it as it comes.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[derive(Debug)]
struct Figures(ClusterDescription);

impl Collector for Figures {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let cluster = &self.0;
        let gauges: [(&str, &str, u64); 11] = [
            ("view", "Number of the newest view", cluster.view),
            (
                "active",
                "Whether this coordinator takes part in the chain",
                u64::from(cluster.active),
            ),
            (
                "chain_replicas",
                "Replicas in the chain",
                cluster.chain.len() as u64,
            ),
            (
                "committed_entry",
                "Newest entry known to be committed",
                cluster.committed,
            ),
            (
                "configuration_version",
                "Version of the configuration",
                cluster.configuration,
            ),
            ("open_jobs", "Jobs that have not ended", cluster.open_jobs),
            (
                "proposals_under_way",
                "Proposals under way",
                cluster.proposals as u64,
            ),
            (
                "requests_waiting",
                "Requests that wait for a proposal",
                cluster.requests as u64,
            ),
            (
                "commit_milliseconds",
                "Time of a commit, about",
                cluster.commit_ms,
            ),
            (
                "agents",
                "Agents that wait for news here",
                cluster.agents as u64,
            ),
            (
                "agents_behind",
                "Agents here without the newest configuration",
                cluster.agents_behind as u64,
            ),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX));
            gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)?;
        }
        self.encode_schedulers(&mut encoder)?;
        self.encode_counters(&mut encoder)
    }
}

impl Figures {
    /// One line for each scheduler that this coordinator holds.
    fn encode_schedulers(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
    ) -> Result<(), std::fmt::Error> {
        type Figure = fn(&Summary) -> usize;
        let figures: [(&str, &str, Figure); 5] = [
            ("scheduler_workers", "Workers known", |summary| {
                summary.workers
            }),
            (
                "scheduler_silent_workers",
                "Workers that do not answer",
                |summary| summary.silent,
            ),
            ("scheduler_runs", "Runs on record", |summary| summary.runs),
            (
                "scheduler_waiting",
                "Tasks and gangs that wait for a place",
                |summary| summary.waiting,
            ),
            (
                "scheduler_waiting_urgent",
                "Those of priority 0",
                |summary| summary.waiting_urgent,
            ),
        ];
        for (name, help, figure) in figures {
            let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            for scheduler in &self.0.schedulers {
                let gauge = ConstGauge::new(figure(&scheduler.summary) as i64);
                let service = escape(&scheduler.service);
                let labels = [("service", service.as_str())];
                gauge.encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }

    fn encode_counters(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let counters = &self.0.counters;
        let figures = [
            (
                "entries_applied",
                "Entries applied since the start",
                counters.entries,
            ),
            ("views", "Views taken up since the start", counters.views),
            ("runs_opened", "Runs put on record", counters.runs_opened),
            (
                "runs_done",
                "Runs that ended with success",
                counters.runs_done,
            ),
            ("runs_failed", "Runs that failed", counters.runs_failed),
            (
                "runs_cut_short",
                "Runs that were stopped, lapsed or were lost",
                counters.runs_cut_short,
            ),
            ("worker_calls", "Calls to workers", counters.worker_calls),
            (
                "configuration_parts",
                "Parts of configurations for agents",
                counters.configuration_parts,
            ),
            (
                "configuration_bytes",
                "Bytes of these parts",
                counters.configuration_bytes,
            ),
        ];
        for (name, help, value) in figures {
            let counter = ConstCounter::new(value);
            counter.encode(encoder.encode_descriptor(
                name,
                help,
                None,
                counter.metric_type(),
            )?)?;
        }
        Ok(())
    }
}
