//! Inconsistent states are found out, and each contradiction is named.
mod common;

use common::{
    apply,
    job::{complete, start, step, submission, task, JOB},
};
use googletest::prelude::*;
use magpiegap_jobs::{Inconsistency, State};
use magpiegap_protocol::{Command, CompletionKind};

const QUEUE: &str = "h/q/";

/// A job of two tasks: one is done, one runs.
fn half_done_state() -> State {
    let runs = vec![start(0, 0, 1, "w"), start(0, 1, 1, "w")];
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
fn given_a_state_that_came_about_by_entries_when_it_is_checked_then_nothing_contradicts() {
    expect_that!(half_done_state().inconsistencies(), is_empty());
}

#[googletest::test]
fn given_a_worker_without_a_run_of_a_task_when_the_state_is_checked_then_the_run_is_named() {
    let mut state = half_done_state();
    state.workers.get_mut("w").unwrap().runs.clear();
    let unrecorded_run = Inconsistency::RunWithoutWorker {
        incarnation: "w".to_owned(),
        task: task(0, 1),
        run: 1,
    };
    expect_that!(state.inconsistencies(), elements_are![eq(&unrecorded_run)]);
}

#[googletest::test]
fn given_a_run_of_a_task_that_is_not_there_when_the_state_is_checked_then_the_run_is_named() {
    let mut state = half_done_state();
    state.jobs.clear();
    let found = state.inconsistencies();
    let unknown_run = Inconsistency::RunWithoutTask {
        incarnation: "w".to_owned(),
        task: task(0, 1),
        run: 1,
    };
    expect_that!(found, contains(eq(&unknown_run)));
    let open_jobs = Inconsistency::OpenJobs {
        queue: QUEUE.to_owned(),
        recorded: 1,
        counted: 0,
    };
    expect_that!(found, contains(eq(&open_jobs)));
}

#[googletest::test]
fn given_counts_that_are_wrong_when_the_state_is_checked_then_each_is_named() {
    let mut state = half_done_state();
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
fn given_a_configuration_of_another_version_when_the_state_is_checked_then_it_is_named() {
    let mut state = State::default();
    state.configuration.version = 3;
    state.configuration.body = br#"{"version":2,"routes":[],"services":[]}"#.to_vec();
    expect_that!(
        state.inconsistencies(),
        elements_are![eq(&Inconsistency::Configuration)]
    );
}
