//! Placing, recording and starting runs, and taking over the runs of an earlier scheduler.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_jobs::Change;
use magpiegap_protocol::{
    Availability, Command, CompletionKind, FencingToken, JobId, LogIndex, LogPosition, RunStart,
    StepSpec, ViewNumber, WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{
    ListedCompletion, Output, RefusalReason, Scheduler, SchedulerSettings, WorkerOrder, WorkerReply,
};

#[googletest::test]
fn run_is_logged_before_its_start_is_sent() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    expect_that!(harness.active(task(1, 0)), elements_are![eq("w1")]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].token, eq(TOKEN));
}

#[googletest::test]
fn placement_does_not_exceed_worker_capacity() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![step(9, 1000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(8));
    let starts_on = |name: &str| {
        starts
            .iter()
            .filter(|call| call.incarnation == name)
            .count()
    };
    expect_that!((starts_on("w1"), starts_on("w2")), eq((4, 4)));
}

#[googletest::test]
fn timed_out_start_is_retried_on_same_worker() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.submit(1, vec![step(1, 1000)]);
    let first = harness.starts().remove(0);
    harness.now += 250;
    harness.reply(&first, WorkerReply::TimedOut);
    harness.advance(10);
    let retries = harness.starts();
    expect_that!(retries.len(), eq(1));
    expect_that!(retries[0].incarnation, eq(&first.incarnation));
    expect_that!(harness.active(task(1, 0)).len(), eq(1));
}

#[googletest::test]
fn completion_is_logged_before_it_is_acknowledged() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    let renewal = harness
        .take_calls()
        .into_iter()
        .find(|call| matches!(call.order, WorkerOrder::RenewLease { .. }))
        .unwrap();
    expect_that!(
        matches!(
            renewal.order,
            WorkerOrder::RenewLease {
                acknowledged_completion: 0,
                ..
            }
        ),
        eq(true)
    );
    let completion = ListedCompletion {
        sequence: 1,
        task: task(1, 0),
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    harness.reply(&renewal, harness.listing(vec![], vec![completion]));
    harness.advance(10);
    expect_that!(harness.state.workers["w1"].acknowledged_completion, eq(1));
    harness.submit(2, vec![step(1, 1000)]);
    let renewals = harness.take_calls();
    let acknowledged = renewals.iter().find_map(|call| match call.order {
        WorkerOrder::RenewLease {
            acknowledged_completion,
            ..
        } => Some(acknowledged_completion),
        _ => None,
    });
    expect_that!(acknowledged, some(eq(1)));
}

#[googletest::test]
fn reload_after_view_change_drops_pending_proposals() {
    // A listing shows that a run is missing just before the view changes.
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    let renewal = harness.take_calls().remove(0);
    harness.reply(&renewal, harness.listing(vec![], vec![]));
    harness.now += 10;
    let discarded = harness.scheduler.poll_outputs();
    drop(discarded);
    harness.advance(10);
    let renewal = harness.take_calls().pop().unwrap();
    harness.reply(&renewal, harness.listing(vec![], vec![]));
    harness.scheduler.reload_state(harness.now, &harness.state);
    let outputs = harness.scheduler.poll_outputs();
    expect_that!(
        outputs
            .iter()
            .filter(|output| matches!(output, Output::Propose(_)))
            .count(),
        eq(0)
    );
}

#[googletest::test]
fn start_refused_for_capacity_requeues_task() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(
        &start,
        WorkerReply::Refused {
            clock_ms: Some(harness.clock()),
            reason: RefusalReason::NoCapacity,
        },
    );
    harness.advance(10);
    let retries = harness.starts();
    expect_that!(retries.len(), eq(1));
    expect_that!(
        matches!(retries[0].order, WorkerOrder::Start { run: 2, .. }),
        eq(true)
    );
}

#[googletest::test]
fn cancelling_a_job_stops_its_run() {
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    harness.commit(Command::CancelJob { job: JobId(1) });
    harness.advance(10);
    let stops = harness
        .take_calls()
        .iter()
        .filter(|call| matches!(call.order, WorkerOrder::Stop { .. }))
        .count();
    expect_that!(stops, eq(1));
}

#[googletest::test]
fn entries_before_snapshot_do_not_lose_started_runs() {
    // An earlier owner of the role has started a run.
    let mut harness = Harness::new(&["w1"]);
    harness.submit(1, vec![step(1, 1000)]);
    let start = harness.starts().remove(0);
    harness.reply(&start, harness.done());
    // The next owner reads the state after a batch of entries, and then receives each of these entries.
    let mut next = Scheduler::new(
        "s",
        FencingToken(TOKEN.0 + 1),
        SchedulerSettings::default(),
        harness.now,
        &harness.state,
        2,
    );
    let opened = RunStart {
        task: task(1, 0),
        run: 1,
        incarnation: "w1".to_owned(),
        checkpoint: String::new(),
    };
    let change = Change::RunStarted(opened);
    for entry in 1..=harness.state.position.index.0 {
        let entry = LogPosition {
            view: ViewNumber(1),
            index: LogIndex(entry),
        };
        next.handle_applied(
            harness.now,
            entry,
            &harness.state,
            std::slice::from_ref(&change),
            &[],
        );
    }
    next.handle_worker_list(harness.now, &harness.state, &[worker("w1")]);
    let mut lost = 0;
    for _ in 0..20 {
        harness.now += 50;
        next.on_timeout(
            harness.now,
            WallMillis(1_000_000 + harness.now),
            &harness.state,
        );
        let outputs = next.poll_outputs();
        lost += outputs
            .iter()
            .filter(|output| matches!(output, Output::Propose(Command::MarkRunsLost { .. })))
            .count();
    }
    expect_that!(lost, eq(0));
}

#[googletest::test]
fn two_choice_placement_balances_tasks_over_workers() {
    let names: Vec<String> = (0..60).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&names);
    harness.advance(100);
    // Submits three tasks per worker, each needing a quarter of a worker.
    harness.submit(1, vec![step(180, 1000)]);
    let starts = harness.starts();
    // All tasks are placed, no worker has more than four, and at most three workers have none.
    expect_that!(starts.len(), eq(180));
    let starts_on = |name: &str| {
        starts
            .iter()
            .filter(|call| call.incarnation == name)
            .count()
    };
    let counts: Vec<usize> = names.iter().map(|name| starts_on(name)).collect();
    expect_that!(counts.iter().max(), some(le(&4)));
    expect_that!(counts.iter().filter(|count| **count == 0).count(), le(3));
}

#[googletest::test]
fn task_is_placed_on_workers_with_required_label() {
    let names: Vec<String> = (0..60).map(|number| format!("w{number}")).collect();
    let mut harness = Harness::new(&[]);
    let mut entries: Vec<_> = names.iter().map(|name| worker(name)).collect();
    for entry in entries.iter_mut().take(2) {
        entry.labels.push("rare".to_owned());
    }
    harness
        .scheduler
        .handle_worker_list(harness.now, &harness.state, &entries);
    harness.advance(10);
    harness.reply_to_first_calls();
    harness.advance(100);
    let rare = StepSpec {
        requirements: vec!["rare".to_owned()],
        ..step(4, 1000)
    };
    harness.submit(1, vec![rare]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(4));
    expect_that!(
        starts
            .iter()
            .all(|call| call.incarnation == "w0" || call.incarnation == "w1"),
        eq(true)
    );
}

/// Guards against starts that are sent again to a worker that drains or is no longer listed, because the first one was
/// not replied to.
#[googletest::test]
fn start_is_not_repeated_to_departing_worker() {
    let draining = WorkerEntry {
        availability: Availability::Draining,
        ..worker("w1")
    };
    for (name, entries) in [("draining", vec![draining]), ("not listed", vec![])] {
        let mut harness = Harness::new(&["w1"]);
        harness.submit(1, vec![step(1, 1000)]);
        let start = harness.starts().remove(0);
        harness
            .scheduler
            .handle_worker_list(harness.now, &harness.state, &entries);
        harness.reply(&start, WorkerReply::TimedOut);
        let mut stops = 0;
        for _ in 0..100 {
            harness.advance(20);
            expect_that!(harness.starts(), is_empty(), "{name}");
            for call in harness.take_calls() {
                let reply = match call.order {
                    WorkerOrder::RenewLease { .. } => harness.listing(vec![], vec![]),
                    _ => harness.done(),
                };
                stops += u32::from(matches!(call.order, WorkerOrder::Stop { .. }));
                harness.reply(&call, reply);
            }
        }
        // The run is stopped, and known not to be running by the next listing.
        expect_that!(stops, ge(1), "{name}");
        expect_that!(harness.active(task(1, 0)), is_empty(), "{name}");
    }
}
