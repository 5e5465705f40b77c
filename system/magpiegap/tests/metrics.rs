//! The OpenMetrics text of a coordinator.
use googletest::prelude::*;
use magpiegap::metrics::to_text;
use magpiegap_coordinator::{ClusterDescription, Counters, SchedulerDescription};
use magpiegap_scheduler::SchedulerSummary;

fn cluster() -> ClusterDescription {
    let scheduler = SchedulerDescription {
        service: "a \"quoted\" service".to_owned(),
        summary: SchedulerSummary {
            workers: 12,
            unresponsive: 1,
            runs: 40,
            queued: 3,
            queued_urgent: 2,
            rejected_jobs: 1,
        },
    };
    ClusterDescription {
        view: 7,
        active: true,
        schedulers: vec![scheduler],
        agents: 32,
        agents_behind: 5,
        commit_ms: 41,
        counters: Counters {
            runs_done: 900,
            configuration_bytes: 70_000,
            long_turns: 3,
            longest_turn_ms: 45,
            ..Counters::default()
        },
        ..ClusterDescription::default()
    }
}

#[googletest::test]
fn metrics_are_in_openmetrics_text_format() {
    let text = to_text(cluster());
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(lines, contains(eq(&"# TYPE magpiegap_view gauge")));
    expect_that!(lines, contains(eq(&"magpiegap_view 7")));
    expect_that!(lines, contains(eq(&"magpiegap_runs_done_total 900")));
    expect_that!(lines, contains(eq(&"magpiegap_agents 32")));
    expect_that!(lines, contains(eq(&"magpiegap_agents_behind 5")));
    expect_that!(lines, contains(eq(&"magpiegap_commit_milliseconds 41")));
    expect_that!(
        lines,
        contains(eq(&"magpiegap_configuration_bytes_total 70000"))
    );
    expect_that!(lines, contains(eq(&"magpiegap_long_turns_total 3")));
    expect_that!(
        lines,
        contains(eq(&"magpiegap_longest_turn_milliseconds 45"))
    );
    expect_that!(lines.last(), some(eq(&"# EOF")));
}

#[googletest::test]
fn quotes_in_service_names_are_escaped() {
    let text = to_text(cluster());
    let line = r#"magpiegap_scheduler_waiting{service="a \"quoted\" service"} 3"#;
    expect_that!(text.lines().collect::<Vec<_>>(), contains(eq(&line)));
    let json = serde_json::to_string(&cluster()).unwrap_or_default();
    let read: Option<ClusterDescription> = serde_json::from_str(&json).ok();
    expect_that!(read, some(eq(&cluster())));
}
