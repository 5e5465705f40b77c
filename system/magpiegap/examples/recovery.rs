//! How long a coordinator takes to read its state at the start, against the number of jobs kept.
//!
//! `cargo run --profile system -p magpiegap --example recovery` writes states as a coordinator does, into a folder for
//! temporary files, and reads each back several times. It prints a line for each size.
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_coordinator::{take_snapshot, Machine};
use magpiegap_jobs::State;
use magpiegap_protocol::{
    encode, Command, Entry, JobId, JobSpec, LogIndex, LogPosition, Member, ProposalId, ReplicaId,
    RunStart, StepSpec, Submission, TaskId, ViewNumber, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::{error::Error, path::Path, time::Instant};

/// Jobs kept.
const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];
/// Every so many jobs one is in the log only, not in the snapshot.
const IN_LOG_EVERY: u64 = 10;
/// Of so many times that a state is read the middle one counts.
const TIMES: usize = 5;
/// Steps of a job, and tasks of a step.
const STEPS: u32 = 4;
const TASKS: u32 = 5;
/// Length of the text of a job, in bytes.
const SPEC_BYTES: usize = 1_000;
/// Workers on which the first tasks run.
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

/// A job whose first task runs.
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

/// Writes a snapshot and a log. Returns their bytes.
fn write(folder: &Path, jobs: u64) -> Result<usize, Box<dyn Error>> {
    let mut state = State::default();
    let in_log = jobs / IN_LOG_EVERY;
    for number in 1..=jobs - in_log {
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
    for number in jobs - in_log + 1..=jobs {
        let record = encode(&DurableRecord::Entries(vec![entry(number, submit(number))]));
        length += record.len();
        store.append(&[record])?;
    }
    Ok(length)
}

/// Reads all, and applies what the log has beyond the snapshot, as a coordinator does.
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
    for jobs in SIZES {
        let folder =
            std::env::temp_dir().join(format!("magpiegap-recovery-{}-{jobs}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let bytes = write(&folder, jobs)?;
        let mut times = Vec::with_capacity(TIMES);
        for _ in 0..TIMES {
            let began = Instant::now();
            let state = read(&folder)?;
            times.push(began.elapsed());
            if state.jobs.len() as u64 != jobs {
                return Err(format!("{} jobs were read, not {jobs}", state.jobs.len()).into());
            }
        }
        std::fs::remove_dir_all(&folder)?;
        times.sort_unstable();
        println!(
            "{jobs:>8} {:>12} {:>10.2}",
            bytes / 1000,
            times[TIMES / 2].as_secs_f64() * 1000.0
        );
    }
    Ok(())
}
