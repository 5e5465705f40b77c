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

/// A gang of this many tasks that take 5 s each, with the CPU demand and anti-affinity of each.
fn gang(count: u32, cpu: u64, anti_affinity: u32) -> StepSpec {
    StepSpec {
        gang: true,
        anti_affinity,
        estimated_ms: 5000,
        ..step(count, cpu)
    }
}

/// Guards against reservations of a gang that fits nowhere, or that cannot start yet, which keep workers idle.
#[googletest::test]
fn gang_keeps_workers_only_from_tasks_that_delay_it() {
    const LONG_MS: u64 = 9000;
    // On four workers, one of which is full for 9 s: the gang, the estimate of a less urgent task, and whether it starts.
    let cases = [
        ("fits nowhere", gang(5, 4000, 0), LONG_MS, true),
        (
            "anti-affinity fits nowhere",
            gang(5, 1000, 1),
            LONG_MS,
            true,
        ),
        ("anti-affinity fits", gang(4, 4000, 1), LONG_MS, false),
        ("short enough", gang(4, 4000, 0), 1000, true),
        ("delays the gang", gang(4, 4000, 0), 2 * LONG_MS, false),
        (
            "narrow gang starts at once",
            gang(3, 2000, 0),
            LONG_MS,
            true,
        ),
    ];
    for (name, gang, estimated_ms, is_started) in cases {
        let mut harness = Harness::new(&["w1", "w2", "w3", "w4"]);
        harness.submit(1, vec![timed_step(4000, LONG_MS)]);
        harness.submit(2, vec![gang]);
        harness.serve_for(100);
        harness.submit_with_priority(3, 1, vec![timed_step(1000, estimated_ms)]);
        harness.serve_for(200);
        let active = !harness.active(task(3, 0)).is_empty();
        expect_that!(active, eq(is_started), "{name}");
    }
}

#[googletest::test]
fn gang_that_fits_nowhere_starts_once_there_are_enough_workers() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![gang(3, 4000, 0)]);
    harness.serve_for(5000);
    expect_that!(harness.active(task(1, 0)), is_empty());
    let entries = ["w1", "w2", "w3"].map(worker);
    harness
        .scheduler
        .handle_worker_list(harness.now, &harness.state, &entries);
    harness.serve_for(500);
    for index in 0..3 {
        expect_that!(harness.active(task(1, index)).len(), eq(1));
    }
}
