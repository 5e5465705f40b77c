//! Unresponsive workers, stuck runs, replaced incarnations, and a scheduler that was suspended.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId};
use magpiegap_scheduler::{ListedRun, SchedulerSettings, WorkerOrder, WorkerReply};

#[googletest::test]
fn task_of_unresponsive_worker_restarts_after_lease_expires() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    harness.scheduler.handle_worker_list(
        harness.now,
        &harness.state,
        &[worker("w1"), worker("w2")],
    );
    harness.advance(0);
    let mut lost_after = 0;
    while lost_after == 0 && harness.now < 30_000 {
        for call in harness.take_calls() {
            let reply = if call.incarnation == "w2" {
                harness.listing(vec![], vec![])
            } else {
                WorkerReply::TimedOut
            };
            harness.reply(&call, reply);
        }
        harness.advance(50);
        if harness.active(task(1, 0)) != ["w1"] {
            lost_after = harness.now;
        }
    }
    // Every lease ever granted must have expired by then, even on a clock that is two percent slow.
    let longest = SchedulerSettings::default().max_lease_ms;
    expect_that!(lost_after, gt(2_500));
    expect_that!(lost_after, lt(1000 + longest + longest / 20 + 2000));
    expect_that!(harness.active(task(1, 0)), elements_are![eq("w2")]);
}

#[googletest::test]
fn run_without_listed_progress_is_stopped() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    let mut stopped = false;
    while !stopped && harness.now < 10_000 {
        for call in harness.take_calls() {
            stopped |= matches!(call.order, WorkerOrder::Stop { .. });
            let running = ListedRun {
                task: task(1, 0),
                run: 1,
                checkpoint: String::new(),
                percent: 40,
            };
            harness.reply(&call, harness.listing(vec![running], vec![]));
        }
        harness.advance(200);
    }
    expect_that!(stopped, eq(true));
    expect_that!(harness.now, gt(1400));
}

#[googletest::test]
fn suspended_scheduler_does_not_stop_runs_as_stuck() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    let renewal = harness.take_calls().remove(0);
    let running = |percent| ListedRun {
        task: task(1, 0),
        run: 1,
        checkpoint: String::new(),
        percent,
    };
    harness.reply(&renewal, harness.listing(vec![running(40)], vec![]));
    harness.advance(5000);
    let stops = harness
        .take_calls()
        .iter()
        .filter(|call| matches!(call.order, WorkerOrder::Stop { .. }))
        .count();
    expect_that!(stops, eq(0));
}

#[googletest::test]
fn queued_tasks_are_placed_when_ejection_ends() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 100)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, WorkerReply::Unhealthy);
    harness.advance(10);
    expect_that!(harness.starts(), is_empty());
    harness.advance(60_000);
    expect_that!(harness.starts(), not(is_empty()));
}

#[googletest::test]
fn reply_from_other_incarnation_marks_old_runs_lost() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, WorkerReply::OtherIncarnation);
    harness.advance(10);
    expect_that!(harness.active(task(1, 0)), is_empty());
}

#[googletest::test]
fn run_without_progress_shortens_next_long_poll() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    let running = ListedRun {
        task: task(1, 0),
        run: 1,
        checkpoint: String::new(),
        percent: 0,
    };
    let renewal = harness.take_calls().remove(0);
    expect_that!(
        long_polls(std::slice::from_ref(&renewal)),
        elements_are![ge(&500)]
    );
    harness.advance(200);
    harness.reply(&renewal, harness.listing(vec![running], vec![]));
    harness.advance(10);
    expect_that!(long_polls(&harness.take_calls()), elements_are![le(&150)]);
}

#[googletest::test]
fn lost_renewal_reply_is_retried_soon() {
    // The worker has replied immediately so far, so the call timeout is short.
    let mut harness = Harness::new(&["w1"]);
    for number in 1..100 {
        harness.submit(number, vec![step(1, 1000)]);
        let start = harness.starts().remove(0);
        harness.reply(&start, harness.done());
        harness.commit(Command::CancelJob { job: JobId(number) });
        harness.commit(Command::MarkIncarnationLost {
            incarnation: "w1".to_owned(),
            ended: false,
        });
    }
    harness.submit(100, vec![step(1, 1000)]);
    for call in harness.take_calls() {
        harness.reply(&call, harness.done());
    }
    harness.advance(10);
    let renewal = harness.take_calls().remove(0);
    expect_that!(
        long_polls(std::slice::from_ref(&renewal)),
        elements_are![ge(&500)]
    );
    expect_that!(renewal.timeout_ms, lt(700));
    harness.advance(renewal.timeout_ms);
    harness.reply(&renewal, WorkerReply::TimedOut);
    harness.advance(50);
    expect_that!(long_polls(&harness.take_calls()), elements_are![eq(&0)]);
}
