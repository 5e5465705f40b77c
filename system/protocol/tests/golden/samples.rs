//! Sample values of all types. Fields have distinct values, so that swapped fields are detected.
use magpiegap_protocol::*;
use magpiegap_protocol::{FencingToken, LogIndex, ViewNumber, WallMillis};

pub(crate) fn member(number: u32) -> Member {
    Member {
        address: 0x0a00_0000 + number,
        disk: 0xd15c_0000 + u64::from(number),
    }
}

pub(crate) fn replica(number: u32) -> ReplicaId {
    ReplicaId {
        member: member(number),
        incarnation: 0xb007_0000_0000_0000 + u64::from(number),
    }
}

pub(crate) fn task_id() -> TaskId {
    TaskId {
        job: JobId(0x5c0e_7a21_d94b_36f8),
        occurrence: 2,
        step: 3,
        index: 417,
    }
}

pub(crate) fn scheduler() -> Role {
    Role::Scheduler("render".to_owned())
}

pub(crate) fn role_token() -> RoleToken {
    RoleToken {
        role: scheduler(),
        token: FencingToken(31),
    }
}

pub(crate) fn log_position() -> LogPosition {
    LogPosition {
        view: ViewNumber(12),
        index: LogIndex(70_001),
    }
}

pub(crate) fn proposal_id() -> ProposalId {
    ProposalId {
        origin: replica(4),
        sequence: 260,
    }
}

pub(crate) fn entry(command: Command) -> Entry {
    Entry {
        position: log_position(),
        proposal: proposal_id(),
        role_token: Some(role_token()),
        command,
        wall_ms: WallMillis(1_700_000_000_123),
    }
}

pub(crate) fn run_completion(kind: CompletionKind) -> RunCompletion {
    RunCompletion {
        task: task_id(),
        run: 5,
        kind,
        checkpoint: "half-way".to_owned(),
    }
}

pub(crate) fn run_start() -> RunStart {
    RunStart {
        task: task_id(),
        run: 6,
        incarnation: "w-17/3".to_owned(),
        checkpoint: "third".to_owned(),
    }
}

pub(crate) fn resources() -> Resources {
    Resources {
        cpu: 1500,
        memory_mb: 70_000,
        gpu: 2,
    }
}

pub(crate) fn step() -> StepSpec {
    StepSpec {
        count: 9,
        resources: resources(),
        estimated_ms: 45_000,
        depends_on: vec![1, 300],
        checkpoints: true,
        gang: true,
        rack_local: true,
        requirements: vec!["ssd".to_owned(), "gen-4".to_owned()],
        affinity: Some("rack-8".to_owned()),
        anti_affinity: 7,
        allow_duplicate: true,
    }
}

pub(crate) fn job_spec() -> JobSpec {
    JobSpec {
        spec: "frames 1-24".to_owned(),
        steps: vec![
            step(),
            StepSpec {
                affinity: None,
                ..step()
            },
        ],
        long_running: true,
        repeat_count: 11,
        start_at_ms: WallMillis(1_700_000_100_000),
        interval_ms: 3_600_000,
    }
}

pub(crate) fn submission() -> Submission {
    Submission {
        job: JobId(0x0123_4567_89ab_cdef),
        queue: "films.example/render/".to_owned(),
        service: "render".to_owned(),
        priority: 8,
        max_attempts: 13,
        stretch: 1.75,
        target_latency_ms: 2500,
        submitted_ms: WallMillis(1_700_000_000_456),
        spec: job_spec(),
    }
}

pub(crate) fn location() -> Location {
    Location {
        zone: FailureDomainId(0xa1b2_c3d4_e5f6_0718),
        region: FailureDomainId(0x1122_3344),
    }
}

pub(crate) fn view() -> View {
    View {
        number: ViewNumber(14),
        voters: vec![member(1), member(2), member(3)],
        chain: vec![replica(2), replica(1)],
        history: vec![
            ChainRecord {
                number: ViewNumber(12),
                chain: vec![replica(3)],
            },
            ChainRecord {
                number: ViewNumber(13),
                chain: vec![replica(1), replica(3)],
            },
        ],
        locations: vec![MemberLocation {
            member: member(2),
            location: location(),
        }],
    }
}

pub(crate) fn peer_report() -> PeerReport {
    PeerReport {
        replica: replica(5),
        age_ms: 320,
        view: ViewNumber(15),
        serving: true,
        unfit: true,
        complete: true,
        committed: LogIndex(70_002),
        bidirectional: true,
        location: location(),
        echo: 123_456,
    }
}

pub(crate) fn heartbeat() -> Heartbeat {
    Heartbeat {
        view: ViewNumber(16),
        serving: true,
        unfit: true,
        reports: vec![peer_report()],
        wall_ms: WallMillis(1_700_000_000_789),
        committed: LogIndex(70_003),
        complete: true,
        location: location(),
        sent_at: 654_321,
        sealed: true,
        disk: None,
    }
}

/// Disk progress with a value in each field.
pub(crate) fn disk_progress() -> DiskProgress {
    DiskProgress {
        view: ViewNumber(15),
        promised: Some(Ballot {
            round: 70,
            proposer: 71,
        }),
        accepted: Some(Ballot {
            round: 69,
            proposer: 72,
        }),
        committed: log_position(),
    }
}

pub(crate) fn heartbeat_with_disk() -> Heartbeat {
    let report = DiskReport {
        starts: 73,
        at_start: DiskProgress::default(),
        confirmed: disk_progress(),
    };
    Heartbeat {
        disk: Some(Box::new(report)),
        ..heartbeat()
    }
}

pub(crate) fn stale_disk() -> StaleDisk {
    StaleDisk {
        replica: replica(11),
        noted: DiskNote {
            member: member(11),
            starts: 74,
            incarnation: 75,
            progress: disk_progress(),
        },
        view: ViewNumber(76),
        serving: true,
    }
}

pub(crate) fn promise() -> Promise {
    Promise {
        number: ViewNumber(17),
        ballot: Ballot {
            round: 18,
            proposer: 19,
        },
        accepted: Some(AcceptedView {
            ballot: Ballot {
                round: 20,
                proposer: 21,
            },
            view: view(),
        }),
        complete: Some(log_position()),
    }
}

pub(crate) fn worker() -> WorkerEntry {
    WorkerEntry {
        incarnation: "w-17/4".to_owned(),
        service: "render".to_owned(),
        address: "10.0.3.7:8080".to_owned(),
        zone: "north-1".to_owned(),
        capacity: resources(),
        labels: vec!["ssd".to_owned(), "rack-8".to_owned()],
        availability: Availability::Draining,
        remaining_ms: Some(90_000),
    }
}

pub(crate) fn worker_list() -> WorkerList {
    let ready = WorkerEntry {
        availability: Availability::Ready,
        remaining_ms: None,
        ..worker()
    };
    WorkerList {
        token: FencingToken(22),
        sequence: 23,
        workers: vec![worker(), ready],
    }
}

pub(crate) fn transfer_id() -> TransferId {
    TransferId {
        base: 24,
        version: 25,
        checksum: 0xfeed_beef_0123_4567,
    }
}

pub(crate) fn configuration_chunk() -> ConfigurationChunk {
    ConfigurationChunk {
        transfer: transfer_id(),
        length: 40_000,
        offset: 16_384,
        bytes: vec![1, 0, 255, 128],
    }
}

pub(crate) fn feed() -> Feed {
    Feed {
        view: ViewNumber(26),
        chain: vec![0x0a00_0001, 0x0a00_0002],
        roles: vec![
            RoleHolder {
                role: Role::PlatformReader,
                holder: replica(1),
                token: FencingToken(27),
            },
            RoleHolder {
                role: scheduler(),
                holder: replica(2),
                token: FencingToken(28),
            },
        ],
        configuration_version: 29,
        revision: 0x0102_0304_0506_0708,
        change: Some(configuration_chunk()),
    }
}

pub(crate) fn feed_poll() -> FeedPoll {
    FeedPoll {
        revision: 0x0102_0304_0506_0708,
        configuration_version: 29,
        wait_ms: 25_000,
    }
}

pub(crate) fn configuration_fetch() -> ConfigurationFetch {
    ConfigurationFetch {
        base: 24,
        transfer: Some(transfer_id()),
        offset: 32_768,
    }
}

pub(crate) fn job_filter() -> JobFilter {
    JobFilter {
        queue: Some("films.example/render/".to_owned()),
        phase: Some(JobPhase::Failed),
        after: Some(JobId(0x99)),
        limit: 500,
    }
}
