//! Workers whose runs fail are ejected, and one log line reports many of them.
mod common;

use common::{step, Harness};
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind};
use magpiegap_scheduler::WorkerOrder;

const WORKERS: [&str; 7] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7"];

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
    expect_that!(
        lines[0],
        contains_substring("w1, w2, w3, w4, w5 and 2 more")
    );
}
