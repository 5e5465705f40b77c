//! Tombstones of cancelled jobs in the scheduler.
mod common;

use common::Harness;
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId, JobPhase, Submission};

/// Guards against a tombstone that stays pending, and is never removed, since its coordinator failed before it had
/// cancelled it.
#[googletest::test]
fn pending_tombstone_is_cancelled_when_the_state_is_reloaded() {
    let mut harness = Harness::new(&["w1"]);
    let own = Submission::tombstone(JobId(7), "q", "s");
    let other = Submission::tombstone(JobId(8), "r", "t");
    for tombstone in [own, other] {
        harness.commit(Command::SubmitJob {
            submission: Box::new(tombstone),
            runs: Vec::new(),
        });
    }
    harness.advance(100);
    let phases = |harness: &Harness| {
        let jobs = harness.state.jobs.values();
        jobs.map(|job| job.phase).collect::<Vec<JobPhase>>()
    };
    expect_that!(phases(&harness), eq(&[JobPhase::Pending; 2]));
    harness.scheduler.reload_state(harness.now, &harness.state);
    harness.advance(10);
    // The other one belongs to another scheduler.
    let expected = [JobPhase::Cancelled, JobPhase::Pending];
    expect_that!(phases(&harness), eq(&expected));
    harness.advance(200_000);
    expect_that!(harness.state.jobs.len(), eq(1));
}
