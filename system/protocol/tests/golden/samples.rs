//! Values with every field set to something of its own.
use magpiegap_protocol::*;

pub fn member(n: u32) -> Member {
    Member {
        address: 0x0a00_0000 + n,
        disk: 0xd15c_0000 + u64::from(n),
    }
}

pub fn replica(n: u32) -> Replica {
    Replica {
        member: member(n),
        boot: 0xb007_0000_0000_0000 + u64::from(n),
    }
}

pub fn task() -> TaskId {
    TaskId {
        job: JobId(0x5c0e_7a21_d94b_36f8),
        time: 2,
        step: 3,
        index: 417,
    }
}

pub fn scheduler() -> Role {
    Role::Scheduler("render".to_owned())
}

pub fn fence() -> Fence {
    Fence {
        role: scheduler(),
        token: 31,
    }
}

pub fn position() -> Position {
    Position {
        view: 12,
        index: 70_001,
    }
}

pub fn proposal() -> ProposalId {
    ProposalId {
        origin: replica(4),
        sequence: 260,
    }
}

pub fn entry(command: Command) -> Entry {
    Entry {
        position: position(),
        proposal: proposal(),
        fence: Some(fence()),
        command,
        wall_ms: 1_700_000_000_123,
    }
}

pub fn run_end(kind: EndKind) -> RunEnd {
    RunEnd {
        task: task(),
        run: 5,
        kind,
        checkpoint: "half-way".to_owned(),
    }
}

pub fn run_start() -> RunStart {
    RunStart {
        task: task(),
        run: 6,
        instance: "w-17/3".to_owned(),
        checkpoint: "third".to_owned(),
    }
}

pub fn resources() -> Resources {
    Resources {
        cpu: 1500,
        memory_mb: 70_000,
        gpu: 2,
    }
}

pub fn step() -> StepSpec {
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

pub fn job_spec() -> JobSpec {
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
        start_at_ms: 1_700_000_100_000,
        interval_ms: 3_600_000,
    }
}

pub fn submission() -> Submission {
    Submission {
        job: JobId(0x0123_4567_89ab_cdef),
        queue: "films.example/render/".to_owned(),
        service: "render".to_owned(),
        priority: 8,
        max_attempts: 13,
        stretch: 1.75,
        target_latency_ms: 2500,
        submitted_ms: 1_700_000_000_456,
        spec: job_spec(),
    }
}

pub fn location() -> Location {
    Location {
        zone: PlaceId(0xa1b2_c3d4_e5f6_0718),
        region: PlaceId(0x1122_3344),
    }
}

pub fn view() -> View {
    View {
        number: 14,
        voters: vec![member(1), member(2), member(3)],
        chain: vec![replica(2), replica(1)],
        history: vec![
            ChainRecord {
                number: 12,
                chain: vec![replica(3)],
            },
            ChainRecord {
                number: 13,
                chain: vec![replica(1), replica(3)],
            },
        ],
        locations: vec![MemberLocation {
            member: member(2),
            location: location(),
        }],
    }
}

pub fn report() -> PeerReport {
    PeerReport {
        replica: replica(5),
        age_ms: 320,
        view: 15,
        serving: true,
        unfit: true,
        complete: true,
        committed: 70_002,
        both_ways: true,
        location: location(),
        echo: 123_456,
    }
}

pub fn heartbeat() -> Heartbeat {
    Heartbeat {
        view: 16,
        serving: true,
        unfit: true,
        heard: vec![report()],
        wall_ms: 1_700_000_000_789,
        committed: 70_003,
        complete: true,
        location: location(),
        sent_at: 654_321,
        sealed: true,
    }
}

pub fn promise() -> Promise {
    Promise {
        number: 17,
        ballot: (18, 19),
        accepted: Some(((20, 21), view())),
        complete: Some(position()),
    }
}

pub fn worker() -> WorkerEntry {
    WorkerEntry {
        instance: "w-17/4".to_owned(),
        service: "render".to_owned(),
        address: "10.0.3.7:8080".to_owned(),
        zone: "north-1".to_owned(),
        capacity: resources(),
        labels: vec!["ssd".to_owned(), "rack-8".to_owned()],
        availability: Availability::Draining,
        remaining_ms: Some(90_000),
    }
}

pub fn platform_list() -> PlatformList {
    let ready = WorkerEntry {
        availability: Availability::Ready,
        remaining_ms: None,
        ..worker()
    };
    PlatformList {
        token: 22,
        sequence: 23,
        workers: vec![worker(), ready],
    }
}

pub fn transfer() -> TransferId {
    TransferId {
        base: 24,
        version: 25,
        checksum: 0xfeed_beef_0123_4567,
    }
}

pub fn part() -> ConfigurationPart {
    ConfigurationPart {
        transfer: transfer(),
        length: 40_000,
        offset: 16_384,
        bytes: vec![1, 0, 255, 128],
    }
}

pub fn feed() -> Feed {
    Feed {
        view: 26,
        chain: vec![0x0a00_0001, 0x0a00_0002],
        roles: vec![
            RoleHolder {
                role: Role::PlatformReader,
                holder: replica(1),
                token: 27,
            },
            RoleHolder {
                role: scheduler(),
                holder: replica(2),
                token: 28,
            },
        ],
        configuration_version: 29,
        revision: 0x0102_0304_0506_0708,
        change: Some(part()),
    }
}

pub fn poll() -> FeedPoll {
    FeedPoll {
        revision: 0x0102_0304_0506_0708,
        configuration_version: 29,
        wait_ms: 25_000,
    }
}

pub fn fetch() -> ConfigurationFetch {
    ConfigurationFetch {
        base: 24,
        transfer: Some(transfer()),
        offset: 32_768,
    }
}

pub fn filter() -> JobFilter {
    JobFilter {
        queue: Some("films.example/render/".to_owned()),
        phase: Some(JobPhase::Failed),
        after: Some(JobId(0x99)),
        limit: 500,
    }
}
