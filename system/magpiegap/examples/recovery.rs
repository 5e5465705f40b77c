//! Measures how long a coordinator takes to read its state at startup, depending on the number of jobs.
//!
//! `cargo run --profile system -p magpiegap --example recovery` writes states of several sizes to a temporary folder, in
//! the format of a coordinator, and reads each back several times. It prints the median time for each size.
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_coordinator::{take_snapshot, Machine};
use magpiegap_jobs::State;
use magpiegap_protocol::{
    encode, Command, Entry, JobId, JobSpec, LogIndex, LogPosition, Member, ProposalId, ReplicaId,
    RunStart, StepSpec, Submission, TaskId, ViewNumber, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::{error::Error, path::Path, time::Instant};

/// Numbers of jobs in the state.
const JOB_COUNTS: [u64; 4] = [10, 100, 1_000, 10_000];
/// One of this many jobs is only in the log, not in the snapshot.
const LOG_ONLY_INTERVAL: u64 = 10;
/// Number of reads of each state; the median is printed.
const REPETITIONS: usize = 5;
/// Number of steps of a job.
const STEPS: u32 = 4;
/// Number of tasks of a step.
const TASKS: u32 = 5;
/// Length of a job's specification, in bytes.
const SPEC_BYTES: usize = 1_000;
/// Number of workers on which the first tasks run.
const WORKERS: u64 = 400;

fn entry(index: u64, command: Command) -> Entry {
    let origin = ReplicaId {
        member: Member {
            address: 1,
            disk: 0,
        },
        incarnation: 1,
    };
    Entry {
        position: LogPosition {
            view: ViewNumber(1),
            index: LogIndex(index),
        },
        proposal: ProposalId {
            origin,
            sequence: index,
        },
        role_token: None,
        command,
        wall_ms: WallMillis(1_700_000_000_000),
    }
}

/// Submits a job whose first task is started at once.
fn submit(number: u64) -> Command {
    let step = |position: u32| StepSpec {
        count: TASKS,
        estimated_ms: 1000,
        depends_on: position.checked_sub(1).into_iter().collect(),
        ..StepSpec::default()
    };
    let submission = Submission {
        job: JobId(number),
        queue: "h/q/".to_owned(),
        service: "s".to_owned(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(1_700_000_000_000),
        spec: JobSpec {
            spec: "x".repeat(SPEC_BYTES),
            steps: (0..STEPS).map(step).collect(),
            ..JobSpec::default()
        },
    };
    let first = RunStart {
        task: TaskId {
            job: JobId(number),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        incarnation: format!("i-{:08x}", number % WORKERS),
        checkpoint: String::new(),
    };
    Command::SubmitJob {
        submission: Box::new(submission),
        runs: vec![first],
    }
}

/// Writes a snapshot and a log. Returns their total length in bytes.
fn write(folder: &Path, jobs: u64) -> Result<usize, Box<dyn Error>> {
    let mut state = State::default();
    let log_only = jobs / LOG_ONLY_INTERVAL;
    for number in 1..=jobs - log_only {
        state.apply(&entry(number, submit(number)));
    }
    let member = Member {
        address: 1,
        disk: 0,
    };
    let mut snapshot =
        DurableState::empty(0, Some(ViewNumber(1)), vec![member], take_snapshot(&state));
    snapshot.committed = LogIndex(jobs);
    let (mut store, _) = Store::open(FolderDirectory::new(folder)?)?;
    store.checkpoint(snapshot.chunks())?;
    let mut length = snapshot.chunks().map(|chunk| chunk.len()).sum();
    for number in jobs - log_only + 1..=jobs {
        let record = encode(&DurableRecord::Entries(vec![entry(number, submit(number))]));
        length += record.len();
        store.append(&[record])?;
    }
    Ok(length)
}

/// Reads the snapshot and applies the log entries after it, as a coordinator does.
fn read(folder: &Path) -> Result<State, Box<dyn Error>> {
    let (_, recovered) = Store::open(FolderDirectory::new(folder)?)?;
    let snapshot =
        DurableState::recover(recovered.snapshot.unwrap_or_default(), &recovered.records)?;
    let mut state = Machine::recover(&snapshot)?.state;
    for entry in &snapshot.entries {
        state.apply(entry);
    }
    Ok(state)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("{:>8} {:>12} {:>10}", "jobs", "kB on disk", "ms to read");
    for jobs in JOB_COUNTS {
        let folder =
            std::env::temp_dir().join(format!("magpiegap-recovery-{}-{jobs}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let bytes = write(&folder, jobs)?;
        let mut times = Vec::with_capacity(REPETITIONS);
        for _ in 0..REPETITIONS {
            let started_at = Instant::now();
            let state = read(&folder)?;
            times.push(started_at.elapsed());
            if state.jobs.len() as u64 != jobs {
                return Err(format!("read {} jobs, expected {jobs}", state.jobs.len()).into());
            }
        }
        std::fs::remove_dir_all(&folder)?;
        times.sort_unstable();
        println!(
            "{jobs:>8} {:>12} {:>10.2}",
            bytes / 1000,
            times[REPETITIONS / 2].as_secs_f64() * 1000.0
        );
    }
    Ok(())
}
