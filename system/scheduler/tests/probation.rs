//! Workers on probation after an ejection: what they may take, and that nothing waits for them without end.
mod common;

use common::*;
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind, JobId, JobSpec, StepSpec, WorkerEntry};

/// Rack of the worker that is on probation.
const RACK: &str = "r2";
/// Longer than the first ejection of a worker.
const EJECTION_MS: u64 = 5000;

fn in_rack(name: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        labels: vec!["a".to_owned(), rack.to_owned()],
        ..worker(name)
    }
}

/// A task that asks for a quarter of a worker and has its data in the rack of `w1`.
fn local_step() -> StepSpec {
    StepSpec {
        affinity: Some(RACK.to_owned()),
        ..step(1, 1000)
    }
}

/// A task that asks for a quarter of a worker and can run in the rack of `w1` only.
fn bound_step() -> StepSpec {
    StepSpec {
        requirements: vec![RACK.to_owned()],
        ..step(1, 1000)
    }
}

fn long_running(step: StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step],
        long_running: true,
        ..JobSpec::default()
    }
}

/// The number of these jobs whose task has an active run.
fn active_jobs(harness: &Harness, jobs: std::ops::Range<u64>) -> usize {
    jobs.filter(|job| !harness.active(task(*job, 0)).is_empty())
        .count()
}

/// A scheduler with the worker `w1` in a rack of its own and `others` in another one. A long-running task runs on `w1`,
/// which has been ejected since, as two other jobs have failed there, and is on probation now.
fn with_worker_on_probation(others: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    let others = others.iter().map(|name| in_rack(name, "r1"));
    let entries: Vec<WorkerEntry> = others.chain([in_rack("w1", RACK)]).collect();
    harness
        .scheduler
        .handle_worker_list(harness.now, &harness.state, &entries);
    harness.advance(10);
    harness.reply_to_first_calls();
    harness.submit_spec(1, 0, long_running(local_step()));
    harness.serve_for(100);
    for job in [2, 3] {
        harness.submit(job, vec![local_step()]);
        let starts = harness.starts();
        expect_that!(starts[0].incarnation, eq("w1"));
        harness.complete(&starts[0], CompletionKind::Failed);
        harness.commit(Command::CancelJob { job: JobId(job) });
    }
    harness.serve_for(EJECTION_MS);
    expect_that!(harness.active(task(1, 0)), elements_are![eq("w1")]);
    harness
}

/// Guards against tasks that stay queued since the only worker in the rack of their data may not take them.
#[googletest::test]
fn task_runs_elsewhere_if_rack_has_only_worker_on_probation() {
    let mut harness = with_worker_on_probation(&["w2", "w3", "w4"]);
    // A run under way uses up what a worker on probation may take.
    harness.submit(4, vec![local_step()]);
    harness.submit(5, vec![local_step()]);
    harness.serve_for(3000);
    expect_that!(harness.active(task(4, 0)).len(), eq(1));
    expect_that!(harness.active(task(5, 0)).len(), eq(1));
}

/// Guards against a worker that is never used again, because the run that it had before its ejection does not end or
/// because nothing that it takes completes.
#[googletest::test]
fn probation_ends() {
    let mut harness = with_worker_on_probation(&["w2", "w3"]);
    // The earlier run does not count; of the later ones there is one at a time.
    harness.submit(4, vec![bound_step()]);
    harness.submit(5, vec![bound_step()]);
    harness.serve_for(200);
    expect_that!(active_jobs(&harness, 4..6), eq(1));

    let mut after_success = harness;
    let first = [4, 5].map(|job| task(job, 0));
    let running = first
        .into_iter()
        .find(|task| !after_success.active(*task).is_empty());
    if let Some(running) = running {
        after_success.complete_task(running, CompletionKind::Done);
    }
    after_success.submit(6, vec![bound_step()]);
    after_success.serve_for(200);
    expect_that!(active_jobs(&after_success, 4..7), eq(2), "after a success");

    let mut after_time = with_worker_on_probation(&["w2", "w3"]);
    after_time.serve_for(30_000);
    after_time.submit(4, vec![bound_step()]);
    after_time.submit(5, vec![bound_step()]);
    after_time.serve_for(200);
    expect_that!(active_jobs(&after_time, 4..6), eq(2), "after some time");

    let mut after_work = with_worker_on_probation(&["w2", "w3"]);
    after_work.submit_spec(4, 0, long_running(bound_step()));
    after_work.serve_for(200);
    after_work.submit(5, vec![bound_step()]);
    after_work.serve_for(200);
    expect_that!(
        active_jobs(&after_work, 4..6),
        eq(1),
        "before a long run works"
    );
    after_work.serve_for(6000);
    expect_that!(
        active_jobs(&after_work, 4..6),
        eq(2),
        "once a long run works"
    );
}

/// Guards against long-running tasks that take all workers out of use by failing now and then.
#[googletest::test]
fn failures_of_long_running_tasks_keep_workers_in_use() {
    const JOBS: u64 = 9;
    // Time between two failures, from short enough to be taken for failed starts to long.
    for failure_interval_ms in [300, 1000, 10_000] {
        let mut harness = Harness::new(&["w1", "w2", "w3"]);
        for job in 1..=JOBS {
            harness.submit_spec(job, 0, long_running(step(1, 500)));
        }
        harness.serve_for(failure_interval_ms);
        for number in 0..40 {
            let failing = task(1 + number % JOBS, 0);
            if !harness.active(failing).is_empty() {
                harness.complete_task(failing, CompletionKind::Failed);
            }
            harness.serve_for(failure_interval_ms);
        }
        harness.submit(100, vec![step(1, 500)]);
        harness.serve_for(3000);
        let active = active_jobs(&harness, 1..JOBS + 1) + active_jobs(&harness, 100..101);
        expect_that!(active as u64, eq(JOBS + 1), "{failure_interval_ms} ms");
    }
}

/// Guards against jobs whose runs always fail and that take all workers out of use.
#[googletest::test]
fn at_most_half_of_the_workers_are_ejected() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::new(&names);
    for job in 1..200 {
        harness.submit(job, vec![step(1, 1000)]);
        for start in harness.starts() {
            harness.complete(&start, CompletionKind::Failed);
        }
        harness.commit(Command::CancelJob { job: JobId(job) });
        harness.serve_for(50);
    }
    harness.submit(1000, vec![step(8, 1000)]);
    harness.serve_for(200);
    let active = (0..8).filter(|index| !harness.active(task(1000, *index)).is_empty());
    // The other half of the workers takes one each, or more if it is not on probation.
    expect_that!(active.count(), ge(2));
}
