//! Workers whose runs fail are ejected, and one log line reports many of them.
mod common;

use common::{step, Harness};
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind};
use magpiegap_scheduler::WorkerOrder;

/// Twice as many as can be ejected at a time.
const WORKERS: [&str; 14] = [
    "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11", "w12", "w13",
    "w14",
];

/// Submits one job per worker; their runs all fail at the same time.
fn fail_on_all_workers(harness: &mut Harness, round: u64) {
    for number in 0..WORKERS.len() as u64 {
        harness.submit(100 * round + number, vec![step(1, 4000)]);
    }
    for start in harness.starts() {
        harness.complete(&start, CompletionKind::Failed);
        let WorkerOrder::Start { task, .. } = start.order else {
            continue;
        };
        // Cancelling the job prevents a retry on another worker.
        harness.commit(Command::CancelJob { job: task.job });
    }
}

#[googletest::test]
fn one_log_line_reports_many_ejections() {
    let mut harness = Harness::new(&WORKERS);
    for round in 1..12 {
        fail_on_all_workers(&mut harness, round);
    }
    harness.advance(60);
    let lines: Vec<&String> = harness
        .logs
        .iter()
        .filter(|line| line.contains("ejected workers"))
        .collect();
    expect_that!(lines.len(), eq(1));
    let (_, workers) = lines[0].split_once("workers=").unwrap_or_default();
    let named = workers.strip_suffix(" and 2 more").unwrap_or_default();
    expect_that!(named.split(", ").count(), eq(5), "{workers}");
}
