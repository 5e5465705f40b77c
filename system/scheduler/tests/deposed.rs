//! A scheduler whose token a worker refuses as stale gives up its role immediately.
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
fn start_refused_for_higher_token_ends_all_calls() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![step(1, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    let reply = refused(&harness);
    harness.reply(&starts[0], reply);
    // No calls are made any more, neither to other workers nor for later jobs.
    expect_that!(harness.scheduler.is_deposed(), eq(true));
    harness.take_calls();
    harness.submit(2, vec![step(1, 1000)]);
    for _ in 0..40 {
        harness.advance(100);
    }
    expect_that!(harness.take_calls(), is_empty());
}

#[googletest::test]
fn stale_token_refusal_drops_unpolled_calls() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    // By the time the refusal arrives, the scheduler has queued further outputs.
    harness.submit(2, vec![step(1, 1000)]);
    harness.take_calls();
    harness.now += 2000;
    harness
        .scheduler
        .on_timeout(harness.now, WallMillis(harness.now), &harness.state);
    let reply = refused(&harness);
    harness.reply(&starts[0], reply);
    let outputs = harness.scheduler.poll_outputs();
    expect_that!(outputs.len(), eq(1), "only a log line: {outputs:?}");
}

/// For each kind of call, a scheduler that waits for the reply to such a call.
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
fn any_refusal_for_higher_token_deposes_scheduler() {
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
fn other_refusals_do_not_depose_scheduler() {
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
