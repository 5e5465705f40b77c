//! The commands in the stored log.
use crate::content::*;
use magpiegap_protocol::{
    Command, CompletionKind, FencingToken, JobId, JobSpec, Resources, Role, RunCompletion,
    RunStart, StepSpec, Submission, TaskId, WallMillis,
};

/// The jobs in the log.
pub(crate) const LONG: JobId = JobId(0xa1a1_0000_0000_0001);

pub(crate) const REPEATED: JobId = JobId(0xa2a2_0000_0000_0002);

pub(crate) const DONE: JobId = JobId(0xa3a3_0000_0000_0003);

pub(crate) const FAILED: JobId = JobId(0xa4a4_0000_0000_0004);

pub(crate) const CANCELLED: JobId = JobId(0xa5a5_0000_0000_0005);

pub(crate) const LATE: JobId = JobId(0xa6a6_0000_0000_0006);

pub(crate) fn submission(job: JobId, queue: &str, steps: Vec<StepSpec>) -> Submission {
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

/// A step of one task without further requirements.
pub(crate) fn plain_step() -> StepSpec {
    StepSpec {
        count: 1,
        estimated_ms: 700,
        ..StepSpec::default()
    }
}

/// A job whose steps use every field.
pub(crate) fn long_job() -> Submission {
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

pub(crate) fn repeated_job() -> Submission {
    let mut repeated = submission(REPEATED, "h/batch/", vec![plain_step()]);
    repeated.spec.long_running = true;
    repeated.spec.repeat_count = 3;
    repeated.spec.start_at_ms = WallMillis(1_700_000_001_000);
    repeated.spec.interval_ms = 60_000;
    repeated
}

pub(crate) fn task(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn run(task: TaskId, run: u32, incarnation: &str, checkpoint: &str) -> RunStart {
    RunStart {
        task,
        run,
        incarnation: incarnation.to_owned(),
        checkpoint: checkpoint.to_owned(),
    }
}

pub(crate) fn completion(
    task: TaskId,
    run: u32,
    kind: CompletionKind,
    checkpoint: &str,
) -> RunCompletion {
    RunCompletion {
        task,
        run,
        kind,
        checkpoint: checkpoint.to_owned(),
    }
}

pub(crate) fn record_completions(
    incarnation: &str,
    acknowledged_completion: u64,
    completions: Vec<RunCompletion>,
) -> Command {
    Command::RecordCompletions {
        incarnation: incarnation.to_owned(),
        acknowledged_completion,
        completions,
    }
}

pub(crate) fn submit(submission: Submission, runs: Vec<RunStart>) -> Command {
    Command::SubmitJob {
        submission: Box::new(submission),
        runs,
    }
}

pub(crate) fn configuration(base: u64, version: u64, change: &[u8]) -> Command {
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

pub(crate) fn claim(role: Role, number: u32, expected: u64) -> Command {
    Command::ClaimRole {
        role,
        holder: replica(number),
        expected: FencingToken(expected),
    }
}

pub(crate) fn desk_role() -> Role {
    Role::Scheduler("desk".to_owned())
}

/// The commands whose effects are in the snapshots.
#[expect(
    clippy::too_many_lines,
    reason = "a table of commands, one of each kind"
)]
pub(crate) fn commands_in_snapshots() -> Vec<Command> {
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
        claim(desk_role(), 1, 0),
        submit(long_job(), runs.collect()),
        submit(repeated_job(), Vec::new()),
        record_completions(
            "w-1",
            3,
            vec![
                completion(task(LONG, 0, 0), 1, CompletionKind::Done, "c-1"),
                completion(task(LONG, 0, 1), 1, CompletionKind::Failed, "c-2"),
            ],
        ),
        // The first snapshot contains the commands up to here.
        Command::StartRuns {
            runs: vec![run(task(LONG, 0, 1), 2, "w-2", "c-2")],
        },
        Command::OpenOccurrence {
            job: REPEATED,
            occurrence: 0,
        },
        submit(plain(DONE), one(DONE)),
        record_completions(
            "w-3",
            1,
            vec![completion(task(DONE, 0, 0), 1, CompletionKind::Done, "")],
        ),
        submit(plain(FAILED), one(FAILED)),
        record_completions(
            "w-3",
            2,
            vec![completion(
                task(FAILED, 0, 0),
                1,
                CompletionKind::Failed,
                "",
            )],
        ),
        submit(plain(CANCELLED), one(CANCELLED)),
        Command::CancelJob { job: CANCELLED },
        Command::MarkRunsLost {
            runs: vec![run(task(LONG, 0, 2), 1, "w-2", "c-3")],
        },
        record_completions(
            "w-2",
            7,
            vec![completion(
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
        record_completions(
            "w-1",
            4,
            vec![completion(task(LONG, 1, 0), 1, CompletionKind::Failed, "")],
        ),
        record_completions(
            "w-2",
            8,
            vec![completion(
                task(LONG, 1, 1),
                1,
                CompletionKind::GangEnded,
                "",
            )],
        ),
        Command::StartRuns {
            runs: vec![run(task(REPEATED, 0, 0), 1, "w-6", "")],
        },
        // The second snapshot contains the commands up to here.
    ]
}

/// The commands after the second snapshot; every kind of command occurs at least once.
pub(crate) fn commands_after_snapshots() -> Vec<Command> {
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
        record_completions(
            "w-1",
            9,
            vec![
                completion(task(LONG, 1, 0), 2, CompletionKind::GangTimedOut, ""),
                completion(task(LONG, 1, 0), 1, CompletionKind::Stopped, ""),
            ],
        ),
        Command::MarkRunsLost {
            runs: vec![run(task(LONG, 0, 1), 3, "w-8", "c-5")],
        },
        Command::MarkIncarnationLost {
            incarnation: "w-4".to_owned(),
            ended: true,
        },
        Command::MarkIncarnationLost {
            incarnation: "w-6".to_owned(),
            ended: false,
        },
        Command::RemoveJobs { jobs: vec![DONE] },
        Command::CancelJob { job: LATE },
        // The commands from here on are not known to be committed.
        Command::CancelJob { job: LONG },
        Command::RemoveJobs {
            jobs: vec![FAILED, CANCELLED],
        },
    ]
}
