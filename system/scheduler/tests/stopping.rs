//! Runs that are to be stopped.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobSpec, RunCompletion, RunId, StepSpec, TaskId, WallMillis,
};
use magpiegap_scheduler::{RefusalReason, WorkerCall, WorkerOrder, WorkerReply};

/// How long a reply takes on the network.
const NETWORK_DELAY_MS: u64 = 5;

/// How long a worker takes to reply: renewals wait for a completion as long as they may.
fn reply_delay_ms(call: &WorkerCall) -> u64 {
    match call.order {
        WorkerOrder::RenewLease {
            long_poll_ms: wait_ms,
            ..
        } => wait_ms + NETWORK_DELAY_MS,
        _ => NETWORK_DELAY_MS,
    }
}

/// Lets time pass with workers that run nothing at all, and reply to every call.
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
fn given_a_gang_that_is_not_running_when_it_is_stopped_then_it_is_soon_off_the_record() {
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
    // One start is acknowledged; whether the other one took effect is not known.
    harness.reply(&starts[0], harness.done());
    harness.reply(&starts[1], WorkerReply::TimedOut);
    harness.commit(Command::CancelJob { job: JobId(1) });
    advance_with_empty_workers(&mut harness, 4000);
    expect_that!(harness.state.workers["w1"].runs.len(), eq(0));
}

#[googletest::test]
fn given_an_acknowledged_stop_when_the_completion_is_not_listed_yet_then_it_is_not_repeated_at_once(
) {
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

/// How long a start is valid, with a margin.
const SURELY_VOID_MS: u64 = 1700;

/// Lets time pass with a worker that carries nothing out, replies to no order, and lists nothing.
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
fn given_a_start_and_a_stop_without_replies_when_the_run_is_not_listed_then_it_counts_until_the_start_is_void(
) {
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
fn given_a_start_without_a_reply_when_its_retry_is_refused_for_capacity_then_the_first_one_still_counts(
) {
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
    // The first one may still be carried out, once there is capacity.
    let last_run = |harness: &Harness| {
        harness.state.jobs[&JobId(1)]
            .task(&task(1, 0))
            .map(|task| task.last_run)
    };
    expect_that!(last_run(&harness), some(eq(1)));
    advance_with_late_orders(&mut harness, 500);
    expect_that!(last_run(&harness), some(eq(1)));
    advance_with_late_orders(&mut harness, 2 * SURELY_VOID_MS);
    // By then it is void, and the task was started anew.
    expect_that!(last_run(&harness), some(gt(1)));
}

/// Submits job 1 with two occurrences that are due at once, and acknowledges their starts: the worker has the same
/// step, index and run number of both.
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

/// A run that a worker is ordered to start or to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedRun {
    task: TaskId,
    run: RunId,
}

/// The runs that workers are ordered to stop within half a second, each once.
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
fn given_runs_alike_of_two_occurrences_when_the_job_is_cancelled_then_both_are_stopped() {
    let mut harness = Harness::new(&["w1"]);
    start_two_occurrences(&mut harness, step(1, 1000));
    harness.commit(Command::CancelJob { job: JobId(1) });
    expect_that!(
        stopped_runs(&mut harness),
        elements_are![eq(&first_run(0, 0)), eq(&first_run(1, 0))]
    );
}

#[googletest::test]
fn given_gangs_of_two_occurrences_when_one_loses_a_member_then_the_other_goes_on() {
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
