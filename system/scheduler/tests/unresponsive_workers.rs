//! Workers that do not reply, make no progress or have another incarnation, and a scheduler that was suspended itself.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId};
use magpiegap_scheduler::{ListedRun, SchedulerSettings, WorkerOrder, WorkerReply};

#[googletest::test]
fn given_an_unresponsive_worker_when_its_lease_may_last_then_its_task_is_started_nowhere_else() {
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
    // Every lease that was ever granted has expired by then, on a clock that is two hundredths slow.
    let longest = SchedulerSettings::default().max_lease_ms;
    expect_that!(lost_after, gt(2_500));
    expect_that!(lost_after, lt(1000 + longest + longest / 20 + 2000));
    expect_that!(harness.active(task(1, 0)), elements_are![eq("w2")]);
}

#[googletest::test]
fn given_a_stuck_run_when_listings_show_no_progress_then_it_is_stopped() {
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
fn given_a_scheduler_that_was_suspended_when_it_resumes_then_no_run_is_taken_for_stuck() {
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
fn given_all_workers_ejected_when_that_ends_then_queued_tasks_are_placed() {
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
fn given_another_incarnation_at_the_address_when_it_replies_then_the_old_runs_are_lost_at_once() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, WorkerReply::OtherIncarnation);
    harness.advance(10);
    expect_that!(harness.active(task(1, 0)), is_empty());
}

#[googletest::test]
fn given_a_run_without_progress_when_it_is_listed_then_the_next_long_poll_is_short() {
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
fn given_a_renewal_whose_reply_is_lost_when_it_times_out_then_the_worker_is_called_again_soon() {
    // Given: a worker that has replied at once so far
    let mut harness = Harness::new(&["w1"]);
    for number in 1..100 {
        harness.submit(number, vec![step(1, 1000)]);
        let start = harness.starts().remove(0);
        harness.reply(&start, harness.done());
        harness.commit(Command::CancelJob { job: JobId(number) });
        harness.commit(Command::LoseIncarnation {
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
    // When
    harness.advance(renewal.timeout_ms);
    harness.reply(&renewal, WorkerReply::TimedOut);
    harness.advance(50);
    // Then
    expect_that!(long_polls(&harness.take_calls()), elements_are![eq(&0)]);
}
