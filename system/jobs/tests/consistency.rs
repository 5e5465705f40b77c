//! Consistency checks report each inconsistency of a state.
mod common;

use common::{
    apply,
    job::{complete, run_start, step, submission, task, JOB},
};
use googletest::prelude::*;
use magpiegap_jobs::{Inconsistency, ServiceJobs, State};
use magpiegap_protocol::{Command, CompletionKind};

const QUEUE: &str = "h/q/";

/// A state with a job of two tasks. One task is done, the other has an active run.
fn state_with_half_done_job() -> State {
    let runs = vec![run_start(0, 0, 1, "w"), run_start(0, 1, 1, "w")];
    let done = runs[0].clone();
    let mut state = State::default();
    apply(
        &mut state,
        Command::SubmitJob {
            submission: Box::new(submission(vec![step(2)])),
            runs,
        },
    );
    complete(&mut state, "w", 1, &done, CompletionKind::Done);
    state
}

#[googletest::test]
fn states_produced_by_entries_are_consistent() {
    expect_that!(state_with_half_done_job().inconsistencies(), is_empty());
}

#[googletest::test]
fn run_missing_from_its_worker_is_reported() {
    let mut state = state_with_half_done_job();
    state.workers.get_mut("w").unwrap().runs.clear();
    let missing_from_worker = Inconsistency::RunWithoutWorker {
        incarnation: "w".to_owned(),
        task: task(0, 1),
        run: 1,
    };
    expect_that!(
        state.inconsistencies(),
        elements_are![eq(&missing_from_worker)]
    );
}

#[googletest::test]
fn run_of_a_missing_task_is_reported() {
    let mut state = state_with_half_done_job();
    state.jobs.clear();
    let found = state.inconsistencies();
    let missing_from_task = Inconsistency::RunWithoutTask {
        incarnation: "w".to_owned(),
        task: task(0, 1),
        run: 1,
    };
    expect_that!(found, contains(eq(&missing_from_task)));
    let open_jobs = Inconsistency::OpenJobs {
        queue: QUEUE.to_owned(),
        recorded: 1,
        counted: 0,
    };
    expect_that!(found, contains(eq(&open_jobs)));
}

#[googletest::test]
fn wrong_task_and_occurrence_counts_are_reported() {
    let mut state = state_with_half_done_job();
    let job = state.jobs.get_mut(&JOB).unwrap().make_mut();
    job.occurrences.get_mut(&0).unwrap().steps[0].done = 2;
    job.occurrences_done = 9;
    let step = Inconsistency::DoneTasks {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    let occurrences = Inconsistency::Occurrences { job: JOB };
    expect_that!(
        state.inconsistencies(),
        unordered_elements_are![eq(&step), eq(&occurrences)]
    );
}

#[googletest::test]
fn configuration_with_unrecorded_version_is_reported() {
    let mut state = State::default();
    state.configuration.version = 3;
    state.configuration.body = br#"{"version":2,"routes":[],"services":[]}"#.to_vec();
    expect_that!(
        state.inconsistencies(),
        elements_are![eq(&Inconsistency::Configuration)]
    );
}

#[googletest::test]
fn wrong_count_of_the_jobs_of_a_service_is_reported() {
    let mut state = state_with_half_done_job();
    state.service_jobs = ServiceJobs::default();
    expect_that!(
        state.inconsistencies(),
        elements_are![eq(&Inconsistency::ServiceJobs)]
    );
}
