//! Queued large tasks get capacity, and small ones do not delay them.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{StepSpec, WorkerEntry};

#[googletest::test]
fn given_a_queued_large_task_when_small_ones_come_then_only_those_that_do_not_delay_it_start() {
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
fn given_a_queued_large_task_when_a_more_urgent_one_comes_then_that_is_started_at_once() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![timed_step(2000, 1000)]);
    harness.submit_with_priority(2, 1, vec![timed_step(4000, 1000)]);
    harness.advance(50);
    harness.submit(3, vec![timed_step(1000, 3000)]);
    expect_that!(harness.active(task(3, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn given_a_queued_large_task_when_another_worker_has_capacity_then_less_urgent_ones_start_there() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![timed_step(2500, 1000)]);
    harness.submit(2, vec![timed_step(2500, 9000)]);
    harness.submit(3, vec![timed_step(4000, 1000)]);
    harness.advance(50);
    let soon = harness.active(task(1, 0));
    let late = harness.active(task(2, 0));
    expect_that!(soon, not(container_eq(late.clone())));
    harness.submit_with_priority(4, 1, vec![timed_step(1000, 3000)]);
    harness.advance(50);
    expect_that!(harness.active(task(4, 0)), container_eq(late));
}

#[googletest::test]
fn given_a_gang_that_waits_for_one_rack_when_others_come_then_it_reserves_no_free_worker() {
    // Given: two racks of two workers each; a gang of four waits for a rack that takes all of it
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
    // When
    harness.submit_with_priority(2, 1, vec![timed_step(2000, 9000)]);
    harness.advance(50);
    // Then
    expect_that!(harness.active(task(2, 0)).len(), eq(1));
}

#[googletest::test]
fn given_many_queued_large_tasks_when_small_ones_are_queued_behind_them_then_those_still_start() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![timed_step(4000, 9000)]);
    harness.submit(2, vec![timed_step(1500, 9000)]);
    // Each is due after the one before and shorter than it, so that none is like an earlier one.
    for number in 0..60 {
        harness.advance(30);
        harness.submit(100 + number, vec![timed_step(4000, 8000 - number * 10)]);
    }
    harness.submit_with_priority(3, 1, vec![timed_step(1000, 100)]);
    harness.advance(100);
    expect_that!(harness.active(task(3, 0)).len(), eq(1));
}
