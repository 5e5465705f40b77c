//! A scheduler that a worker refuses for a higher token gives its role up at once.
mod common;

use common::{step, Harness};
use googletest::prelude::*;
use magpiegap_protocol::WallMillis;
use magpiegap_scheduler::{RefusalReason, WorkerReply};

fn refused(harness: &Harness) -> WorkerReply {
    WorkerReply::Refused {
        clock_ms: Some(harness.clock()),
        reason: RefusalReason::StaleToken,
    }
}

#[googletest::test]
fn given_a_worker_that_has_seen_a_higher_token_when_it_refuses_a_start_then_nothing_more_is_called()
{
    // Given
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![step(1, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    // When
    let reply = refused(&harness);
    harness.reply(&starts[0], reply);
    // Then: not to any worker, and not for what comes later
    expect_that!(harness.scheduler.is_deposed(), eq(true));
    harness.take_calls();
    harness.submit(2, vec![step(1, 1000)]);
    for _ in 0..40 {
        harness.advance(100);
    }
    expect_that!(harness.take_calls(), is_empty());
}

#[googletest::test]
fn given_calls_not_yet_polled_when_a_start_is_refused_for_a_higher_token_then_they_are_dropped() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    // The scheduler has decided more by the time that the refusal comes.
    harness.submit(2, vec![step(1, 1000)]);
    harness.take_calls();
    harness.now += 2000;
    harness
        .scheduler
        .on_timeout(harness.now, WallMillis(harness.now), &harness.state);
    let reply = refused(&harness);
    harness.reply(&starts[0], reply);
    let orders = harness.scheduler.poll_outputs();
    expect_that!(orders.len(), eq(1), "only a log line: {orders:?}");
}
