//! Holds are sent when there is news of a worker and when time alone calls for them, without a search at each step.
mod common;

use common::{step, task, waits, Story};
use googletest::prelude::*;
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobSpec, RunCompletion, Submission, WallMillis,
};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Output, WorkerCall, WorkerOrder, WorkerReply,
};

const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

fn holds(calls: &[WorkerCall]) -> Vec<WorkerCall> {
    let is_hold = |call: &&WorkerCall| matches!(call.order, WorkerOrder::Hold { .. });
    calls.iter().filter(is_hold).cloned().collect()
}

/// A run on a worker that was started; its hold is under way.
fn with_one_run() -> (Story, WorkerCall) {
    let mut story = Story::new(&WORKERS);
    story.submit(1, vec![step(1, 1000)]);
    for start in story.starts() {
        story.reply(&start, story.done());
    }
    story.pass(1);
    let hold = holds(&story.take_calls()).pop().expect("a hold");
    (story, hold)
}

#[googletest::test]
fn given_idle_workers_when_a_run_is_only_proposed_then_its_worker_is_held_at_once() {
    let mut story = Story::new(&WORKERS);
    // Just after a search that found nothing due.
    story.pass(1);
    story.take_calls();
    let submission = Submission {
        job: JobId(1),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(1_000_000 + story.now),
        spec: JobSpec {
            steps: vec![step(1, 1000)],
            ..JobSpec::default()
        },
    };
    story.scheduler.submit(story.now, submission);
    story
        .scheduler
        .run(story.now, WallMillis(1_000_000 + story.now), &story.state);
    let is_hold = |output: &Output| matches!(output, Output::Call(call) if matches!(call.order, WorkerOrder::Hold { .. }));
    expect_that!(
        story
            .scheduler
            .poll_outputs()
            .iter()
            .filter(|output| is_hold(output))
            .count(),
        eq(1)
    );
}

#[googletest::test]
fn given_an_end_when_it_is_noted_then_the_next_hold_is_sent_in_the_same_step() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(2, 1000)]);
    for start in story.starts() {
        story.reply(&start, story.done());
    }
    story.pass(1);
    let hold = holds(&story.take_calls()).pop().expect("a hold");
    let ended = ListedCompletion {
        number: 1,
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
    story.reply(&hold, story.listing(vec![running], vec![ended]));
    // The end goes to the log and comes back.
    story.pass(0);
    expect_that!(holds(&story.take_calls()).len(), eq(1));
}

#[googletest::test]
fn given_a_hold_without_an_answer_when_time_passes_and_nothing_else_happens_then_the_worker_is_looked_at_again(
) {
    let (mut story, hold) = with_one_run();
    story.reply(&hold, WorkerReply::Unanswered);
    story.pass(5);
    expect_that!(holds(&story.take_calls()), is_empty());
    story.pass(30);
    let again = holds(&story.take_calls());
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].incarnation, eq(&hold.incarnation));
}

#[googletest::test]
fn given_a_hold_under_way_when_steps_follow_each_other_then_no_other_is_sent() {
    let (mut story, _) = with_one_run();
    for _ in 0..200 {
        story.pass(1);
    }
    expect_that!(waits(&story.take_calls()), is_empty());
}

#[googletest::test]
fn given_all_workers_full_when_one_gets_room_then_the_next_round_of_planning_finds_it() {
    let names: Vec<String> = (0..60).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut story = Story::new(&names);
    for job in 0..60 {
        story.submit(job + 1, vec![step(1, 4000)]);
    }
    let starts = story.starts();
    expect_that!(starts.len(), eq(60));
    for start in &starts {
        story.reply(start, story.done());
    }
    // More wait than one round looks at, and the last of them fits into little room.
    for job in 0..100 {
        story.submit_with_priority(1000 + job, 1, vec![step(1, 3000 + job)]);
    }
    story.submit_with_priority(2000, 1, vec![step(1, 500)]);
    expect_that!(story.starts(), is_empty());
    let end = RunCompletion {
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let freed = story.active(task(1, 0)).pop().expect("a run");
    story.commit(Command::RecordCompletions {
        incarnation: freed.clone(),
        last_seen: 1,
        ends: vec![end],
    });
    story.pass(25);
    let started: Vec<String> = story
        .starts()
        .into_iter()
        .map(|call| call.incarnation)
        .collect();
    expect_that!(started, not(is_empty()));
    expect_that!(started, each(eq(&freed)));
}
