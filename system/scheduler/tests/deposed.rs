//! A scheduler that a worker refuses for a higher token gives its role up at once.
mod common;

use common::{step, Harness, TOKEN};
use googletest::prelude::*;
use magpiegap_protocol::{Command, JobId, WallMillis};
use magpiegap_scheduler::{RefusalReason, WorkerCall, WorkerOrder, WorkerReply};

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

/// A scheduler that waits for the reply to a call, for each purpose of calls.
fn call_of_each_purpose() -> Vec<(&'static str, Harness, WorkerCall)> {
    let with_start = || {
        let mut harness = Harness::new(&["w1"]);
        harness.take_calls();
        harness.submit(1, vec![step(1, 1000)]);
        let start = harness.starts().remove(0);
        (harness, start)
    };
    let is_renewal = |call: &WorkerCall| matches!(call.order, WorkerOrder::RenewLease { .. });
    let is_stop = |call: &WorkerCall| matches!(call.order, WorkerOrder::Stop { .. });
    let (mut renewing, started) = with_start();
    renewing.reply(&started, renewing.done());
    renewing.advance(100);
    let renewal = renewing.take_calls().into_iter().find(is_renewal);
    let (starting, start) = with_start();
    let (mut stopping, started) = with_start();
    stopping.reply(&started, stopping.done());
    stopping.commit(Command::CancelJob { job: JobId(1) });
    stopping.advance(100);
    let stop = stopping.take_calls().into_iter().find(is_stop);
    let mut purposes = vec![("start", starting, start)];
    purposes.extend(renewal.map(|call| ("renewal", renewing, call)));
    purposes.extend(stop.map(|call| ("stop", stopping, call)));
    purposes
}

#[googletest::test]
fn given_a_higher_token_at_a_worker_when_any_call_is_refused_for_it_then_the_role_is_given_up() {
    let purposes = call_of_each_purpose();
    expect_that!(purposes.len(), eq(3));
    for (purpose, mut harness, call) in purposes {
        expect_that!(call.token, eq(TOKEN), "{purpose}");
        let reply = refused(&harness);
        harness.reply(&call, reply);
        expect_that!(harness.scheduler.is_deposed(), eq(true), "{purpose}");
    }
}

#[googletest::test]
fn given_other_refusals_when_they_arrive_then_the_role_goes_on() {
    for reason in [
        RefusalReason::Superseded,
        RefusalReason::DeadlinePassed,
        RefusalReason::NoCapacity,
    ] {
        for (purpose, mut harness, call) in call_of_each_purpose() {
            let reply = WorkerReply::Refused {
                clock_ms: Some(harness.clock()),
                reason,
            };
            harness.reply(&call, reply);
            let case = format!("{purpose} {reason:?}");
            expect_that!(harness.scheduler.is_deposed(), eq(false), "{case}");
        }
    }
}
