//! Feasible tasks start however many infeasible tasks are queued.
mod common;

use common::{step, task, Harness};
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind, RunCompletion, StepSpec};

/// A task that no worker can run and that differs from all others, so that each is a separate failed placement.
fn infeasible(number: u64) -> StepSpec {
    StepSpec {
        requirements: vec!["no-such-label".to_owned()],
        ..step(1, 300 - number)
    }
}

#[googletest::test]
fn infeasible_tasks_do_not_starve_feasible_task() {
    // The worker is full, and more infeasible tasks of higher urgency are queued than a planning round tries.
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 4000)]);
    for number in 0..200 {
        harness.submit_with_priority(100 + number, 0, vec![infeasible(number)]);
    }
    harness.submit_with_priority(2, 2, vec![step(1, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    // The run on the worker completes.
    harness.reply(&starts[0], harness.done());
    let completion = RunCompletion {
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    harness.commit(Command::RecordCompletions {
        incarnation: "w1".to_owned(),
        acknowledged_completion: 1,
        completions: vec![completion],
    });
    for _ in 0..100 {
        harness.advance(20);
    }
    expect_that!(harness.active(task(2, 0)), elements_are![eq("w1")]);
}
