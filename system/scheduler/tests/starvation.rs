//! However much waits in vain, what could run does.
mod common;

use common::{step, task, Story};
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind, RunCompletion, StepSpec};

/// A task that no worker can run, and unlike all others.
fn impossible(number: u64) -> StepSpec {
    StepSpec {
        requirements: vec!["no-such-label".to_owned()],
        ..step(1, 300 - number)
    }
}

#[googletest::test]
fn given_many_kinds_of_tasks_that_nobody_can_run_when_one_comes_that_can_be_run_then_it_is_started()
{
    // Given: a worker that is full, and more urgent tasks than a round of planning tries
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 4000)]);
    for number in 0..200 {
        story.submit_with_priority(100 + number, 0, vec![impossible(number)]);
    }
    story.submit_with_priority(2, 2, vec![step(1, 1000)]);
    let starts = story.starts();
    expect_that!(starts.len(), eq(1));
    // When: the worker is empty
    story.reply(&starts[0], story.done());
    let end = RunCompletion {
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    story.commit(Command::RecordCompletions {
        incarnation: "w1".to_owned(),
        last_seen: 1,
        ends: vec![end],
    });
    // Then
    for _ in 0..100 {
        story.pass(20);
    }
    expect_that!(story.active(task(2, 0)), elements_are![eq("w1")]);
}
