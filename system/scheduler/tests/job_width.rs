//! The work for a task does not depend on how many tasks its job has.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind, RunCompletion};
use magpiegap_scheduler::WorkerOrder;
use std::collections::BTreeMap;

const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
/// Tasks of all jobs together.
const TASKS: u32 = 8000;

/// The work of a play in which all tasks end.
struct Work {
    /// Units examined in all.
    total: u64,
    /// Units examined for one input, at most.
    longest_turn: u64,
}

/// Ends all runs that were started, with one entry per worker. Returns whether there were any.
fn end_started_runs(harness: &mut Harness, acknowledged: &mut BTreeMap<String, u64>) -> bool {
    let mut ended: BTreeMap<String, Vec<RunCompletion>> = BTreeMap::new();
    for start in harness.starts() {
        harness.reply(&start, harness.done());
        if let WorkerOrder::Start { task, run, .. } = start.order {
            let completion = RunCompletion {
                task,
                run,
                kind: CompletionKind::Done,
                checkpoint: String::new(),
            };
            ended.entry(start.incarnation).or_default().push(completion);
        }
    }
    let has_ended = !ended.is_empty();
    for (incarnation, completions) in ended {
        let number = acknowledged.entry(incarnation.clone()).or_default();
        *number += completions.len() as u64;
        harness.commit(Command::RecordCompletions {
            incarnation,
            acknowledged_completion: *number,
            completions,
        });
    }
    has_ended
}

/// Submits all tasks at once, in jobs of one step of this width, and plays until they are done.
fn play(width: u32) -> Work {
    let mut harness = Harness::new(&WORKERS);
    let mut acknowledged = BTreeMap::new();
    let mut longest_turn = 0;
    let mut before = harness.scheduler.examined_units();
    let mut end_turn = |harness: &Harness| {
        let now = harness.scheduler.examined_units();
        longest_turn = longest_turn.max(now - before);
        before = now;
    };
    for job in 0..TASKS / width {
        harness.submit(u64::from(job) + 1, vec![step(width, 1000)]);
        end_turn(&harness);
    }
    while !harness.state.open_jobs.is_empty() && harness.now < 10_000_000 {
        end_started_runs(&mut harness, &mut acknowledged);
        harness.advance(30);
        end_turn(&harness);
        harness.take_calls_other_than_starts();
    }
    expect_that!(harness.state.open_jobs.len(), eq(0));
    Work {
        total: harness.scheduler.examined_units(),
        longest_turn,
    }
}

/// Guards against coordinators that stand still because the work for each start and each end grows with the number of
/// tasks of the job.
#[googletest::test]
fn work_for_a_task_does_not_depend_on_the_width_of_its_job() {
    let narrow = play(40);
    for width in [400, 2000, TASKS] {
        let wide = play(width);
        expect_that!(2 * wide.total, le(3 * narrow.total), "width {width}");
        // A turn may examine the queue once for the round and once for a refresh.
        expect_that!(wide.longest_turn, le(2 * u64::from(TASKS)), "width {width}");
    }
}
