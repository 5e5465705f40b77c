//! Starts that workers reject as invalid (400): the job backs off, and the workers stay in use.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{CompletionKind, JobId};
use magpiegap_scheduler::{WorkerCall, WorkerOrder, WorkerReply};

const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
/// The job whose starts are rejected.
const REJECTED: u64 = 1;
/// Number of its tasks.
const WIDTH: u32 = 12;

fn job_of(call: &WorkerCall) -> Option<u64> {
    match call.order {
        WorkerOrder::Start { task, .. } => Some(task.job.0),
        _ => None,
    }
}

/// Lets time pass while workers reject the starts that `rejects` selects; other runs end at once. Returns the rejected
/// starts.
fn serve_for(
    harness: &mut Harness,
    ms: u64,
    rejects: impl Fn(&WorkerCall) -> bool,
) -> Vec<WorkerCall> {
    let mut rejected = Vec::new();
    let end = harness.now + ms;
    while harness.now < end {
        for start in harness.starts() {
            if rejects(&start) {
                harness.reply(&start, WorkerReply::Malformed);
                rejected.push(start);
            } else {
                harness.complete(&start, CompletionKind::Done);
            }
        }
        harness.advance(10);
        harness.serve_calls_other_than_starts();
    }
    rejected
}

/// Guards against a job that no worker can start and that takes all workers out of use.
#[googletest::test]
fn workers_stay_in_use_when_all_reject_a_job() {
    let mut harness = Harness::new(&WORKERS);
    harness.submit(REJECTED, vec![step(WIDTH, 1000)]);
    let is_rejected = |call: &WorkerCall| job_of(call) == Some(REJECTED);
    let mut rejected = serve_for(&mut harness, 200, is_rejected);
    // All tasks may have been placed before the first reply.
    expect_that!(rejected.len(), le(WIDTH as usize));
    for number in 0..100 {
        let job = 100 + number;
        harness.submit_with_priority(job, 1, vec![step(16, 1000)]);
        rejected = serve_for(&mut harness, 600, is_rejected);
        let state = harness.state.jobs[&JobId(job)].phase.as_str();
        expect_that!(state, eq("succeeded"), "job {job}");
        // One attempt at a time.
        expect_that!(rejected.len(), le(1));
    }
    // The delay has reached its maximum of 8 s and a quarter.
    let attempts = serve_for(&mut harness, 60_000, is_rejected).len();
    expect_that!(attempts, all![ge(5), le(8)]);
    let Some(explanation) = harness.scheduler.explain(&harness.state, JobId(REJECTED)) else {
        panic!("no explanation")
    };
    let rejected_starts = explanation.rejected_starts;
    expect_that!(
        rejected_starts.is_some_and(|starts| starts.attempts > 10),
        eq(true)
    );
    expect_that!(harness.scheduler.summary().rejected_jobs, eq(1));
    let is_report = |line: &&String| line.contains("workers reject the starts of a job");
    expect_that!(
        harness.logs.iter().filter(is_report).count(),
        all![ge(4), le(40)]
    );

    // Once workers accept it, it runs, at full width.
    let none = serve_for(&mut harness, 12_000, |_| false);
    expect_that!(none, is_empty());
    let phase = harness.state.jobs[&JobId(REJECTED)].phase.as_str();
    expect_that!(phase, eq("succeeded"));
    expect_that!(harness.scheduler.summary().rejected_jobs, eq(0));
}

/// Guards against a worker that rejects everything and is not ejected.
#[googletest::test]
fn worker_that_rejects_all_starts_is_ejected() {
    let mut harness = Harness::new(&WORKERS);
    let is_rejected = |call: &WorkerCall| call.incarnation == "w1";
    let mut rejected = 0;
    for job in 1..200 {
        harness.submit(job, vec![step(1, 1000)]);
        rejected += serve_for(&mut harness, 50, is_rejected).len();
    }
    serve_for(&mut harness, 10_000, is_rejected);
    // Two or three starts before each ejection of 4, 8, 16 s.
    expect_that!(rejected, all![ge(2), le(8)]);
    let unfinished = harness.state.jobs.values();
    let unfinished = unfinished.filter(|job| !job.phase.is_terminal()).count();
    expect_that!(unfinished, eq(0));
}
