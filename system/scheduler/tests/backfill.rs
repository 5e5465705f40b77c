//! Backfilling: large tasks reserve capacity, and small tasks run before them only if they cause no delay.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{StepSpec, WorkerEntry};

#[googletest::test]
fn small_tasks_start_unless_they_delay_large_task() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![timed_step(2000, 1000)]);
    harness.submit(2, vec![timed_step(4000, 1000)]);
    harness.advance(50);
    harness.submit_with_priority(3, 1, vec![timed_step(1000, 3000)]);
    harness.submit_with_priority(4, 1, vec![timed_step(1000, 300)]);
    harness.advance(50);
    expect_that!(harness.active(task(1, 0)), elements_are![eq("w1")]);
    expect_that!(harness.active(task(2, 0)), is_empty());
    expect_that!(harness.active(task(3, 0)), is_empty());
    expect_that!(harness.active(task(4, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn urgent_task_ignores_less_urgent_reservation() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![timed_step(2000, 1000)]);
    harness.submit_with_priority(2, 1, vec![timed_step(4000, 1000)]);
    harness.advance(50);
    harness.submit(3, vec![timed_step(1000, 3000)]);
    expect_that!(harness.active(task(3, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn less_urgent_task_starts_on_unreserved_worker() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![timed_step(2500, 1000)]);
    harness.submit(2, vec![timed_step(2500, 9000)]);
    harness.submit(3, vec![timed_step(4000, 1000)]);
    harness.advance(50);
    let freed_soon = harness.active(task(1, 0));
    let freed_late = harness.active(task(2, 0));
    expect_that!(freed_soon, not(container_eq(freed_late.clone())));
    harness.submit_with_priority(4, 1, vec![timed_step(1000, 3000)]);
    harness.advance(50);
    expect_that!(harness.active(task(4, 0)), container_eq(freed_late));
}

#[googletest::test]
fn gang_waiting_for_rack_reserves_no_free_worker() {
    // Given two racks of two workers each, and a gang of four that waits for a rack that fits all of it.
    let mut harness = Harness::new(&["w1"]);
    let in_rack = |name: &str, rack: &str| WorkerEntry {
        labels: vec!["a".to_owned(), rack.to_owned()],
        ..worker(name)
    };
    let entries = [
        in_rack("w1", "r1"),
        in_rack("w2", "r1"),
        in_rack("w3", "r2"),
        in_rack("w4", "r2"),
    ];
    harness
        .scheduler
        .handle_worker_list(harness.now, &harness.state, &entries);
    harness.advance(10);
    harness.reply_to_first_calls();
    let gang = StepSpec {
        gang: true,
        rack_local: true,
        estimated_ms: 5000,
        ..step(4, 4000)
    };
    harness.submit(1, vec![gang]);
    harness.advance(50);
    expect_that!(harness.active(task(1, 0)), is_empty());
    harness.submit_with_priority(2, 1, vec![timed_step(2000, 9000)]);
    harness.advance(50);
    expect_that!(harness.active(task(2, 0)).len(), eq(1));
}

#[googletest::test]
fn small_task_starts_behind_many_large_tasks() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![timed_step(4000, 9000)]);
    harness.submit(2, vec![timed_step(1500, 9000)]);
    // Later deadlines and shorter estimates keep any task from being skipped for an earlier failed placement.
    for number in 0..60 {
        harness.advance(30);
        harness.submit(100 + number, vec![timed_step(4000, 8000 - number * 10)]);
    }
    harness.submit_with_priority(3, 1, vec![timed_step(1000, 100)]);
    harness.advance(100);
    expect_that!(harness.active(task(3, 0)).len(), eq(1));
}
