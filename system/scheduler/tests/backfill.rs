//! Large tasks that wait get room, and small ones do not delay them.
mod common;

use common::*;
use googletest::prelude::*;

#[googletest::test]
fn given_a_large_task_that_waits_when_small_ones_come_then_only_those_that_end_before_it_has_room_start() {
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
