//! Lease renewals are sent when a worker changes or time passes, without a scan of all workers on each step.
mod common;

use common::{long_polls, step, task, Harness};
use googletest::prelude::*;
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobSpec, RunCompletion, Submission, WallMillis,
};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Output, WorkerCall, WorkerOrder, WorkerReply,
};

const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

fn renewals(calls: &[WorkerCall]) -> Vec<WorkerCall> {
    let is_renewal = |call: &&WorkerCall| matches!(call.order, WorkerOrder::RenewLease { .. });
    calls.iter().filter(is_renewal).cloned().collect()
}

/// Returns a harness with one started run, and the renewal in flight to its worker.
fn harness_with_one_run() -> (Harness, WorkerCall) {
    let mut harness = Harness::new(&WORKERS);
    harness.submit(1, vec![step(1, 1000)]);
    for start in harness.starts() {
        harness.reply(&start, harness.done());
    }
    harness.advance(1);
    let renewal = renewals(&harness.take_calls()).pop().expect("a renewal");
    (harness, renewal)
}

#[googletest::test]
fn proposing_a_run_renews_lease_immediately() {
    let mut harness = Harness::new(&WORKERS);
    // A scan has just found no renewal due.
    harness.advance(1);
    harness.take_calls();
    let submission = Submission {
        job: JobId(1),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(1_000_000 + harness.now),
        spec: JobSpec {
            steps: vec![step(1, 1000)],
            ..JobSpec::default()
        },
    };
    harness.scheduler.submit(harness.now, submission);
    harness.scheduler.on_timeout(
        harness.now,
        WallMillis(1_000_000 + harness.now),
        &harness.state,
    );
    let is_renewal = |output: &Output| matches!(output, Output::Call(call) if matches!(call.order, WorkerOrder::RenewLease { .. }));
    expect_that!(
        harness
            .scheduler
            .poll_outputs()
            .iter()
            .filter(|output| is_renewal(output))
            .count(),
        eq(1)
    );
}

#[googletest::test]
fn recording_a_completion_renews_lease_immediately() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(2, 1000)]);
    for start in harness.starts() {
        harness.reply(&start, harness.done());
    }
    harness.advance(1);
    let renewal = renewals(&harness.take_calls()).pop().expect("a renewal");
    let completion = ListedCompletion {
        sequence: 1,
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let running = ListedRun {
        task: task(1, 1),
        run: 1,
        checkpoint: String::new(),
        percent: 10,
    };
    harness.reply(&renewal, harness.listing(vec![running], vec![completion]));
    // Commits the completion and applies it.
    harness.advance(0);
    expect_that!(renewals(&harness.take_calls()).len(), eq(1));
}

#[googletest::test]
fn timed_out_renewal_is_retried() {
    let (mut harness, renewal) = harness_with_one_run();
    harness.reply(&renewal, WorkerReply::TimedOut);
    harness.advance(5);
    expect_that!(renewals(&harness.take_calls()), is_empty());
    harness.advance(30);
    let retries = renewals(&harness.take_calls());
    expect_that!(retries.len(), eq(1));
    expect_that!(retries[0].incarnation, eq(&renewal.incarnation));
}

#[googletest::test]
fn only_one_renewal_is_in_flight_per_worker() {
    let (mut harness, _) = harness_with_one_run();
    for _ in 0..200 {
        harness.advance(1);
    }
    expect_that!(long_polls(&harness.take_calls()), is_empty());
}

#[googletest::test]
fn freed_capacity_is_used_in_next_planning_round() {
    let names: Vec<String> = (0..60).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&names);
    for job in 0..60 {
        harness.submit(job + 1, vec![step(1, 4000)]);
    }
    let starts = harness.starts();
    expect_that!(starts.len(), eq(60));
    for start in &starts {
        harness.reply(start, harness.done());
    }
    // More tasks are queued than one round examines, and the last one needs little capacity.
    for job in 0..100 {
        harness.submit_with_priority(1000 + job, 1, vec![step(1, 3000 + job)]);
    }
    harness.submit_with_priority(2000, 1, vec![step(1, 500)]);
    expect_that!(harness.starts(), is_empty());
    let completion = RunCompletion {
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let freed = harness.active(task(1, 0)).pop().expect("a run");
    harness.commit(Command::RecordCompletions {
        incarnation: freed.clone(),
        acknowledged_completion: 1,
        completions: vec![completion],
    });
    harness.advance(25);
    let started: Vec<String> = harness
        .starts()
        .into_iter()
        .map(|call| call.incarnation)
        .collect();
    expect_that!(started, not(is_empty()));
    expect_that!(started, each(eq(&freed)));
}
