//! What operators are told of a job.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Availability, JobId, StepSpec, WorkerEntry};
use magpiegap_scheduler::WorkerCounts;

#[googletest::test]
fn given_a_job_that_waits_when_it_is_explained_then_each_worker_has_its_reason() {
    // Given: one worker is full, one lacks the label, one is being emptied
    let mut story = Story::new(&["w1"]);
    let labelled = WorkerEntry {
        labels: vec!["b".to_owned()],
        ..worker("w2")
    };
    let draining = WorkerEntry {
        availability: Availability::Draining,
        ..worker("w3")
    };
    story
        .scheduler
        .list(story.now, &story.state, &[worker("w1"), labelled, draining]);
    story.pass(10);
    story.greet();
    story.submit(
        1,
        vec![StepSpec {
            requirements: vec!["a".to_owned()],
            ..step(1, 3000)
        }],
    );
    story.submit(
        2,
        vec![StepSpec {
            requirements: vec!["a".to_owned()],
            ..step(2, 3000)
        }],
    );
    story.pass(10);
    // When
    let Some(said) = story.scheduler.explain(&story.state, JobId(2)) else {
        panic!("no explanation")
    };
    // Then
    expect_that!(said.state, eq("pending"));
    expect_that!(said.steps.len(), eq(1));
    expect_that!(said.steps[0].waiting, eq(2));
    let counts = WorkerCounts {
        known: 3,
        without_capacity: 1,
        without_label: 1,
        draining: 1,
        ..WorkerCounts::default()
    };
    expect_that!(said.steps[0].workers, some(eq(counts)));
    let Some(running) = story.scheduler.explain(&story.state, JobId(1)) else {
        panic!("no explanation")
    };
    expect_that!(running.steps[0].running.len(), eq(1));
    expect_that!(running.steps[0].running[0].worker, eq("w1"));
    expect_that!(story.scheduler.explain(&story.state, JobId(3)), none());
}
