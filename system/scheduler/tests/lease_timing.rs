//! The duration of long polls depends on the number of busy workers.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::StepSpec;

/// Starts one task on each of `count` workers, each filling its worker, and returns the long polls that follow.
fn long_polls_with_busy_workers(count: usize) -> Vec<u64> {
    let names: Vec<String> = (0..count).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&names);
    harness.submit(
        1,
        vec![StepSpec {
            estimated_ms: 60_000,
            ..step(count as u32, 4000)
        }],
    );
    // One planning round does not place all of the tasks.
    for _ in 0..200 {
        for start in harness.starts() {
            harness.reply(&start, harness.done());
        }
        harness.advance(1);
    }
    for call in harness.take_calls() {
        harness.reply(&call, harness.listing(vec![], vec![]));
    }
    harness.advance(60);
    long_polls(&harness.take_calls())
}

#[googletest::test]
fn few_busy_workers_renew_at_least_twice_a_second() {
    let long_polls = long_polls_with_busy_workers(20);
    expect_that!(long_polls, not(is_empty()));
    expect_that!(long_polls, each(le(&500)));
}

#[googletest::test]
fn long_polls_lengthen_with_number_of_busy_workers() {
    let long_polls = long_polls_with_busy_workers(800);
    expect_that!(long_polls.iter().max(), some(eq(&1000)));
    expect_that!(
        long_polls_with_busy_workers(2000).iter().max(),
        some(eq(&1500))
    );
}
