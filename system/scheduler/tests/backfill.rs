//! Large tasks that wait get room, and small ones do not delay them.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{StepSpec, WorkerEntry};

#[googletest::test]
fn given_a_large_task_that_waits_when_small_ones_come_then_only_those_that_end_before_it_has_room_start(
) {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![timed_step(2000, 1000)]);
    story.submit(2, vec![timed_step(4000, 1000)]);
    story.pass(50);
    story.submit_with_priority(3, 1, vec![timed_step(1000, 3000)]);
    story.submit_with_priority(4, 1, vec![timed_step(1000, 300)]);
    story.pass(50);
    expect_that!(story.active(task(1, 0)), elements_are![eq("w1")]);
    expect_that!(story.active(task(2, 0)), is_empty());
    expect_that!(story.active(task(3, 0)), is_empty());
    expect_that!(story.active(task(4, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn given_a_large_task_that_waits_when_a_more_urgent_one_comes_then_it_is_started_at_once() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![timed_step(2000, 1000)]);
    story.submit_with_priority(2, 1, vec![timed_step(4000, 1000)]);
    story.pass(50);
    story.submit(3, vec![timed_step(1000, 3000)]);
    expect_that!(story.active(task(3, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn given_a_large_task_that_waits_when_another_worker_has_room_then_less_urgent_ones_start_there() {
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![timed_step(2500, 1000)]);
    story.submit(2, vec![timed_step(2500, 9000)]);
    story.submit(3, vec![timed_step(4000, 1000)]);
    story.pass(50);
    let soon = story.active(task(1, 0));
    let late = story.active(task(2, 0));
    expect_that!(soon, not(container_eq(late.clone())));
    story.submit_with_priority(4, 1, vec![timed_step(1000, 3000)]);
    story.pass(50);
    expect_that!(story.active(task(4, 0)), container_eq(late));
}

#[googletest::test]
fn given_a_gang_that_waits_for_one_rack_when_others_come_then_it_keeps_no_free_worker_from_them() {
    // Given: two racks of two workers each; a gang of four waits for a rack that takes all of it
    let mut story = Story::new(&["w1"]);
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
    story.scheduler.list(story.now, &story.state, &entries);
    story.pass(10);
    story.greet();
    let gang = StepSpec {
        gang: true,
        rack_local: true,
        estimated_ms: 5000,
        ..step(4, 4000)
    };
    story.submit(1, vec![gang]);
    story.pass(50);
    expect_that!(story.active(task(1, 0)), is_empty());
    // When
    story.submit_with_priority(2, 1, vec![timed_step(2000, 9000)]);
    story.pass(50);
    // Then
    expect_that!(story.active(task(2, 0)).len(), eq(1));
}

#[googletest::test]
fn given_many_large_tasks_of_all_lengths_that_wait_when_small_ones_wait_behind_them_then_those_still_start(
) {
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![timed_step(4000, 9000)]);
    story.submit(2, vec![timed_step(1500, 9000)]);
    // Each is due after the one before and shorter than it, so that none is like an earlier one.
    for number in 0..60 {
        story.pass(30);
        story.submit(100 + number, vec![timed_step(4000, 8000 - number * 10)]);
    }
    story.submit_with_priority(3, 1, vec![timed_step(1000, 100)]);
    story.pass(100);
    expect_that!(story.active(task(3, 0)).len(), eq(1));
}
