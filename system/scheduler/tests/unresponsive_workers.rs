//! Workers that do not answer, stand still or have another life, and a scheduler that stood still itself.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId};
use magpiegap_scheduler::{ListedRun, SchedulerSettings, WorkerOrder, WorkerReply};

#[googletest::test]
fn given_a_silent_worker_when_its_hold_may_last_then_its_task_is_started_nowhere_else() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    story
        .scheduler
        .list(story.now, &story.state, &[worker("w1"), worker("w2")]);
    story.pass(0);
    let mut lost_after = 0;
    while lost_after == 0 && story.now < 30_000 {
        for call in story.take_calls() {
            let reply = if call.incarnation == "w2" {
                story.listing(vec![], vec![])
            } else {
                WorkerReply::Unanswered
            };
            story.reply(&call, reply);
        }
        story.pass(50);
        if story.active(task(1, 0)) != ["w1"] {
            lost_after = story.now;
        }
    }
    // Every hold that was ever sent has run out by then, on a clock that is two hundredths slow.
    let longest = SchedulerSettings::default().max_hold_ms;
    expect_that!(lost_after, gt(2_500));
    expect_that!(lost_after, lt(1000 + longest + longest / 20 + 2000));
    expect_that!(story.active(task(1, 0)), elements_are![eq("w2")]);
}

#[googletest::test]
fn given_a_stuck_run_when_listings_show_no_progress_then_it_is_stopped() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let mut stopped = false;
    while !stopped && story.now < 10_000 {
        for call in story.take_calls() {
            stopped |= matches!(call.order, WorkerOrder::Stop { .. });
            let running = ListedRun {
                task: task(1, 0),
                run: 1,
                checkpoint: String::new(),
                percent: 40,
            };
            story.reply(&call, story.listing(vec![running], vec![]));
        }
        story.pass(200);
    }
    expect_that!(stopped, eq(true));
    expect_that!(story.now, gt(1400));
}

#[googletest::test]
fn given_a_scheduler_that_stood_still_when_it_wakes_then_no_run_is_taken_for_stuck() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let hold = story.take_calls().remove(0);
    let running = |percent| ListedRun {
        task: task(1, 0),
        run: 1,
        checkpoint: String::new(),
        percent,
    };
    story.reply(&hold, story.listing(vec![running(40)], vec![]));
    story.pass(5000);
    let stops = story
        .take_calls()
        .iter()
        .filter(|call| matches!(call.order, WorkerOrder::Stop { .. }))
        .count();
    expect_that!(stops, eq(0));
}

#[googletest::test]
fn given_all_workers_left_alone_when_that_ends_then_waiting_tasks_are_placed() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 100)]);
    let start = story.starts().remove(0);
    story.reply(&start, WorkerReply::Unhealthy);
    story.pass(10);
    expect_that!(story.starts(), is_empty());
    story.pass(60_000);
    expect_that!(story.starts(), not(is_empty()));
}

#[googletest::test]
fn given_another_life_at_the_address_when_it_answers_then_the_old_runs_are_lost_at_once() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, WorkerReply::OtherLife);
    story.pass(10);
    expect_that!(story.active(task(1, 0)), is_empty());
}

#[googletest::test]
fn given_a_run_that_makes_no_progress_when_it_is_listed_then_the_next_listing_comes_soon() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let running = ListedRun {
        task: task(1, 0),
        run: 1,
        checkpoint: String::new(),
        percent: 0,
    };
    let hold = story.take_calls().remove(0);
    expect_that!(waits(std::slice::from_ref(&hold)), elements_are![ge(&500)]);
    story.pass(200);
    story.reply(&hold, story.listing(vec![running], vec![]));
    story.pass(10);
    expect_that!(waits(&story.take_calls()), elements_are![le(&150)]);
}

#[googletest::test]
fn given_a_hold_whose_answer_is_lost_when_that_is_noticed_then_the_worker_is_looked_at_within_moments(
) {
    // Given: a worker that has answered at once so far
    let mut story = Story::new(&["w1"]);
    for number in 1..100 {
        story.submit(number, vec![step(1, 1000)]);
        let start = story.starts().remove(0);
        story.reply(&start, story.done());
        story.commit(Command::CancelJob { job: JobId(number) });
        story.commit(Command::LoseIncarnation {
            incarnation: "w1".to_owned(),
            ended: false,
        });
    }
    story.submit(100, vec![step(1, 1000)]);
    for call in story.take_calls() {
        story.reply(&call, story.done());
    }
    story.pass(10);
    let hold = story.take_calls().remove(0);
    expect_that!(waits(std::slice::from_ref(&hold)), elements_are![ge(&500)]);
    expect_that!(hold.timeout_ms, lt(700));
    // When
    story.pass(hold.timeout_ms);
    story.reply(&hold, WorkerReply::Unanswered);
    story.pass(50);
    // Then
    expect_that!(waits(&story.take_calls()), elements_are![eq(&0)]);
}
