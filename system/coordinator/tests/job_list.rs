//! Filters, pagination and task counts of job lists.
use googletest::prelude::*;
use magpiegap_coordinator::JobList;
use magpiegap_jobs::State;
use magpiegap_protocol::{
    Command, Entry, JobFilter, JobId, JobPhase, JobSpec, LogPosition, Member, ProposalId,
    ReplicaId, StepSpec, Submission, ViewNumber, WallMillis,
};

fn apply(state: &mut State, command: Command) {
    let index = state.position.index + 1;
    let origin = ReplicaId {
        member: Member {
            address: 1,
            disk: 0,
        },
        incarnation: 1,
    };
    state.apply(&Entry {
        position: LogPosition {
            view: ViewNumber(1),
            index,
        },
        proposal: ProposalId {
            origin,
            sequence: index.0,
        },
        role_token: None,
        command,
        wall_ms: WallMillis(1000 + index.0),
    });
}

/// A state with ten jobs. Every third job belongs to queue `h/b/`, the others to `h/a/`. Job 4 is cancelled.
fn state_with_ten_jobs() -> State {
    let mut state = State::default();
    for number in 1..=10 {
        let queue = if number % 3 == 0 { "h/b/" } else { "h/a/" };
        let steps = vec![StepSpec {
            count: 2,
            ..StepSpec::default()
        }];
        let submission = Submission {
            job: JobId(number),
            queue: queue.to_owned(),
            service: "s".to_owned(),
            priority: 1,
            max_attempts: 2,
            stretch: 2.0,
            target_latency_ms: 100,
            submitted_ms: WallMillis(number),
            spec: JobSpec {
                steps,
                ..JobSpec::default()
            },
        };
        apply(
            &mut state,
            Command::SubmitJob {
                submission: Box::new(submission),
                runs: Vec::new(),
            },
        );
    }
    apply(&mut state, Command::CancelJob { job: JobId(4) });
    state
}

fn job_ids(list: &JobList) -> Vec<u64> {
    list.jobs
        .iter()
        .filter_map(|row| JobId::parse(&row.job))
        .map(|job| job.0)
        .collect()
}

#[googletest::test]
fn filters_select_jobs_by_queue_and_phase() {
    let state = state_with_ten_jobs();
    let of_queue = JobFilter {
        queue: Some("h/b/".to_owned()),
        limit: 100,
        ..JobFilter::default()
    };
    expect_that!(
        job_ids(&JobList::of(&state, &of_queue)),
        elements_are![eq(&3), eq(&6), eq(&9)]
    );
    let cancelled = JobFilter {
        phase: Some(JobPhase::Cancelled),
        limit: 100,
        ..JobFilter::default()
    };
    let list = JobList::of(&state, &cancelled);
    expect_that!(job_ids(&list), elements_are![eq(&4)]);
    expect_that!(list.jobs[0].state, eq("cancelled"));
    expect_that!(list.entry, eq(11));
}

#[googletest::test]
fn pages_list_every_job_exactly_once() {
    let state = state_with_ten_jobs();
    let mut filter = JobFilter {
        limit: 4,
        ..JobFilter::default()
    };
    let mut found = Vec::new();
    for _ in 0..5 {
        let list = JobList::of(&state, &filter);
        found.extend(job_ids(&list));
        match list.next {
            Some(next) => filter.after = JobId::parse(&next),
            None => break,
        }
    }
    expect_that!(found, eq(&(1..=10).collect::<Vec<u64>>()));
}

#[googletest::test]
fn tasks_of_a_pending_job_are_counted() {
    let list = JobList::of(
        &state_with_ten_jobs(),
        &JobFilter {
            limit: 1,
            ..JobFilter::default()
        },
    );
    expect_that!(
        (list.jobs[0].tasks, list.jobs[0].done, list.jobs[0].running),
        eq((2, 0, 0))
    );
    expect_that!(list.next, some(eq("0000000000000001")));
}
