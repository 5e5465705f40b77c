//! Job explanations for operators.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Availability, JobId, StepSpec, WorkerEntry};
use magpiegap_scheduler::WorkerCounts;

#[googletest::test]
fn explanation_counts_each_worker_under_first_obstacle() {
    // One worker is full, one lacks the label, and one is draining.
    let mut harness = Harness::new(&["w1"]);
    let labelled = WorkerEntry {
        labels: vec!["b".to_owned()],
        ..worker("w2")
    };
    let draining = WorkerEntry {
        availability: Availability::Draining,
        ..worker("w3")
    };
    harness.scheduler.handle_worker_list(
        harness.now,
        &harness.state,
        &[worker("w1"), labelled, draining],
    );
    harness.advance(10);
    harness.reply_to_first_calls();
    harness.submit(
        1,
        vec![StepSpec {
            requirements: vec!["a".to_owned()],
            ..step(1, 3000)
        }],
    );
    harness.submit(
        2,
        vec![StepSpec {
            requirements: vec!["a".to_owned()],
            ..step(2, 3000)
        }],
    );
    harness.advance(10);
    let Some(explanation) = harness.scheduler.explain(&harness.state, JobId(2)) else {
        panic!("no explanation")
    };
    expect_that!(explanation.state, eq("pending"));
    expect_that!(explanation.steps.len(), eq(1));
    expect_that!(explanation.steps[0].waiting, eq(2));
    let counts = WorkerCounts {
        known: 3,
        without_capacity: 1,
        without_label: 1,
        draining: 1,
        ..WorkerCounts::default()
    };
    expect_that!(explanation.steps[0].workers, some(eq(counts)));
    let Some(running) = harness.scheduler.explain(&harness.state, JobId(1)) else {
        panic!("no explanation")
    };
    expect_that!(running.steps[0].running.len(), eq(1));
    expect_that!(running.steps[0].running[0].worker, eq("w1"));
    expect_that!(harness.scheduler.explain(&harness.state, JobId(3)), none());
}
