//! Tasks wait for the rack that holds their data, but not in vain and not for any time.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Availability, StepSpec, WorkerEntry};

/// How long a task of this estimate waits for a rack, with a worker in another rack idle, in milliseconds.
fn wait_ms(estimated_ms: u64, racks: &[WorkerEntry]) -> u64 {
    let mut harness = Harness::new(&["w1"]);
    let entries: Vec<WorkerEntry> = [worker("w1")].into_iter().chain(racks.to_vec()).collect();
    harness
        .scheduler
        .handle_worker_list(harness.now, &harness.state, &entries);
    harness.advance(10);
    harness.reply_to_first_calls();
    let local = StepSpec {
        affinity: Some("r2".to_owned()),
        ..timed_step(1000, estimated_ms)
    };
    // The worker in the rack, if there is one, is full.
    let filler = StepSpec {
        requirements: vec!["r2".to_owned()],
        ..timed_step(4000, 1_000_000)
    };
    harness.submit(1, vec![filler]);
    let submitted_at = harness.now;
    harness.submit(2, vec![local]);
    while harness.active(task(2, 0)).is_empty() && harness.now < submitted_at + 200_000 {
        for call in harness.take_calls() {
            harness.reply(&call, harness.done());
        }
        harness.advance(50);
    }
    harness.now - submitted_at
}

fn in_rack(availability: Availability) -> WorkerEntry {
    WorkerEntry {
        labels: vec!["a".to_owned(), "r2".to_owned()],
        availability,
        ..worker("w2")
    }
}

/// Guards against tasks that wait for a rack without workers, and for as long as their clients' estimates are large.
#[googletest::test]
fn wait_for_a_rack_is_bounded() {
    let ready = [in_rack(Availability::Ready)];
    let draining = [in_rack(Availability::Draining)];
    let cases: [(&str, u64, &[WorkerEntry], std::ops::RangeInclusive<u64>); 5] = [
        ("small estimate", 1000, &ready, 0..=3000),
        (
            "large estimate, rack full",
            60_000_000,
            &ready,
            29_000..=31_000,
        ),
        ("no estimate", 0, &ready, 0..=200),
        ("large estimate, rack gone", 60_000_000, &[], 0..=200),
        (
            "large estimate, rack drains",
            60_000_000,
            &draining,
            0..=200,
        ),
    ];
    for (name, estimated_ms, racks, expected) in cases {
        let waited_ms = wait_ms(estimated_ms, racks);
        expect_that!(
            expected.contains(&waited_ms),
            eq(true),
            "{name}: {waited_ms} ms"
        );
    }
}
