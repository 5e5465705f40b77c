//! A stored data folder of a coordinator, which every later build must open and read to the same values.
//!
//! Its bytes must not change: a coordinator that starts with another build finds the folder that the build before has
//! written, and may go back to that build while the machines are brought to another one by one. The files are in
//! `golden/data_folder.hex`, one line for each, as `file: bytes`. A change of names in the code leaves them as they are;
//! should the bytes ever have to be others, another folder goes beside this one, which stays and is still read.
use googletest::prelude::*;
use magpiegap::StateOnDisk;
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_coordinator::{take_snapshot, Machine, RoleDescription};
use magpiegap_jobs::{GangFailures, State};
use magpiegap_protocol::{
    encode, AcceptedView, Ballot, ChainRecord, Command, CompletionKind, Entry, FailureDomainId,
    FencingToken, JobId, JobSpec, Location, LogIndex, LogPosition, Member, MemberLocation,
    ProposalId, ReplicaId, Resources, Role, RoleToken, RunCompletion, RunStart, StepSpec,
    Submission, TaskId, View, ViewNumber, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

const STORED: &str = include_str!("golden/data_folder.hex");

/// Entries in the first snapshot, in the second, and in the head of that; the rest is in its log.
const FIRST: usize = 6;
const SECOND: usize = 20;
const IN_HEAD: usize = 22;
/// Of the last entries so many are not known to be committed.
const OPEN: usize = 2;

/// Jobs, by the first digits of their names.
const LONG: JobId = JobId(0xa1a1_0000_0000_0001);
const REPEATED: JobId = JobId(0xa2a2_0000_0000_0002);
const DONE: JobId = JobId(0xa3a3_0000_0000_0003);
const FAILED: JobId = JobId(0xa4a4_0000_0000_0004);
const CANCELLED: JobId = JobId(0xa5a5_0000_0000_0005);
const LATE: JobId = JobId(0xa6a6_0000_0000_0006);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// The stored files: their names and bytes.
fn stored() -> Vec<(&'static str, &'static str)> {
    STORED
        .lines()
        .filter_map(|line| line.split_once(": "))
        .collect()
}

/// An empty folder that is this test's own.
fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("data-folder-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A folder with the stored files.
fn stored_folder(name: &str) -> PathBuf {
    let folder = empty_folder(name);
    for (file, hex) in stored() {
        std::fs::write(folder.join(file), bytes(hex)).unwrap();
    }
    folder
}

fn member(number: u32) -> Member {
    Member {
        address: 0x0a01_000f + number,
        disk: 0xd15c_0000_0000_0000 + u64::from(number),
    }
}

fn replica(number: u32) -> ReplicaId {
    ReplicaId {
        member: member(number),
        incarnation: 0xb007_0000 + u64::from(number),
    }
}

fn view(number: u64) -> View {
    let place = |zone, region| Location {
        zone: FailureDomainId::of(zone),
        region: FailureDomainId::of(region),
    };
    View {
        number: ViewNumber(number),
        voters: vec![member(0), member(1), member(2)],
        chain: vec![replica(1), replica(0)],
        history: vec![
            ChainRecord {
                number: ViewNumber(0),
                chain: Vec::new(),
            },
            ChainRecord {
                number: ViewNumber(number - 1),
                chain: vec![replica(0), replica(1), replica(2)],
            },
        ],
        locations: vec![
            MemberLocation {
                member: member(0),
                location: place("east-1", "east"),
            },
            MemberLocation {
                member: member(1),
                location: place("west-1", "west"),
            },
        ],
    }
}

fn submission(job: JobId, queue: &str, steps: Vec<StepSpec>) -> Submission {
    Submission {
        job,
        queue: queue.to_owned(),
        service: "desk".to_owned(),
        priority: 2,
        max_attempts: 1,
        stretch: 2.5,
        target_latency_ms: 4500,
        submitted_ms: WallMillis(1_700_000_000_500),
        spec: JobSpec {
            spec: format!("text of {job}"),
            steps,
            ..JobSpec::default()
        },
    }
}

/// A step of one task, with nothing else asked for.
fn plain_step() -> StepSpec {
    StepSpec {
        count: 1,
        estimated_ms: 700,
        ..StepSpec::default()
    }
}

/// A job with all that steps can ask for.
fn long_job() -> Submission {
    let first = StepSpec {
        count: 3,
        resources: Resources {
            cpu: 500,
            memory_mb: 256,
            gpu: 1,
        },
        estimated_ms: 900,
        checkpoints: true,
        requirements: vec!["a".to_owned(), "b".to_owned()],
        affinity: Some("r1-3".to_owned()),
        anti_affinity: 2,
        allow_duplicate: true,
        ..StepSpec::default()
    };
    let gang = StepSpec {
        count: 2,
        resources: Resources {
            cpu: 2000,
            memory_mb: 1024,
            gpu: 0,
        },
        estimated_ms: 7000,
        depends_on: vec![0],
        gang: true,
        rack_local: true,
        ..StepSpec::default()
    };
    Submission {
        max_attempts: 3,
        ..submission(LONG, "h/q/", vec![first, gang])
    }
}

fn repeated_job() -> Submission {
    let mut repeated = submission(REPEATED, "h/batch/", vec![plain_step()]);
    repeated.spec.long_running = true;
    repeated.spec.repeat_count = 3;
    repeated.spec.start_at_ms = WallMillis(1_700_000_001_000);
    repeated.spec.interval_ms = 60_000;
    repeated
}

fn task(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

fn run(task: TaskId, run: u32, incarnation: &str, checkpoint: &str) -> RunStart {
    RunStart {
        task,
        run,
        incarnation: incarnation.to_owned(),
        checkpoint: checkpoint.to_owned(),
    }
}

fn end(task: TaskId, run: u32, kind: CompletionKind, checkpoint: &str) -> RunCompletion {
    RunCompletion {
        task,
        run,
        kind,
        checkpoint: checkpoint.to_owned(),
    }
}

fn ends(incarnation: &str, acknowledged_completion: u64, ends: Vec<RunCompletion>) -> Command {
    Command::RecordCompletions {
        incarnation: incarnation.to_owned(),
        acknowledged_completion,
        completions: ends,
    }
}

fn submit(submission: Submission, runs: Vec<RunStart>) -> Command {
    Command::SubmitJob {
        submission: Box::new(submission),
        runs,
    }
}

fn configuration(base: u64, version: u64, change: &[u8]) -> Command {
    let body = format!(
        r#"{{"version":{version},"routes":[{{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":5000,"service":"desk"}}],"services":[{{"name":"desk"}}]}}"#
    );
    Command::ReplaceConfiguration {
        base,
        version,
        body: body.into_bytes(),
        change: change.to_vec(),
    }
}

fn claim(role: Role, number: u32, expected: u64) -> Command {
    Command::ClaimRole {
        role,
        holder: replica(number),
        expected: FencingToken(expected),
    }
}

fn desk() -> Role {
    Role::Scheduler("desk".to_owned())
}

/// What is in the snapshots.
#[expect(
    clippy::too_many_lines,
    reason = "a table of commands, one of each kind"
)]
fn earlier_commands() -> Vec<Command> {
    let runs = (0..3).map(|index| {
        run(
            task(LONG, 0, index),
            1,
            ["w-1", "w-1", "w-2"][index as usize],
            "",
        )
    });
    let one = |job| vec![run(task(job, 0, 0), 1, "w-3", "")];
    let plain = |job| submission(job, "h/q/", vec![plain_step()]);
    vec![
        configuration(0, 5, b""),
        claim(Role::PlatformReader, 2, 0),
        claim(desk(), 1, 0),
        submit(long_job(), runs.collect()),
        submit(repeated_job(), Vec::new()),
        ends(
            "w-1",
            3,
            vec![
                end(task(LONG, 0, 0), 1, CompletionKind::Done, "c-1"),
                end(task(LONG, 0, 1), 1, CompletionKind::Failed, "c-2"),
            ],
        ),
        // Here the first snapshot ends.
        Command::StartRuns {
            runs: vec![run(task(LONG, 0, 1), 2, "w-2", "c-2")],
        },
        Command::OpenOccurrence {
            job: REPEATED,
            occurrence: 0,
        },
        submit(plain(DONE), one(DONE)),
        ends(
            "w-3",
            1,
            vec![end(task(DONE, 0, 0), 1, CompletionKind::Done, "")],
        ),
        submit(plain(FAILED), one(FAILED)),
        ends(
            "w-3",
            2,
            vec![end(task(FAILED, 0, 0), 1, CompletionKind::Failed, "")],
        ),
        submit(plain(CANCELLED), one(CANCELLED)),
        Command::CancelJob { job: CANCELLED },
        Command::LoseRuns {
            runs: vec![run(task(LONG, 0, 2), 1, "w-2", "c-3")],
        },
        ends(
            "w-2",
            7,
            vec![end(
                task(LONG, 0, 1),
                2,
                CompletionKind::LeaseExpired,
                "c-4",
            )],
        ),
        Command::StartRuns {
            runs: vec![
                run(task(LONG, 1, 0), 1, "w-1", ""),
                run(task(LONG, 1, 1), 1, "w-2", ""),
                run(task(LONG, 0, 2), 2, "w-4", "c-3"),
                run(task(LONG, 0, 2), 3, "w-5", "c-3"),
            ],
        },
        ends(
            "w-1",
            4,
            vec![end(task(LONG, 1, 0), 1, CompletionKind::Failed, "")],
        ),
        ends(
            "w-2",
            8,
            vec![end(task(LONG, 1, 1), 1, CompletionKind::GangEnded, "")],
        ),
        Command::StartRuns {
            runs: vec![run(task(REPEATED, 0, 0), 1, "w-6", "")],
        },
        // Here the second snapshot ends.
    ]
}

/// What came after the second snapshot: each command at least once.
fn later_commands() -> Vec<Command> {
    vec![
        Command::Noop,
        configuration(5, 6, b"what leads from 5 to 6"),
        claim(Role::PlatformReader, 0, 1),
        submit(
            submission(LATE, "h/late/", vec![plain_step()]),
            vec![run(task(LATE, 0, 0), 1, "w-7", "")],
        ),
        Command::OpenOccurrence {
            job: REPEATED,
            occurrence: 1,
        },
        Command::StartRuns {
            runs: vec![
                run(task(LONG, 1, 0), 2, "w-1", ""),
                run(task(LONG, 1, 1), 2, "w-2", ""),
                run(task(LONG, 0, 1), 3, "w-8", "c-4"),
            ],
        },
        ends(
            "w-1",
            9,
            vec![
                end(task(LONG, 1, 0), 2, CompletionKind::GangTimedOut, ""),
                end(task(LONG, 1, 0), 1, CompletionKind::Stopped, ""),
            ],
        ),
        Command::LoseRuns {
            runs: vec![run(task(LONG, 0, 1), 3, "w-8", "c-5")],
        },
        Command::LoseIncarnation {
            incarnation: "w-4".to_owned(),
            ended: true,
        },
        Command::LoseIncarnation {
            incarnation: "w-6".to_owned(),
            ended: false,
        },
        Command::ForgetJobs { jobs: vec![DONE] },
        Command::CancelJob { job: LATE },
        // From here on nothing is known to be committed.
        Command::CancelJob { job: LONG },
        Command::ForgetJobs {
            jobs: vec![FAILED, CANCELLED],
        },
    ]
}

/// All entries of the log. Commands of schedulers carry the token of their role.
fn entries() -> Vec<Entry> {
    let commands = earlier_commands().into_iter().chain(later_commands());
    let numbered = commands.zip(1_u64..).map(|(command, index)| Entry {
        position: LogPosition {
            view: ViewNumber(6 + index / 10),
            index: LogIndex(index),
        },
        proposal: ProposalId {
            origin: replica((index % 3) as u32),
            sequence: 100 + index,
        },
        role_token: match command {
            Command::StartRuns { .. }
            | Command::RecordCompletions { .. }
            | Command::LoseRuns { .. } => Some(RoleToken {
                role: desk(),
                token: FencingToken(1),
            }),
            Command::LoseIncarnation { .. } => Some(RoleToken {
                role: Role::PlatformReader,
                token: FencingToken(2),
            }),
            _ => None,
        },
        command,
        wall_ms: WallMillis(1_700_000_002_000 + index),
    });
    numbered.collect()
}

/// The state after these entries.
fn state_after(entries: &[Entry]) -> State {
    let mut state = State::default();
    for entry in entries {
        state.apply(entry);
    }
    state
}

/// A snapshot of the state after `applied` entries, in which the entries up to `known` are too.
fn snapshot(entries: &[Entry], applied: usize, known: usize) -> DurableState {
    let state = state_after(&entries[..applied]);
    let mut snapshot = DurableState::empty(
        member(0).disk,
        Some(ViewNumber(7)),
        Vec::new(),
        take_snapshot(&state),
    );
    snapshot.agreement.current = view(8);
    snapshot.agreement.promised = Some(Ballot {
        round: 4,
        proposer: member(1).address,
    });
    snapshot.agreement.accepted = Some(AcceptedView {
        ballot: Ballot {
            round: 3,
            proposer: member(2).address,
        },
        view: view(9),
    });
    snapshot.entries = entries[applied..known].to_vec();
    snapshot.committed = LogIndex(applied as u64);
    snapshot
}

/// Writes a folder as a coordinator does: two snapshots, each with a log after it.
fn write_folder(folder: &Path) {
    let entries = entries();
    let (mut store, _) = Store::open(FolderDirectory::new(folder).unwrap()).unwrap();
    store
        .checkpoint(snapshot(&entries, FIRST, FIRST).chunks())
        .unwrap();
    let between = DurableRecord::Entries(entries[FIRST..SECOND].to_vec());
    store
        .append(&[
            encode(&between),
            encode(&DurableRecord::Committed(LogIndex(SECOND as u64))),
        ])
        .unwrap();
    let second = snapshot(&entries, SECOND, IN_HEAD);
    store.checkpoint(second.chunks()).unwrap();
    let mut agreement = second.agreement;
    agreement.current = view(9);
    agreement.accepted = None;
    let records = [
        DurableRecord::Agreement(Box::new(agreement)),
        DurableRecord::Entries(entries[IN_HEAD..].to_vec()),
        DurableRecord::Synchronized(ViewNumber(9)),
        DurableRecord::Committed(LogIndex((entries.len() - OPEN) as u64)),
    ];
    store
        .append(&records.map(|record| encode(&record)))
        .unwrap();
}

fn counts(of: &[(&str, usize)]) -> BTreeMap<String, usize> {
    of.iter()
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect()
}

#[googletest::test]
fn a_coordinators_folder_keeps_its_bytes() {
    let folder = empty_folder("written");
    write_folder(&folder);
    let mut names: Vec<String> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort_unstable();
    expect_that!(names, eq(&["log-0", "log-1", "slot-0", "slot-1"]));
    let expected: Vec<&str> = stored().iter().map(|(file, _)| *file).collect();
    expect_that!(names, eq(&expected));
    for (file, expected) in stored() {
        expect_that!(
            hex(&std::fs::read(folder.join(file)).unwrap()),
            eq(expected),
            "{file}"
        );
    }
}

#[googletest::test]
fn a_stored_folder_is_shown_with_the_same_values() {
    let shown = StateOnDisk::read(&stored_folder("shown")).unwrap();
    let role = |role: &str, holder: &str, token| RoleDescription {
        role: role.to_owned(),
        holder: holder.to_owned(),
        token,
    };
    let meant = StateOnDisk {
        disk: "d15c000000000000".to_owned(),
        starts: 0,
        view: 9,
        chain: vec!["10.1.0.16#0001".to_owned(), "10.1.0.15#0000".to_owned()],
        voters: vec![
            "10.1.0.15#0000".to_owned(),
            "10.1.0.16#0001".to_owned(),
            "10.1.0.17#0002".to_owned(),
        ],
        complete_up_to_view: Some(9),
        records: 4,
        applied_entry: 32,
        entries_after: 2,
        configuration: 6,
        roles: vec![
            role("platform-reader", "10.1.0.15", 2),
            role("scheduler desk", "10.1.0.16", 1),
        ],
        jobs: BTreeMap::from([
            ("h/batch/".to_owned(), counts(&[("running", 1)])),
            ("h/late/".to_owned(), counts(&[("cancelled", 1)])),
            (
                "h/q/".to_owned(),
                counts(&[("cancelled", 1), ("failed", 1), ("running", 1)]),
            ),
        ]),
        runs: counts(&[("w-2", 1), ("w-3", 1), ("w-5", 1), ("w-7", 1)]),
        contradictions: Vec::new(),
    };
    expect_that!(shown, eq(&meant));
}

#[googletest::test]
fn a_stored_folder_gives_the_complete_state_and_all_entries() {
    let entries = entries();
    let directory = FolderDirectory::new(&stored_folder("whole")).unwrap();
    let (_, recovered) = Store::open(directory).unwrap();
    let read = DurableState::recover(recovered.snapshot.unwrap(), &recovered.records).unwrap();
    let state = Machine::recover(&read).unwrap().state;
    expect_that!(state, eq(&state_after(&entries[..SECOND])));
    expect_that!(read.entries, eq(&entries[SECOND..]));
    expect_that!(read.disk, eq(member(0).disk));
    expect_that!(read.agreement.current, eq(&view(9)));
    expect_that!(
        read.agreement.promised,
        some(eq(Ballot {
            round: 4,
            proposer: member(1).address
        }))
    );
    expect_that!(read.agreement.accepted, none());
    expect_that!(read.synchronized, some(eq(ViewNumber(9))));
    expect_that!(read.applied, eq(entries[SECOND - 1].position));
    expect_that!(read.committed, eq(LogIndex(32)));
}

/// The snapshot before the newest one is what a coordinator goes back to when the newest was never finished.
#[googletest::test]
fn the_stored_snapshot_before_the_newest_gives_the_same_state_once_its_log_is_applied() {
    let folder = stored_folder("before");
    std::fs::write(folder.join("slot-0"), []).unwrap();
    std::fs::write(folder.join("log-0"), []).unwrap();
    let (_, recovered) = Store::open(FolderDirectory::new(&folder).unwrap()).unwrap();
    let read = DurableState::recover(recovered.snapshot.unwrap(), &recovered.records).unwrap();
    let mut state = Machine::recover(&read).unwrap().state;
    expect_that!(state, eq(&state_after(&entries()[..FIRST])));
    expect_that!(
        read.agreement.accepted,
        some(eq(&AcceptedView {
            ballot: Ballot {
                round: 3,
                proposer: member(2).address
            },
            view: view(9)
        }))
    );
    read.entries
        .iter()
        .for_each(|entry| drop(state.apply(entry)));
    expect_that!(state, eq(&state_after(&entries()[..SECOND])));
    expect_that!(read.committed, eq(LogIndex(20)));
}

/// The state in the stored folder has something of each kind, so that the comparisons above are of all of them.
#[googletest::test]
fn the_state_that_is_stored_has_something_of_each_kind() {
    let state = state_after(&entries()[..SECOND]);
    let mut phases: Vec<&str> = state.jobs.values().map(|job| job.phase.as_str()).collect();
    phases.sort_unstable();
    expect_that!(
        phases,
        eq(&["cancelled", "failed", "running", "running", "succeeded"])
    );
    let steps = &state.jobs[&LONG].occurrences[&0].steps;
    let failures = GangFailures {
        count: 1,
        last_run: 1,
    };
    expect_that!(steps[1].gang_failures, eq(failures));
    expect_that!(steps[0].done, eq(1));
    let tasks = &steps[0].tasks;
    expect_that!(
        (tasks[1].failures, tasks[1].checkpoint.as_str()),
        eq((1, "c-4"))
    );
    expect_that!(tasks[2].active_runs.len(), eq(2));
    expect_that!(state.inconsistencies().len(), eq(0));
}
