//! Compatibility of the encodings of states, snapshot chunks and configurations.
//!
//! States are stored on disk and transferred between coordinators of different versions during rolling updates. Their
//! encodings must not change when types or fields are renamed.
#[path = "../../protocol/tests/golden/mod.rs"]
mod golden;
#[path = "golden/samples.rs"]
mod samples;

use golden::{hex, Stored};
use googletest::prelude::*;
use magpiegap_jobs::*;
use magpiegap_protocol::{
    Command, Entry, JobId, JobPhase, LogIndex, LogPosition, ProposalId, RunStart, TaskId,
    ViewNumber, WallMillis,
};
use samples::*;

#[googletest::test]
fn records_keep_their_encoding() {
    let mut stored = Stored::read(include_str!("golden/records.hex"));
    stored.keeps("active-run", &active_run());
    stored.keeps("task", &task_state());
    stored.keeps("task-default", &TaskState::default());
    stored.keeps("step", &step_state());
    stored.keeps("occurrence", &occurrence_state());
    stored.keeps("job", &job(1, JobPhase::Running));
    stored.keeps("shared-job", &Shared::new(job(2, JobPhase::Failed)));
    stored.keeps("configuration", &configuration());
    let without_change = ConfigurationState {
        encoded_change: vec![],
        ..configuration()
    };
    stored.keeps("configuration-change-unknown", &without_change);
    stored.reads("configuration-before-changes", &without_change);
    stored.keeps("role", &role_state(3));
    stored.keeps("worker", &worker(false));
    stored.keeps("worker-ended", &worker(true));
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn configuration_elements_keep_their_encoding() {
    let mut stored = Stored::read(include_str!("golden/configuration.hex"));
    stored.keeps("route", &route());
    stored.keeps("service", &service());
    stored.keeps(
        "service-without-guards",
        &Service {
            rejects_excess_tasks: false,
            ..service()
        },
    );
    stored.keeps("limits", &limits());
    stored.keeps("default-limits", &Limits::default());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn complete_state_keeps_its_encoding() {
    let mut stored = Stored::read(include_str!("golden/state.hex"));
    stored.keeps("state", &state());
    stored.keeps("empty-state", &State::default());
    expect_that!(stored.faults(), is_empty());
}

/// One job more than fits into a chunk.
const JOBS: u64 = 129;

#[googletest::test]
fn snapshot_chunks_keep_their_encoding() {
    let mut stored = Stored::read(include_str!("golden/snapshot.hex"));
    let snapshot = state().snapshot();
    expect_that!(
        (snapshot.chunks(), snapshot.position()),
        eq((2, state().position))
    );
    // Each chunk is encoded as a state with a subset of the records.
    stored.keeps(
        "all-except-jobs",
        &State {
            jobs: Default::default(),
            ..state()
        },
    );
    stored.keeps(
        "jobs-only",
        &State {
            jobs: state().jobs,
            ..State::default()
        },
    );
    let chunks = stored_chunks().map(|chunk| hex(&chunk));
    expect_that!(chunks_of(&snapshot), eq(&chunks.to_vec()));
    expect_that!(snapshot.chunk(2), is_empty());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn state_is_rebuilt_from_stored_chunks() {
    let mut builder = SnapshotBuilder::default();
    for chunk in stored_chunks() {
        expect_that!(builder.add(&chunk), ok(anything()));
    }
    expect_that!(builder.finish(), some(eq(&rebuilt_state())));
    // A complete encoded state is accepted as a single chunk.
    let mut stored = Stored::read(include_str!("golden/state.hex"));
    let mut builder = SnapshotBuilder::default();
    expect_that!(
        builder.add(&stored.bytes("state").unwrap_or_default()),
        ok(anything())
    );
    expect_that!(builder.finish(), some(eq(&rebuilt_state())));
}

#[googletest::test]
fn large_state_is_split_at_same_jobs() {
    let mut large = state();
    large.jobs = (1..=JOBS)
        .map(|id| (JobId(id), Shared::new(Job::new(submission(id)))))
        .collect();
    let chunks = chunks_of(&large.snapshot());
    let jobs = |range: std::ops::RangeInclusive<u64>| {
        let jobs = large
            .jobs
            .range(JobId(*range.start())..=JobId(*range.end()));
        State {
            jobs: jobs.map(|(id, job)| (*id, job.clone())).collect(),
            ..State::default()
        }
    };
    let head = State {
        jobs: Default::default(),
        ..large.clone()
    };
    let expected = [head, jobs(1..=JOBS - 1), jobs(JOBS..=JOBS)];
    let expected: Vec<String> = expected
        .iter()
        .map(|chunk| hex(&magpiegap_protocol::encode(chunk)))
        .collect();
    expect_that!(chunks, eq(&expected));
}

/// Verifies the results of commands in addition to the encoding of states.
#[googletest::test]
fn state_after_commands_keeps_its_encoding() {
    let mut stored = Stored::read(include_str!("golden/after_commands.hex"));
    let mut state = State::default();
    let task = |index| TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index,
    };
    let run = |index| RunStart {
        task: task(index),
        run: 1,
        incarnation: "w-17/3".to_owned(),
        checkpoint: String::new(),
    };
    let commands = [
        Command::ReplaceConfiguration {
            base: 0,
            version: 16,
            body: b"{\"version\":16}".to_vec(),
            change: vec![0, 200, 7],
        },
        Command::SubmitJob {
            submission: Box::new(submission(1)),
            runs: vec![run(0), run(1)],
        },
        Command::MarkRunsLost {
            runs: vec![RunStart {
                checkpoint: "half-way".to_owned(),
                ..run(1)
            }],
        },
        Command::SubmitJob {
            submission: Box::new(submission(2)),
            runs: vec![],
        },
        Command::CancelJob { job: JobId(2) },
    ];
    for (index, command) in (1..).zip(commands) {
        let proposal = ProposalId {
            origin: replica(1),
            sequence: index,
        };
        let position = LogPosition {
            view: ViewNumber(1),
            index: LogIndex(index),
        };
        state.apply(&Entry {
            position,
            proposal,
            role_token: None,
            command,
            wall_ms: WallMillis(1000 + index),
        });
    }
    // The counts of jobs are derived and not stored.
    expect_that!(state.service_jobs, eq(&ServiceJobs::of(&state.jobs)));
    state.service_jobs = ServiceJobs::default();
    stored.keeps("state", &state);
    expect_that!(stored.faults(), is_empty());
}

fn chunks_of(snapshot: &JobsSnapshot) -> Vec<String> {
    (0..snapshot.chunks())
        .map(|number| hex(&snapshot.chunk(number)))
        .collect()
}

/// Returns the chunks of the stored snapshot in order.
fn stored_chunks() -> [Vec<u8>; 2] {
    let mut stored = Stored::read(include_str!("golden/snapshot.hex"));
    ["all-except-jobs", "jobs-only"].map(|name| stored.bytes(name).unwrap_or_default())
}
