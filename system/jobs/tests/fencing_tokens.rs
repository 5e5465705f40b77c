//! Fencing tokens of the replicated state: role claims, and entries proposed in a role.
mod common;

use common::job::{step, submission};
use common::*;
use googletest::prelude::*;
use magpiegap_jobs::{Outcome, RoleState, State};
use magpiegap_protocol::{Command, FencingToken, JobId, Role, RoleToken};

/// Current token of the role in these tests.
const CURRENT: FencingToken = FencingToken(3);

fn role() -> Role {
    Role::Scheduler("s".to_owned())
}

fn claim(role: &Role, expected: FencingToken) -> Command {
    Command::ClaimRole {
        role: role.clone(),
        holder: replica(),
        expected,
    }
}

/// A state in which the role has been claimed three times.
fn state_with_claimed_role() -> State {
    let mut state = State::default();
    for expected in 0..CURRENT.0 {
        apply(&mut state, claim(&role(), FencingToken(expected)));
    }
    state
}

#[googletest::test]
fn claim_requires_current_token_and_increments_it() {
    for (expected, outcome, token) in [
        (0, Outcome::NotApplicable, CURRENT),
        (2, Outcome::NotApplicable, CURRENT),
        (3, Outcome::Done, FencingToken(4)),
        (4, Outcome::NotApplicable, CURRENT),
        (u64::MAX, Outcome::NotApplicable, CURRENT),
    ] {
        let mut state = state_with_claimed_role();
        let applied = apply(&mut state, claim(&role(), FencingToken(expected)));
        expect_that!(applied.outcome, eq(outcome), "{expected}");
        expect_that!(state.fencing_token(&role()), eq(token), "{expected}");
    }
}

/// The token cannot be incremented any further, so that two holders would share it.
#[googletest::test]
fn claim_beyond_the_highest_token_is_not_applicable() {
    let highest = FencingToken(u64::MAX);
    let mut state = state_with_claimed_role();
    let role_state = RoleState {
        holder: replica(),
        token: highest,
    };
    state.roles.insert(role(), role_state);
    let applied = apply(&mut state, claim(&role(), highest));
    expect_that!(applied.outcome, eq(Outcome::NotApplicable));
    expect_that!(state.roles.get(&role()), some(eq(&role_state)));
}

#[googletest::test]
fn entries_require_the_current_token_or_none() {
    let token = |role: Role, token| {
        Some(RoleToken {
            role,
            token: FencingToken(token),
        })
    };
    let unclaimed = Role::Scheduler("other".to_owned());
    for (role_token, is_fenced) in [
        (token(role(), 0), true),
        (token(role(), 2), true),
        (token(role(), 3), false),
        (token(role(), 4), true),
        (token(role(), u64::MAX), true),
        (token(unclaimed.clone(), 3), true),
        (token(unclaimed, 0), false),
        (None, false),
    ] {
        for command in commands() {
            let mut state = state_with_claimed_role();
            let before = state.clone();
            let case = format!("{role_token:?} {command:?}");
            let applied = apply_as(&mut state, role_token.clone(), command);
            expect_that!(applied.outcome == Outcome::Fenced, eq(is_fenced), "{case}");
            if is_fenced {
                expect_that!(applied.changes, is_empty(), "{case}");
                expect_that!(state.roles, eq(&before.roles), "{case}");
                expect_that!(state.jobs.len(), eq(before.jobs.len()), "{case}");
                expect_that!(state.workers.len(), eq(before.workers.len()), "{case}");
            }
        }
    }
}

/// One command of each kind that schedulers propose.
fn commands() -> Vec<Command> {
    vec![
        Command::SubmitJob {
            submission: Box::new(submission(vec![step(1)])),
            runs: Vec::new(),
        },
        Command::CancelJob { job: JobId(1) },
        Command::StartRuns { runs: Vec::new() },
        Command::RecordCompletions {
            incarnation: "a".to_owned(),
            acknowledged_completion: 1,
            completions: Vec::new(),
        },
        Command::MarkRunsLost { runs: Vec::new() },
        Command::MarkIncarnationLost {
            incarnation: "a".to_owned(),
            ended: true,
        },
        Command::OpenOccurrence {
            job: JobId(1),
            occurrence: 0,
        },
        Command::RemoveJobs { jobs: Vec::new() },
    ]
}
