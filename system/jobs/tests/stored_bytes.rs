//! A stored state is read as the same state, complete or in chunks.
//!
//! States are on the disks of the core, and pass between coordinators of different versions during a rolling update. So
//! these bytes must not change, whatever the types are called.
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
fn every_record_of_a_state_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/records.hex"));
    stored.keeps("active-run", &active_run());
    stored.keeps("task", &task_state());
    stored.keeps("task-untouched", &TaskState::default());
    stored.keeps("step", &step_state());
    stored.keeps("time", &occurrence_state());
    stored.keeps("job", &job(1, JobPhase::Running));
    stored.keeps("shared-job", &Shared::new(job(2, JobPhase::Failed)));
    stored.keeps("configuration", &configuration());
    let without_change = ConfigurationState {
        change: vec![],
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
fn every_element_of_a_configuration_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/configuration.hex"));
    stored.keeps("route", &route());
    stored.keeps("service", &service());
    stored.keeps(
        "service-without-guards",
        &Service {
            guards: false,
            ..service()
        },
    );
    stored.keeps("limits", &limits());
    stored.keeps("usual-limits", &Limits::default());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn a_complete_state_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/state.hex"));
    stored.keeps("state", &state());
    stored.keeps("empty-state", &State::default());
    expect_that!(stored.faults(), is_empty());
}

/// One more than fit into a chunk.
const JOBS: u64 = 129;

#[googletest::test]
fn the_chunks_of_a_snapshot_keep_their_bytes() {
    let mut stored = Stored::read(include_str!("golden/frozen.hex"));
    let small = state().snapshot();
    expect_that!(
        (small.chunks(), small.position()),
        eq((2, state().position))
    );
    // Each chunk is a state with some of the records.
    stored.keeps(
        "all-but-the-jobs",
        &State {
            jobs: Default::default(),
            ..state()
        },
    );
    stored.keeps(
        "the-jobs",
        &State {
            jobs: state().jobs,
            ..State::default()
        },
    );
    let chunks = stored_chunks().map(|chunk| hex(&chunk));
    expect_that!(chunks_of(&small), eq(&chunks.to_vec()));
    expect_that!(small.chunk(2), is_empty());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn a_state_is_rebuilt_from_the_stored_chunks() {
    let mut builder = SnapshotBuilder::default();
    for chunk in stored_chunks() {
        expect_that!(builder.add(&chunk), ok(anything()));
    }
    expect_that!(builder.finish(), some(eq(&state())));
    // A complete state counts as the only chunk.
    let mut stored = Stored::read(include_str!("golden/state.hex"));
    let mut builder = SnapshotBuilder::default();
    expect_that!(
        builder.add(&stored.bytes("state").unwrap_or_default()),
        ok(anything())
    );
    expect_that!(builder.finish(), some(eq(&state())));
}

#[googletest::test]
fn the_jobs_of_a_large_state_are_split_into_the_same_chunks() {
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

/// Pins the results of commands, not only the encoding of states.
#[googletest::test]
fn the_state_after_a_log_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/after_a_log.hex"));
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
        Command::LoseRuns {
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
    stored.keeps("state", &state);
    expect_that!(stored.faults(), is_empty());
}

fn chunks_of(snapshot: &JobsSnapshot) -> Vec<String> {
    (0..snapshot.chunks())
        .map(|number| hex(&snapshot.chunk(number)))
        .collect()
}

/// The chunks of the stored snapshot, in their order.
fn stored_chunks() -> [Vec<u8>; 2] {
    let mut stored = Stored::read(include_str!("golden/frozen.hex"));
    ["all-but-the-jobs", "the-jobs"].map(|name| stored.bytes(name).unwrap_or_default())
}
