//! Runs that are to be stopped.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId, StepSpec};
use magpiegap_scheduler::{RefusalReason, WorkerCall, WorkerOrder, WorkerReply};

/// How long an answer is on its way.
const ON_THE_WAY_MS: u64 = 5;

/// When a worker answers a call: holds wait for an end as long as they may.
fn answered_after(call: &WorkerCall) -> u64 {
    match call.order {
        WorkerOrder::Hold { wait_ms, .. } => wait_ms + ON_THE_WAY_MS,
        _ => ON_THE_WAY_MS,
    }
}

/// Lets time pass with workers that have nothing at all, and answer every call.
fn pass_with_empty_workers(story: &mut Story, for_ms: u64) {
    let mut due: Vec<(u64, WorkerCall)> = Vec::new();
    let until = story.now + for_ms;
    while story.now < until {
        for call in story.take_calls() {
            due.push((story.now + answered_after(&call), call));
        }
        let now = story.now;
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        due = later;
        for (_, call) in ready {
            let reply = match call.order {
                WorkerOrder::Hold { .. } => story.listing(vec![], vec![]),
                _ => story.done(),
            };
            story.reply(&call, reply);
        }
        story.pass(5);
    }
}

#[googletest::test]
fn given_a_gang_that_is_not_there_when_it_is_stopped_then_it_is_soon_off_the_record() {
    let mut story = Story::new(&["w1"]);
    story.submit(
        1,
        vec![StepSpec {
            gang: true,
            ..step(2, 1000)
        }],
    );
    let starts = story.starts();
    expect_that!(starts.len(), eq(2));
    // One start is answered; whether the other one took effect is not known.
    story.reply(&starts[0], story.done());
    story.reply(&starts[1], WorkerReply::Unanswered);
    story.commit(Command::CancelJob { job: JobId(1) });
    pass_with_empty_workers(&mut story, 4000);
    expect_that!(story.state.workers["w1"].runs.len(), eq(0));
}

#[googletest::test]
fn given_a_stop_that_was_answered_when_its_end_is_not_listed_yet_then_it_is_not_repeated_at_once() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    story.commit(Command::CancelJob { job: JobId(1) });
    let mut stops = 0;
    for _ in 0..100 {
        story.pass(5);
        for call in story.take_calls() {
            if matches!(call.order, WorkerOrder::Stop { .. }) {
                stops += 1;
                story.reply(&call, story.done());
            }
        }
    }
    expect_that!(stops, eq(1));
}

/// How long a start is valid, with a margin.
const SURELY_VOID_MS: u64 = 1700;

/// Lets time pass with a worker that carries nothing out, answers no order, and lists nothing.
fn pass_with_late_orders(story: &mut Story, for_ms: u64) {
    let until = story.now + for_ms;
    while story.now < until {
        for call in story.take_calls() {
            let reply = match call.order {
                WorkerOrder::Hold { .. } => story.listing(vec![], vec![]),
                _ => WorkerReply::Unanswered,
            };
            story.reply(&call, reply);
        }
        story.pass(20);
    }
}

#[googletest::test]
fn given_a_start_and_a_stop_without_answers_when_the_run_is_not_listed_then_it_counts_until_the_start_is_void(
) {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.pass(110);
    story.reply(&start, WorkerReply::Unanswered);
    story.commit(Command::CancelJob { job: JobId(1) });
    pass_with_late_orders(&mut story, 800);
    expect_that!(story.state.workers["w1"].runs.len(), eq(1));
    pass_with_late_orders(&mut story, SURELY_VOID_MS);
    expect_that!(story.state.workers["w1"].runs.len(), eq(0));
}

#[googletest::test]
fn given_a_start_without_an_answer_when_it_is_sent_again_and_finds_no_room_then_the_first_one_still_counts(
) {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let first = story.starts().remove(0);
    story.pass(110);
    story.reply(&first, WorkerReply::Unanswered);
    story.pass(10);
    let second = story.starts().remove(0);
    let clock_ms = Some(story.clock());
    story.reply(
        &second,
        WorkerReply::Refused {
            clock_ms,
            reason: RefusalReason::Room,
        },
    );
    story.pass(10);
    // The first one may still be carried out, once there is room.
    let last_run = |story: &Story| {
        story.state.jobs[&JobId(1)]
            .task(&task(1, 0))
            .map(|task| task.last_run)
    };
    expect_that!(last_run(&story), some(eq(1)));
    pass_with_late_orders(&mut story, 500);
    expect_that!(last_run(&story), some(eq(1)));
    pass_with_late_orders(&mut story, 2 * SURELY_VOID_MS);
    // By then it is void, and the task was started anew.
    expect_that!(last_run(&story), some(gt(1)));
}
