//! The replicated state: jobs, runs, completions, roles and configurations.
mod common;

use common::job::*;
use common::{apply, apply_as, replica};
use googletest::prelude::*;
use magpiegap_jobs::{startable_units, Change, Outcome, State};
use magpiegap_protocol::{
    Command, CompletionKind, FencingToken, JobPhase, Role, RoleToken, RunStart, StepSpec,
    WallMillis,
};

#[googletest::test]
fn given_steps_that_depend_when_the_first_is_done_then_the_second_may_start() {
    let mut state = State::default();
    let second = StepSpec {
        depends_on: vec![0],
        ..step(2)
    };
    submit(&mut state, submission(vec![step(1), second]));
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(1));
    let first = started(&mut state, 0, 0, 1, "a");
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(0));
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(2));
    expect_that!(phase(&state), eq(JobPhase::Running));
}

#[googletest::test]
fn given_a_job_when_its_last_task_is_done_then_it_has_succeeded_and_counts_no_more() {
    let mut state = with_job(vec![step(1)]);
    expect_that!(state.open_jobs.get("h/q/"), some(eq(&1)));
    let first = started(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(phase(&state), eq(JobPhase::Succeeded));
    expect_that!(state.open_jobs.get("h/q/"), none());
}

#[googletest::test]
fn given_a_running_task_when_another_run_is_started_then_it_is_void() {
    let mut state = with_job(vec![step(1)]);
    start_runs(&mut state, vec![start(0, 0, 1, "a")]);
    let applied = start_runs(&mut state, vec![start(0, 0, 2, "b")]);
    expect_that!(applied.outcome, eq(Outcome::Void));
    expect_that!(state.workers.get("b"), none());
}

#[googletest::test]
fn given_a_done_task_when_it_is_started_again_then_it_is_void() {
    let mut state = with_job(vec![step(2)]);
    let first = started(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Done);
    expect_that!(
        start_runs(&mut state, vec![start(0, 0, 2, "a")]).outcome,
        eq(Outcome::Void)
    );
}

#[googletest::test]
fn given_failed_runs_when_the_last_attempt_fails_then_the_job_has_failed() {
    let mut state = with_job(vec![step(1)]);
    for run in 1..=2 {
        expect_that!(phase(&state), not(eq(JobPhase::Failed)));
        let started = started(&mut state, 0, 0, run, "a");
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
        start_runs(&mut state, vec![start(0, 0, 3, "a")]).outcome,
        eq(Outcome::Void)
    );
}

#[googletest::test]
fn given_lapsed_and_stopped_runs_when_they_complete_then_no_attempt_is_counted() {
    let mut state = with_job(vec![step(1)]);
    for run in 1..=6 {
        let started = started(&mut state, 0, 0, run, "a");
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
fn given_a_gang_when_one_member_is_done_then_all_are() {
    let mut state = with_job(vec![StepSpec {
        gang: true,
        ..step(3)
    }]);
    let runs: Vec<RunStart> = (0..3)
        .map(|index| start(0, index, 1, &format!("w{index}")))
        .collect();
    start_runs(&mut state, runs.clone());
    complete(&mut state, "w1", 1, &runs[1], CompletionKind::Done);
    expect_that!(phase(&state), eq(JobPhase::Succeeded));
}

#[googletest::test]
fn given_a_gang_when_two_members_of_one_run_fail_then_one_attempt_is_counted() {
    let mut state = with_job(vec![StepSpec {
        gang: true,
        ..step(2)
    }]);
    let runs: Vec<RunStart> = (0..2)
        .map(|index| start(0, index, 1, &format!("w{index}")))
        .collect();
    start_runs(&mut state, runs.clone());
    complete(&mut state, "w0", 1, &runs[0], CompletionKind::Failed);
    complete(&mut state, "w1", 1, &runs[1], CompletionKind::Failed);
    expect_that!(phase(&state), eq(JobPhase::Running));
    let counts: Vec<u32> = startable_units(&state.jobs[&JOB])
        .iter()
        .map(|startable_units| startable_units.count)
        .collect();
    expect_that!(counts, eq(&vec![2]));
}

#[googletest::test]
fn given_a_cancelled_job_when_its_run_ends_then_nothing_is_startable() {
    let mut state = with_job(vec![step(2)]);
    let first = started(&mut state, 0, 0, 1, "a");
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
fn given_recorded_completions_when_they_come_again_then_nothing_changes() {
    let mut state = with_job(vec![step(2)]);
    let first = started(&mut state, 0, 0, 1, "a");
    complete(&mut state, "a", 1, &first, CompletionKind::Failed);
    let repeated = complete(&mut state, "a", 1, &first, CompletionKind::Failed);
    expect_that!(repeated.outcome, eq(Outcome::Repeated));
    expect_that!(
        state.jobs[&JOB].task(&task(0, 0)).map(|task| task.failures),
        some(eq(1))
    );
}

#[googletest::test]
fn given_a_repeated_job_when_its_occurrences_are_opened_then_each_runs_once() {
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
            eq(Outcome::Void)
        );
        let mut started = start(0, 0, 1, "a");
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
fn given_a_long_running_job_when_a_task_completes_then_it_is_startable_again() {
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
        let started = started(&mut state, 0, 0, run, "a");
        complete(&mut state, "a", u64::from(run), &started, kind);
        expect_that!(startable_units(&state.jobs[&JOB]).len(), eq(1));
    }
    expect_that!(phase(&state), eq(JobPhase::Running));
}

#[googletest::test]
fn given_a_lost_worker_when_its_incarnation_has_ended_then_its_tasks_may_start_elsewhere() {
    let mut state = with_job(vec![step(2)]);
    start_runs(&mut state, vec![start(0, 0, 1, "a"), start(0, 1, 1, "a")]);
    let applied = apply(
        &mut state,
        Command::LoseIncarnation {
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
fn given_a_role_when_it_has_passed_on_then_commands_of_the_old_holder_are_void() {
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
        eq(Outcome::Void)
    );
    expect_that!(
        apply(&mut state, claim(FencingToken(1))).outcome,
        eq(Outcome::Done)
    );
    let previous = Some(RoleToken {
        role: role.clone(),
        token: FencingToken(1),
    });
    let command = Command::SubmitJob {
        submission: Box::new(submission(vec![step(1)])),
        runs: Vec::new(),
    };
    expect_that!(
        apply_as(&mut state, previous, command).outcome,
        eq(Outcome::Fenced)
    );
    expect_that!(state.jobs.len(), eq(0));
}

#[googletest::test]
fn given_configurations_when_two_build_on_the_same_version_then_one_wins_and_may_come_again() {
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
