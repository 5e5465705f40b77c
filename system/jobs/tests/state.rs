//! Entries that change jobs, runs, roles and configurations of the replicated state.
mod common;

use common::job::*;
use common::{apply, apply_as, replica};
use googletest::prelude::*;
use magpiegap_jobs::{startable_units, Change, Outcome, SnapshotBuilder, State};
use magpiegap_protocol::{
    Command, CompletionKind, FencingToken, JobPhase, Role, RoleToken, RunStart, StepSpec,
    WallMillis,
};

#[googletest::test]
fn step_becomes_startable_after_its_dependency() {
    let mut state = State::default();
    let second = StepSpec {
        depends_on: vec![0],
        ..step(2)
    };
    submit(&mut state, submission(vec![step(1), second]));
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(1));
    let first = start_run(&mut state, 0, 0, 1, "a");
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(0));
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(2));
    expect_that!(phase(&state), eq(JobPhase::Running));
}

#[googletest::test]
fn job_succeeds_and_closes_with_last_task() {
    let mut state = state_with_job(vec![step(1)]);
    expect_that!(state.open_jobs.get("h/q/"), some(eq(&1)));
    let first = start_run(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(phase(&state), eq(JobPhase::Succeeded));
    expect_that!(state.open_jobs.get("h/q/"), none());
}

#[googletest::test]
fn second_run_of_an_active_task_is_not_applicable() {
    let mut state = state_with_job(vec![step(1)]);
    start_runs(&mut state, vec![run_start(0, 0, 1, "a")]);
    let applied = start_runs(&mut state, vec![run_start(0, 0, 2, "b")]);
    expect_that!(applied.outcome, eq(Outcome::NotApplicable));
    expect_that!(state.workers.get("b"), none());
}

#[googletest::test]
fn restart_of_a_done_task_is_not_applicable() {
    let mut state = state_with_job(vec![step(2)]);
    let first = start_run(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(
        start_runs(&mut state, vec![run_start(0, 0, 2, "a")]).outcome,
        eq(Outcome::NotApplicable)
    );
}

#[googletest::test]
fn job_fails_with_its_last_attempt() {
    let mut state = state_with_job(vec![step(1)]);
    for run in 1..=2 {
        expect_that!(phase(&state), not(eq(JobPhase::Failed)));
        let started = start_run(&mut state, 0, 0, run, "a");
        complete(
            &mut state,
            "a",
            u64::from(run),
            &started,
            CompletionKind::Failed,
        );
    }
    expect_that!(phase(&state), eq(JobPhase::Failed));
    expect_that!(
        start_runs(&mut state, vec![run_start(0, 0, 3, "a")]).outcome,
        eq(Outcome::NotApplicable)
    );
}

#[googletest::test]
fn expired_and_stopped_runs_are_not_attempts() {
    let mut state = state_with_job(vec![step(1)]);
    for run in 1..=6 {
        let started = start_run(&mut state, 0, 0, run, "a");
        let kind = if run % 2 == 0 {
            CompletionKind::LeaseExpired
        } else {
            CompletionKind::Stopped
        };
        complete(&mut state, "a", u64::from(run), &started, kind);
    }
    expect_that!(phase(&state), eq(JobPhase::Running));
}

#[googletest::test]
fn completion_of_one_gang_member_completes_all() {
    let mut state = state_with_job(vec![StepSpec {
        gang: true,
        ..step(3)
    }]);
    let runs: Vec<RunStart> = (0..3)
        .map(|index| run_start(0, index, 1, &format!("w{index}")))
        .collect();
    start_runs(&mut state, runs.clone());
    complete(&mut state, "w1", 1, &runs[1], CompletionKind::Done);
    expect_that!(phase(&state), eq(JobPhase::Succeeded));
}

#[googletest::test]
fn failed_gang_run_counts_as_one_attempt() {
    let mut state = state_with_job(vec![StepSpec {
        gang: true,
        ..step(2)
    }]);
    let runs: Vec<RunStart> = (0..2)
        .map(|index| run_start(0, index, 1, &format!("w{index}")))
        .collect();
    start_runs(&mut state, runs.clone());
    complete(&mut state, "w0", 1, &runs[0], CompletionKind::Failed);
    complete(&mut state, "w1", 1, &runs[1], CompletionKind::Failed);
    expect_that!(phase(&state), eq(JobPhase::Running));
    let counts: Vec<u32> = startable_units(&state.jobs[&JOB])
        .iter()
        .map(|unit| unit.count)
        .collect();
    expect_that!(counts, eq(&vec![2]));
}

#[googletest::test]
fn cancelled_job_has_no_startable_tasks() {
    let mut state = state_with_job(vec![step(2)]);
    let first = start_run(&mut state, 0, 0, 1, "a");
    apply(&mut state, Command::CancelJob { job: JOB });
    complete(&mut state, "a", 1, &first, CompletionKind::Stopped);
    expect_that!(phase(&state), eq(JobPhase::Cancelled));
    expect_that!(startable_units(&state.jobs[&JOB]), is_empty());
    expect_that!(
        submit(&mut state, submission(vec![step(2)])),
        eq(Outcome::Repeated)
    );
}

#[googletest::test]
fn repeated_completions_change_nothing() {
    let mut state = state_with_job(vec![step(2)]);
    let first = start_run(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Failed);
    let repeated = complete(&mut state, "a", 1, &first, CompletionKind::Failed);
    expect_that!(repeated.outcome, eq(Outcome::Repeated));
    expect_that!(
        state.jobs[&JOB].task(&task(0, 0)).map(|task| task.failures),
        some(eq(1))
    );
}

#[googletest::test]
fn each_occurrence_opens_and_runs_once() {
    let mut state = State::default();
    let mut repeated = submission(vec![step(1)]);
    repeated.spec.repeat_count = 2;
    repeated.spec.start_at_ms = WallMillis(5000);
    repeated.spec.interval_ms = 100;
    submit(&mut state, repeated);
    expect_that!(startable_units(&state.jobs[&JOB]), is_empty());
    for occurrence in 0..2 {
        expect_that!(
            apply(
                &mut state,
                Command::OpenOccurrence {
                    job: JOB,
                    occurrence
                }
            )
            .outcome,
            eq(Outcome::Done)
        );
        expect_that!(
            apply(
                &mut state,
                Command::OpenOccurrence {
                    job: JOB,
                    occurrence
                }
            )
            .outcome,
            eq(Outcome::NotApplicable)
        );
        let mut started = run_start(0, 0, 1, "a");
        started.task.occurrence = occurrence;
        start_runs(&mut state, vec![started.clone()]);
        complete(
            &mut state,
            "a",
            u64::from(occurrence) + 1,
            &started,
            CompletionKind::Done,
        );
    }
    expect_that!(phase(&state), eq(JobPhase::Succeeded));
}

#[googletest::test]
fn ended_tasks_of_long_running_jobs_are_startable() {
    let mut state = State::default();
    let mut long_running = submission(vec![step(1)]);
    long_running.spec.long_running = true;
    submit(&mut state, long_running);
    for (run, kind) in [
        (1, CompletionKind::Done),
        (2, CompletionKind::Failed),
        (3, CompletionKind::Failed),
        (4, CompletionKind::Failed),
    ] {
        let started = start_run(&mut state, 0, 0, run, "a");
        complete(&mut state, "a", u64::from(run), &started, kind);
        expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(1));
    }
    expect_that!(phase(&state), eq(JobPhase::Running));
}

#[googletest::test]
fn tasks_of_ended_incarnation_can_start_elsewhere() {
    let mut state = state_with_job(vec![step(2)]);
    start_runs(
        &mut state,
        vec![run_start(0, 0, 1, "a"), run_start(0, 1, 1, "a")],
    );
    let applied = apply(
        &mut state,
        Command::MarkIncarnationLost {
            incarnation: "a".to_owned(),
            ended: true,
        },
    );
    let closed = applied
        .changes
        .iter()
        .filter(|change| matches!(change, Change::RunClosed { .. }))
        .count();
    expect_that!(closed, eq(2));
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(2));
    expect_that!(state.workers.get("a"), none());
}

#[googletest::test]
fn commands_of_previous_role_holder_are_fenced() {
    let mut state = State::default();
    let role = Role::Scheduler("s".to_owned());
    let claim = |expected| Command::ClaimRole {
        role: role.clone(),
        holder: replica(),
        expected,
    };
    expect_that!(
        apply(&mut state, claim(FencingToken(0))).outcome,
        eq(Outcome::Done)
    );
    expect_that!(
        apply(&mut state, claim(FencingToken(0))).outcome,
        eq(Outcome::NotApplicable)
    );
    expect_that!(
        apply(&mut state, claim(FencingToken(1))).outcome,
        eq(Outcome::Done)
    );
    let previous_token = Some(RoleToken {
        role: role.clone(),
        token: FencingToken(1),
    });
    let command = Command::SubmitJob {
        submission: Box::new(submission(vec![step(1)])),
        runs: Vec::new(),
    };
    expect_that!(
        apply_as(&mut state, previous_token, command).outcome,
        eq(Outcome::Fenced)
    );
    expect_that!(state.jobs.len(), eq(0));
}

#[googletest::test]
fn conflicting_configurations_are_rejected_and_repeated_ones_recognized() {
    let mut state = State::default();
    let replace = |base, version, body: &str| Command::ReplaceConfiguration {
        base,
        version,
        body: body.as_bytes().to_vec(),
        change: Vec::new(),
    };
    for (base, version, body, outcome) in [
        (0, 3, "one", Outcome::Done),
        (0, 3, "other", Outcome::Conflict),
        (3, 3, "other", Outcome::Stale),
        (3, 9, "two", Outcome::Done),
        (0, 3, "one", Outcome::Repeated),
    ] {
        let applied = apply(&mut state, replace(base, version, body));
        expect_that!(applied.outcome, eq(outcome), "{body} on {base}");
    }
    expect_that!(state.configuration.version, eq(9));
}

#[googletest::test]
fn services_of_jobs_are_known_until_the_last_job_is_removed() {
    let services = |state: &State| -> Vec<String> {
        state.service_jobs.services().map(str::to_owned).collect()
    };
    let mut state = state_with_job(vec![step(1)]);
    expect_that!(services(&state), elements_are![eq("s")]);
    // An entry that is applied twice counts its job once, and a restored snapshot counts it as well.
    submit(&mut state, submission(vec![step(1)]));
    let mut builder = SnapshotBuilder::default();
    let snapshot = state.snapshot();
    for number in 0..snapshot.chunks() {
        expect_that!(builder.add(&snapshot.chunk(number)), ok(anything()));
    }
    expect_that!(builder.finish(), some(eq(&state)));
    // An ended job counts until it is removed: its scheduler removes it.
    apply(&mut state, Command::CancelJob { job: JOB });
    expect_that!(services(&state), elements_are![eq("s")]);
    for _ in 0..2 {
        apply(&mut state, Command::RemoveJobs { jobs: vec![JOB] });
        expect_that!(services(&state), is_empty());
    }
}
