//! Stopping runs that are no longer needed.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobSpec, RunCompletion, RunId, StepSpec, TaskId, WallMillis,
};
use magpiegap_scheduler::{RefusalReason, WorkerCall, WorkerOrder, WorkerReply};

/// Network delay of a reply.
const NETWORK_DELAY_MS: u64 = 5;

/// Reply delay of a worker: renewals are delayed for as long as they may wait for a completion.
fn reply_delay_ms(call: &WorkerCall) -> u64 {
    match call.order {
        WorkerOrder::RenewLease {
            long_poll_ms: wait_ms,
            ..
        } => wait_ms + NETWORK_DELAY_MS,
        _ => NETWORK_DELAY_MS,
    }
}

/// Advances time with workers that run nothing and reply to every call.
fn advance_with_empty_workers(harness: &mut Harness, for_ms: u64) {
    let mut due: Vec<(u64, WorkerCall)> = Vec::new();
    let until = harness.now + for_ms;
    while harness.now < until {
        for call in harness.take_calls() {
            due.push((harness.now + reply_delay_ms(&call), call));
        }
        let now = harness.now;
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        due = later;
        for (_, call) in ready {
            let reply = match call.order {
                WorkerOrder::RenewLease { .. } => harness.listing(vec![], vec![]),
                _ => harness.done(),
            };
            harness.reply(&call, reply);
        }
        harness.advance(5);
    }
}

#[googletest::test]
fn cancelled_gang_that_is_not_running_is_removed() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(
        1,
        vec![StepSpec {
            gang: true,
            ..step(2, 1000)
        }],
    );
    let starts = harness.starts();
    expect_that!(starts.len(), eq(2));
    // One start is acknowledged; the other one times out, so that it may or may not have taken effect.
    harness.reply(&starts[0], harness.done());
    harness.reply(&starts[1], WorkerReply::TimedOut);
    harness.commit(Command::CancelJob { job: JobId(1) });
    advance_with_empty_workers(&mut harness, 4000);
    expect_that!(harness.state.workers["w1"].runs.len(), eq(0));
}

#[googletest::test]
fn acknowledged_stop_is_not_repeated_immediately() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    harness.commit(Command::CancelJob { job: JobId(1) });
    let mut stops = 0;
    for _ in 0..100 {
        harness.advance(5);
        for call in harness.take_calls() {
            if matches!(call.order, WorkerOrder::Stop { .. }) {
                stops += 1;
                harness.reply(&call, harness.done());
            }
        }
    }
    expect_that!(stops, eq(1));
}

/// Time after which a start has certainly expired: its validity and a margin.
const SURELY_VOID_MS: u64 = 1700;

/// Advances time with a worker that executes no orders, does not reply to them, and lists no runs.
fn advance_with_late_orders(harness: &mut Harness, for_ms: u64) {
    let until = harness.now + for_ms;
    while harness.now < until {
        for call in harness.take_calls() {
            let reply = match call.order {
                WorkerOrder::RenewLease { .. } => harness.listing(vec![], vec![]),
                _ => WorkerReply::TimedOut,
            };
            harness.reply(&call, reply);
        }
        harness.advance(20);
    }
}

#[googletest::test]
fn unlisted_run_is_tracked_until_start_expires() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.advance(110);
    harness.reply(&start, WorkerReply::TimedOut);
    harness.commit(Command::CancelJob { job: JobId(1) });
    advance_with_late_orders(&mut harness, 800);
    expect_that!(harness.state.workers["w1"].runs.len(), eq(1));
    advance_with_late_orders(&mut harness, SURELY_VOID_MS);
    expect_that!(harness.state.workers["w1"].runs.len(), eq(0));
}

#[googletest::test]
fn refused_retry_does_not_void_first_start() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let first = harness.starts().remove(0);
    harness.advance(110);
    harness.reply(&first, WorkerReply::TimedOut);
    harness.advance(10);
    let second = harness.starts().remove(0);
    let clock_ms = Some(harness.clock());
    harness.reply(
        &second,
        WorkerReply::Refused {
            clock_ms,
            reason: RefusalReason::NoCapacity,
        },
    );
    harness.advance(10);
    // The first start may still take effect once there is capacity.
    let last_run = |harness: &Harness| {
        harness.state.jobs[&JobId(1)]
            .task(&task(1, 0))
            .map(|task| task.last_run)
    };
    expect_that!(last_run(&harness), some(eq(1)));
    advance_with_late_orders(&mut harness, 500);
    expect_that!(last_run(&harness), some(eq(1)));
    advance_with_late_orders(&mut harness, 2 * SURELY_VOID_MS);
    // The first start has expired, and the task has been restarted.
    expect_that!(last_run(&harness), some(gt(1)));
}

/// Submits job 1 with two occurrences that are due immediately, and acknowledges their starts. The two runs on the
/// worker differ only in their occurrence.
fn start_two_occurrences(harness: &mut Harness, step: StepSpec) {
    let spec = JobSpec {
        steps: vec![step],
        repeat_count: 2,
        start_at_ms: WallMillis(1),
        interval_ms: 1,
        ..JobSpec::default()
    };
    harness.submit_spec(1, 0, spec);
    for _ in 0..50 {
        harness.advance(10);
        for start in harness.starts() {
            harness.reply(&start, harness.done());
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedRun {
    task: TaskId,
    run: RunId,
}

/// The distinct runs that workers are ordered to stop within half a second.
fn stopped_runs(harness: &mut Harness) -> Vec<OrderedRun> {
    let mut stopped = Vec::new();
    for _ in 0..50 {
        harness.advance(10);
        for call in harness.take_calls() {
            if let WorkerOrder::Stop { task, run } = call.order {
                stopped.push(OrderedRun { task, run });
                harness.reply(&call, harness.done());
            }
        }
    }
    stopped.sort_unstable();
    stopped.dedup();
    stopped
}

/// The first run of a task of job 1.
fn first_run(occurrence: u32, index: u32) -> OrderedRun {
    let task = TaskId {
        occurrence,
        ..task(1, index)
    };
    OrderedRun { task, run: 1 }
}

#[googletest::test]
fn cancelling_a_job_stops_runs_of_all_occurrences() {
    let mut harness = Harness::new(&["w1"]);
    start_two_occurrences(&mut harness, step(1, 1000));
    harness.commit(Command::CancelJob { job: JobId(1) });
    expect_that!(
        stopped_runs(&mut harness),
        elements_are![eq(&first_run(0, 0)), eq(&first_run(1, 0))]
    );
}

#[googletest::test]
fn broken_gang_does_not_stop_other_occurrences() {
    for broken in [0, 1] {
        let mut harness = Harness::new(&["w1"]);
        let gang = StepSpec {
            gang: true,
            ..step(2, 1000)
        };
        start_two_occurrences(&mut harness, gang);
        let lost = first_run(broken, 1);
        harness.commit(Command::RecordCompletions {
            incarnation: "w1".to_owned(),
            acknowledged_completion: 1,
            completions: vec![RunCompletion {
                task: lost.task,
                run: lost.run,
                kind: CompletionKind::GangEnded,
                checkpoint: String::new(),
            }],
        });
        expect_that!(
            stopped_runs(&mut harness),
            elements_are![eq(&first_run(broken, 0))]
        );
    }
}
