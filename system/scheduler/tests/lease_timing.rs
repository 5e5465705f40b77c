//! How often workers are looked at.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::StepSpec;

/// Tasks that each fill a worker, on so many of them; returns the waits of the holds that follow.
fn waits_with_busy_workers(count: usize) -> Vec<u64> {
    let names: Vec<String> = (0..count).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut story = Story::new(&names);
    story.submit(
        1,
        vec![StepSpec {
            estimated_ms: 60_000,
            ..step(count as u32, 4000)
        }],
    );
    // A round of planning does not take all of them at once.
    for _ in 0..200 {
        for start in story.starts() {
            story.reply(&start, story.done());
        }
        story.pass(1);
    }
    for call in story.take_calls() {
        story.reply(&call, story.listing(vec![], vec![]));
    }
    story.pass(60);
    waits(&story.take_calls())
}

#[googletest::test]
fn given_a_few_busy_workers_when_they_are_held_then_each_is_looked_at_twice_a_second() {
    let waits = waits_with_busy_workers(20);
    expect_that!(waits, not(is_empty()));
    expect_that!(waits, each(le(&500)));
}

#[googletest::test]
fn given_many_busy_workers_when_they_are_held_then_looks_do_not_grow_with_their_number() {
    let waits = waits_with_busy_workers(800);
    expect_that!(waits.iter().max(), some(eq(&1000)));
    expect_that!(waits_with_busy_workers(2000).iter().max(), some(eq(&1500)));
}
