//! Sample records of every type. Each field has a distinct value, so that swapped fields change the encoding.
use magpiegap_jobs::*;
use magpiegap_protocol::*;
use magpiegap_protocol::{FencingToken, LogIndex, ViewNumber, WallMillis};

pub(crate) fn replica(number: u32) -> ReplicaId {
    let member = Member {
        address: 0x0a00_0000 + number,
        disk: 0xd15c_0000 + u64::from(number),
    };
    ReplicaId {
        member,
        incarnation: 0xb007_0000_0000_0000 + u64::from(number),
    }
}

pub(crate) fn task(job: u64) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 2,
        step: 3,
        index: 4,
    }
}

pub(crate) fn active_run() -> ActiveRun {
    ActiveRun {
        run: 5,
        incarnation: "w-17/3".to_owned(),
        checkpoint: "third".to_owned(),
    }
}

pub(crate) fn task_state() -> TaskState {
    TaskState {
        done: true,
        last_run: 6,
        failures: 7,
        checkpoint: "second".to_owned(),
        active_runs: vec![active_run()],
    }
}

pub(crate) fn step_state() -> StepState {
    StepState {
        tasks: vec![task_state(), TaskState::default()],
        done: 8,
        gang_failures: GangFailures {
            count: 9,
            last_run: 10,
        },
    }
}

pub(crate) fn occurrence_state() -> OccurrenceState {
    OccurrenceState {
        steps: vec![step_state(), StepState::default()],
    }
}

pub(crate) fn submission(job: u64) -> Submission {
    let step = StepSpec {
        count: 11,
        estimated_ms: 45_000,
        checkpoints: true,
        ..StepSpec::default()
    };
    Submission {
        job: JobId(job),
        queue: "films.example/render/".to_owned(),
        service: "render".to_owned(),
        priority: 12,
        max_attempts: 13,
        stretch: 1.75,
        target_latency_ms: 2500,
        submitted_ms: WallMillis(1_700_000_000_456),
        spec: JobSpec {
            spec: "frames".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        },
    }
}

pub(crate) fn job(job: u64, phase: JobPhase) -> Job {
    Job {
        submission: submission(job),
        phase,
        occurrences: [(14, occurrence_state()), (300, OccurrenceState::default())].into(),
        next_occurrence: 301,
        occurrences_done: 15,
        completed_ms: WallMillis(1_700_000_000_999),
    }
}

pub(crate) fn configuration() -> ConfigurationState {
    ConfigurationState {
        version: 16,
        body: b"{\"version\":16}".to_vec(),
        fingerprints: [(14, 0xfeed_beef), (16, 0x0123_4567_89ab_cdef)].into(),
        encoded_change: vec![0, 200, 7],
    }
}

pub(crate) fn role_state(number: u32) -> RoleState {
    RoleState {
        holder: replica(number),
        token: FencingToken(17 + u64::from(number)),
    }
}

pub(crate) fn worker(ended: bool) -> WorkerRecord {
    WorkerRecord {
        acknowledged_completion: 18,
        runs: [(task(1), 19), (task(2), 20)].into(),
        ended,
    }
}

/// A state with one job in each phase.
pub(crate) fn state() -> State {
    let phases = [
        JobPhase::Pending,
        JobPhase::Running,
        JobPhase::Succeeded,
        JobPhase::Failed,
        JobPhase::Cancelled,
    ];
    let jobs = (1_u64..).zip(phases);
    State {
        position: LogPosition {
            view: ViewNumber(21),
            index: LogIndex(70_001),
        },
        configuration: configuration(),
        roles: [
            (Role::PlatformReader, role_state(1)),
            (Role::Scheduler("render".to_owned()), role_state(2)),
        ]
        .into(),
        jobs: jobs
            .map(|(id, phase)| (JobId(id), Shared::new(job(id, phase))))
            .collect(),
        workers: [
            ("w-17/3".to_owned(), worker(false)),
            ("w-18/1".to_owned(), worker(true)),
        ]
        .into(),
        open_jobs: [
            ("films.example/render/".to_owned(), 22),
            ("a.example/b/".to_owned(), 23),
        ]
        .into(),
        // Not stored.
        service_jobs: ServiceJobs::default(),
    }
}

/// The sample state as it is rebuilt from stored bytes.
pub(crate) fn rebuilt_state() -> State {
    let stored = state();
    State {
        service_jobs: ServiceJobs::of(&stored.jobs),
        ..stored
    }
}

pub(crate) fn service() -> Service {
    Service {
        name: "render".to_owned(),
        health_path: "/healthy".to_owned(),
        max_connections: 24,
        rejects_excess_tasks: true,
    }
}

pub(crate) fn limits() -> Limits {
    Limits {
        max_body_bytes: 100_000,
        max_header_bytes: 9000,
        idle_timeout_ms: 25_000,
    }
}

pub(crate) fn route() -> Route {
    Route {
        name: "films".to_owned(),
        hostname: "films.example".to_owned(),
        path_prefix: "/render/".to_owned(),
        timeout_ms: 3000,
        target_latency_ms: 250,
        priority: 26,
        service: "render".to_owned(),
        max_attempts: 27,
        stretch: 1.25,
    }
}
