//! Occurrences of repeated jobs: when they open, and how many at once.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobSpec, RunCompletion, TaskId, WallMillis, MAX_TASKS_PER_JOB,
};

/// Guards against a job that opens all of its occurrences at once, each with as many tasks as a job may have.
#[googletest::test]
fn open_occurrences_of_a_job_are_bounded_by_their_tasks() {
    for (count, expected) in [(MAX_TASKS_PER_JOB as u32, 1), (6000, 3), (1000, 20)] {
        let mut harness = Harness::new(&["w1"]);
        let spec = JobSpec {
            steps: vec![step(count, 1000)],
            repeat_count: u32::MAX,
            start_at_ms: WallMillis(1),
            ..JobSpec::default()
        };
        harness.submit_spec(1, 0, spec);
        for _ in 0..40 {
            harness.advance(60);
        }
        let open = harness.state.jobs[&JobId(1)].occurrences.len();
        expect_that!(open, eq(expected), "{count} tasks");
    }
}

/// An occurrence that had to wait opens as soon as an earlier one has ended.
#[googletest::test]
fn postponed_occurrence_opens_when_an_earlier_one_ends() {
    let mut harness = Harness::new(&["w1"]);
    let spec = JobSpec {
        steps: vec![step(1, 4000), step(MAX_TASKS_PER_JOB as u32 - 1, 8000)],
        repeat_count: 3,
        start_at_ms: WallMillis(1),
        ..JobSpec::default()
    };
    harness.submit_spec(1, 0, spec);
    harness.advance(60);
    harness.advance(60);
    expect_that!(harness.state.jobs[&JobId(1)].next_occurrence, eq(1));
    // All tasks of the first occurrence end.
    let first = harness.starts().remove(0);
    harness.reply(&first, harness.done());
    let mut state = harness.state.jobs[&JobId(1)].clone();
    let occurrence = state.make_mut().occurrences.get_mut(&0).expect("open");
    for task in &mut occurrence.steps[1].tasks {
        task.done = true;
    }
    occurrence.steps[1].done = MAX_TASKS_PER_JOB as u32 - 1;
    harness.state.jobs.insert(JobId(1), state);
    harness.commit(Command::RecordCompletions {
        incarnation: "w1".to_owned(),
        acknowledged_completion: 1,
        completions: vec![RunCompletion {
            task: TaskId {
                occurrence: 0,
                ..task(1, 0)
            },
            run: 1,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        }],
    });
    harness.advance(60);
    harness.advance(60);
    expect_that!(harness.state.jobs[&JobId(1)].next_occurrence, eq(2));
}
