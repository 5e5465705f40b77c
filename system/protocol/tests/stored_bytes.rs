//! Compatibility of encodings: stored bytes remain decodable, and new encodings can be decoded by the previous version.
//!
//! Entries, views and snapshots are stored on the disks of the core, and coordinators, agents and proxies of both
//! versions communicate during a rolling update. So these bytes must not change when types are renamed.
mod golden;
#[path = "golden/samples.rs"]
mod samples;

use golden::Stored;
use googletest::prelude::*;
use magpiegap_protocol::*;
use magpiegap_protocol::{FencingToken, LogIndex, ViewNumber};
use samples::*;

#[googletest::test]
fn every_command_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/commands.hex"));
    stored.keeps("noop", &Command::Noop);
    let (body, change) = (b"{\"version\":33}".to_vec(), vec![0, 200, 7]);
    let replace = Command::ReplaceConfiguration {
        base: 32,
        version: 33,
        body: body.clone(),
        change,
    };
    stored.keeps("replace-configuration", &replace);
    let without_change = Command::ReplaceConfiguration {
        base: 32,
        version: 33,
        body,
        change: vec![],
    };
    stored.keeps("replace-configuration-change-unknown", &without_change);
    stored.reads("replace-configuration-before-changes", &without_change);
    stored.keeps(
        "claim-role-platform-reader",
        &Command::ClaimRole {
            role: Role::PlatformReader,
            holder: replica(6),
            expected: FencingToken(34),
        },
    );
    stored.keeps(
        "claim-role-scheduler",
        &Command::ClaimRole {
            role: scheduler(),
            holder: replica(7),
            expected: FencingToken(35),
        },
    );
    let submit = Command::SubmitJob {
        submission: Box::new(submission()),
        runs: vec![run_start()],
    };
    stored.keeps("submit-job", &submit);
    stored.keeps("cancel-job", &Command::CancelJob { job: JobId(36) });
    stored.keeps(
        "start-runs",
        &Command::StartRuns {
            runs: vec![run_start()],
        },
    );
    let completions = every_completion_kind().map(run_completion).to_vec();
    stored.keeps(
        "record-completions",
        &Command::RecordCompletions {
            incarnation: "w-17/5".to_owned(),
            acknowledged_completion: 37,
            completions,
        },
    );
    stored.keeps(
        "mark-runs-lost",
        &Command::MarkRunsLost {
            runs: vec![run_start(), run_start()],
        },
    );
    stored.keeps(
        "mark-incarnation-lost",
        &Command::MarkIncarnationLost {
            incarnation: "w-17/6".to_owned(),
            ended: true,
        },
    );
    stored.keeps(
        "mark-incarnation-lost-lease-expired",
        &Command::MarkIncarnationLost {
            incarnation: "w-17/6".to_owned(),
            ended: false,
        },
    );
    stored.keeps(
        "open-occurrence",
        &Command::OpenOccurrence {
            job: JobId(38),
            occurrence: 39,
        },
    );
    stored.keeps(
        "remove-jobs",
        &Command::RemoveJobs {
            jobs: vec![JobId(40), JobId(u64::MAX)],
        },
    );
    expect_that!(stored.faults(), is_empty());
}

fn every_completion_kind() -> [CompletionKind; 6] {
    [
        CompletionKind::Done,
        CompletionKind::Failed,
        CompletionKind::Stopped,
        CompletionKind::LeaseExpired,
        CompletionKind::GangEnded,
        CompletionKind::GangTimedOut,
    ]
}

#[googletest::test]
fn every_log_entry_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/entries.hex"));
    stored.keeps(
        "with-role-token",
        &entry(Command::CancelJob { job: JobId(41) }),
    );
    stored.keeps(
        "without-role-token",
        &Entry {
            role_token: None,
            ..entry(Command::Noop)
        },
    );
    stored.keeps("log-position", &log_position());
    stored.keeps("proposal-id", &proposal_id());
    stored.keeps("role-token", &role_token());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn every_peer_message_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/peer_messages.hex"));
    let entries = vec![
        entry(Command::Noop),
        entry(Command::CancelJob { job: JobId(42) }),
    ];
    let messages = [
        ("heartbeat", PeerMessage::Heartbeat(heartbeat())),
        (
            "prepare",
            PeerMessage::Prepare {
                number: ViewNumber(43),
                ballot: Ballot {
                    round: 44,
                    proposer: 45,
                },
            },
        ),
        ("promise", PeerMessage::Promise(promise())),
        (
            "reject",
            PeerMessage::Reject {
                number: ViewNumber(46),
                promised: Ballot {
                    round: 47,
                    proposer: 48,
                },
            },
        ),
        (
            "accept",
            PeerMessage::Accept {
                ballot: Ballot {
                    round: 49,
                    proposer: 50,
                },
                view: view(),
            },
        ),
        (
            "accepted",
            PeerMessage::Accepted {
                number: ViewNumber(51),
                ballot: Ballot {
                    round: 52,
                    proposer: 53,
                },
            },
        ),
        ("decided", PeerMessage::Decided(view())),
        (
            "append",
            PeerMessage::Append {
                view: ViewNumber(54),
                after: LogIndex(55),
                entries: entries.clone(),
                durable: LogIndex(56),
            },
        ),
        (
            "committed",
            PeerMessage::Committed {
                view: ViewNumber(57),
                index: LogIndex(58),
            },
        ),
        (
            "request-entries",
            PeerMessage::RequestEntries {
                view: ViewNumber(59),
                last: log_position(),
            },
        ),
        (
            "missing-entries",
            PeerMessage::MissingEntries {
                view: ViewNumber(60),
                after: LogIndex(61),
                entries: entries.clone(),
                more: true,
            },
        ),
        (
            "missing-entries-last",
            PeerMessage::MissingEntries {
                view: ViewNumber(60),
                after: LogIndex(61),
                entries: entries.clone(),
                more: false,
            },
        ),
        (
            "propose",
            PeerMessage::Propose {
                view: ViewNumber(62),
                proposal: proposal_id(),
                role_token: Some(role_token()),
                command: Command::Noop,
            },
        ),
        (
            "propose-without-role-token",
            PeerMessage::Propose {
                view: ViewNumber(62),
                proposal: proposal_id(),
                role_token: None,
                command: Command::Noop,
            },
        ),
        ("worker-list", PeerMessage::WorkerList(worker_list())),
        (
            "snapshot-offer",
            PeerMessage::SnapshotOffer {
                view: ViewNumber(63),
                position: log_position(),
                chunks: 64,
            },
        ),
        (
            "request-snapshot-chunk",
            PeerMessage::RequestSnapshotChunk {
                view: ViewNumber(65),
                position: log_position(),
                number: 66,
            },
        ),
        (
            "snapshot-chunk",
            PeerMessage::SnapshotChunk {
                view: ViewNumber(67),
                position: log_position(),
                number: 68,
                checksum: 0xcafe_0123_4567_89ab,
                bytes: vec![9, 0, 254],
            },
        ),
        ("stale-disk", PeerMessage::StaleDisk(Box::new(stale_disk()))),
    ];
    for (name, message) in &messages {
        stored.keeps(name, message);
    }
    let messages = messages
        .into_iter()
        .map(|(_, message)| message)
        .take(2)
        .collect();
    stored.keeps(
        "envelope",
        &Envelope {
            from: replica(8),
            messages,
        },
    );
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn every_element_of_peer_messages_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/peer_message_elements.hex"));
    stored.keeps("heartbeat", &heartbeat());
    stored.keeps("heartbeat-with-disk", &heartbeat_with_disk());
    stored.keeps("stale-disk", &stale_disk());
    stored.keeps("peer-report", &peer_report());
    stored.keeps("promise", &promise());
    stored.keeps(
        "promise-without-accepted-view",
        &Promise {
            accepted: None,
            complete: None,
            ..promise()
        },
    );
    stored.keeps("view", &view());
    stored.keeps(
        "chain-record",
        &ChainRecord {
            number: ViewNumber(69),
            chain: vec![replica(9)],
        },
    );
    stored.keeps(
        "member-location",
        &MemberLocation {
            member: member(10),
            location: location(),
        },
    );
    stored.keeps("worker-list", &worker_list());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn encodings_without_later_fields_are_decoded() {
    let mut stored = Stored::read(include_str!("golden/older_encodings.hex"));
    let first_report = PeerReport {
        complete: false,
        committed: LogIndex(0),
        bidirectional: false,
        location: Location::default(),
        echo: 0,
        ..peer_report()
    };
    stored.reads("peer-report-of-five-fields", &first_report);
    let first_heartbeat = Heartbeat {
        complete: false,
        location: Location::default(),
        sent_at: 0,
        sealed: false,
        ..heartbeat()
    };
    stored.reads("heartbeat-of-six-fields", &first_heartbeat);
    stored.reads(
        "view-without-locations",
        &View {
            locations: vec![],
            ..view()
        },
    );
    stored.reads(
        "missing-entries-without-more",
        &PeerMessage::MissingEntries {
            view: ViewNumber(60),
            after: LogIndex(61),
            entries: vec![entry(Command::Noop)],
            more: false,
        },
    );
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn every_request_to_a_coordinator_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/requests.hex"));
    let queue = "films.example/render/".to_owned();
    let requests = [
        ("submit", CoordinatorRequest::Submit(Box::new(submission()))),
        (
            "status",
            CoordinatorRequest::Status {
                queue: queue.clone(),
                job: JobId(70),
            },
        ),
        (
            "cancel",
            CoordinatorRequest::Cancel {
                queue: queue.clone(),
                job: JobId(71),
            },
        ),
        ("count", CoordinatorRequest::Count { queue }),
        ("poll", CoordinatorRequest::Poll(feed_poll())),
        (
            "replace-configuration",
            CoordinatorRequest::ReplaceConfiguration {
                base: 72,
                body: b"{\"version\":73}".to_vec(),
            },
        ),
        (
            "describe-configuration",
            CoordinatorRequest::DescribeConfiguration,
        ),
        ("describe", CoordinatorRequest::Describe),
        ("explain", CoordinatorRequest::Explain { job: JobId(74) }),
        ("list-jobs", CoordinatorRequest::ListJobs(job_filter())),
        (
            "list-all-jobs",
            CoordinatorRequest::ListJobs(JobFilter {
                limit: 75,
                ..JobFilter::default()
            }),
        ),
        (
            "fetch-configuration",
            CoordinatorRequest::FetchConfiguration(configuration_fetch()),
        ),
        (
            "fetch-configuration-without-transfer",
            CoordinatorRequest::FetchConfiguration(ConfigurationFetch {
                transfer: None,
                ..configuration_fetch()
            }),
        ),
    ];
    for (name, request) in &requests {
        stored.keeps(name, request);
    }
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn every_response_of_a_coordinator_keeps_its_bytes() {
    let mut stored = Stored::read(include_str!("golden/responses.hex"));
    let responses = [
        ("accepted", CoordinatorResponse::Accepted),
        ("no-capacity", CoordinatorResponse::NoCapacity),
        ("not-serving", CoordinatorResponse::NotServing),
        ("unknown", CoordinatorResponse::Unknown),
        ("no-such-job", CoordinatorResponse::NoSuchJob),
        ("job-id-taken", CoordinatorResponse::JobIdTaken),
        (
            "phase-pending",
            CoordinatorResponse::Phase(JobPhase::Pending),
        ),
        (
            "phase-running",
            CoordinatorResponse::Phase(JobPhase::Running),
        ),
        (
            "phase-succeeded",
            CoordinatorResponse::Phase(JobPhase::Succeeded),
        ),
        ("phase-failed", CoordinatorResponse::Phase(JobPhase::Failed)),
        (
            "phase-cancelled",
            CoordinatorResponse::Phase(JobPhase::Cancelled),
        ),
        ("count", CoordinatorResponse::Count(76_000)),
        ("feed", CoordinatorResponse::Feed(Box::new(feed()))),
        (
            "feed-without-change",
            CoordinatorResponse::Feed(Box::new(Feed {
                change: None,
                ..feed()
            })),
        ),
        (
            "configuration-accepted",
            CoordinatorResponse::ConfigurationAccepted,
        ),
        (
            "configuration-conflict",
            CoordinatorResponse::ConfigurationConflict,
        ),
        (
            "configuration-stale",
            CoordinatorResponse::ConfigurationStale,
        ),
        (
            "configuration",
            CoordinatorResponse::Configuration(b"{\"version\":77}".to_vec()),
        ),
        (
            "description",
            CoordinatorResponse::Description("{\"view\":78}".to_owned()),
        ),
        ("redirect", CoordinatorResponse::Redirect(0x0a00_000b)),
        (
            "configuration-chunk",
            CoordinatorResponse::ConfigurationChunk(Box::new(configuration_chunk())),
        ),
        (
            "configuration-invalid",
            CoordinatorResponse::ConfigurationInvalid("no routes".to_owned()),
        ),
    ];
    for (name, response) in &responses {
        stored.keeps(name, response);
    }
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn messages_to_agents_and_proxies_keep_their_bytes() {
    let mut stored = Stored::read(include_str!("golden/feeds.hex"));
    stored.keeps("feed", &feed());
    stored.keeps(
        "feed-without-change",
        &Feed {
            change: None,
            ..feed()
        },
    );
    stored.keeps("feed-poll", &feed_poll());
    stored.keeps(
        "role-holder",
        &RoleHolder {
            role: scheduler(),
            holder: replica(11),
            token: FencingToken(79),
        },
    );
    stored.keeps("transfer-id", &transfer_id());
    stored.keeps("configuration-fetch", &configuration_fetch());
    stored.keeps("configuration-chunk", &configuration_chunk());
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn identities_jobs_and_workers_keep_their_bytes() {
    let mut stored = Stored::read(include_str!("golden/common_types.hex"));
    stored.keeps("member", &member(12));
    stored.keeps("replica", &replica(13));
    stored.keeps("job-id", &JobId(0xfedc_ba98_7654_3210));
    stored.keeps("task-id", &task_id());
    stored.keeps("failure-domain", &FailureDomainId(0x0f1e_2d3c_4b5a_6978));
    stored.keeps(
        "failure-domain-of-name",
        &FailureDomainId::from_name("north-1"),
    );
    stored.keeps("location", &location());
    stored.keeps("role-platform-reader", &Role::PlatformReader);
    stored.keeps("role-scheduler", &scheduler());
    stored.keeps("completion-kinds", &every_completion_kind().to_vec());
    stored.keeps(
        "run-completion",
        &run_completion(CompletionKind::LeaseExpired),
    );
    stored.keeps("run-start", &run_start());
    stored.keeps("resources", &resources());
    stored.keeps("step", &step());
    stored.keeps(
        "step-without-affinity",
        &StepSpec {
            affinity: None,
            ..step()
        },
    );
    stored.keeps("job-spec", &job_spec());
    stored.keeps("submission", &submission());
    stored.keeps("job-filter", &job_filter());
    stored.keeps("worker-draining", &worker());
    let ready = WorkerEntry {
        availability: Availability::Ready,
        remaining_ms: None,
        ..worker()
    };
    stored.keeps("worker-ready", &ready);
    expect_that!(stored.faults(), is_empty());
}

/// Sets one flag at a time, because swapped flags with equal values would not be detected.
#[googletest::test]
fn each_flag_keeps_its_position() {
    let mut stored = Stored::read(include_str!("golden/flags.hex"));
    let step = StepSpec::default();
    stored.keeps(
        "step-checkpoints",
        &StepSpec {
            checkpoints: true,
            ..step.clone()
        },
    );
    stored.keeps(
        "step-gang",
        &StepSpec {
            gang: true,
            ..step.clone()
        },
    );
    stored.keeps(
        "step-rack-local",
        &StepSpec {
            rack_local: true,
            ..step.clone()
        },
    );
    stored.keeps(
        "step-allow-duplicate",
        &StepSpec {
            allow_duplicate: true,
            ..step
        },
    );
    let report = PeerReport {
        serving: false,
        unfit: false,
        complete: false,
        bidirectional: false,
        ..peer_report()
    };
    stored.keeps(
        "peer-report-serving",
        &PeerReport {
            serving: true,
            ..report
        },
    );
    stored.keeps(
        "peer-report-unfit",
        &PeerReport {
            unfit: true,
            ..report
        },
    );
    stored.keeps(
        "peer-report-complete",
        &PeerReport {
            complete: true,
            ..report
        },
    );
    stored.keeps(
        "peer-report-bidirectional",
        &PeerReport {
            bidirectional: true,
            ..report
        },
    );
    let heartbeat = Heartbeat {
        serving: false,
        unfit: false,
        reports: vec![],
        complete: false,
        sealed: false,
        ..heartbeat()
    };
    stored.keeps(
        "heartbeat-serving",
        &Heartbeat {
            serving: true,
            ..heartbeat.clone()
        },
    );
    stored.keeps(
        "heartbeat-unfit",
        &Heartbeat {
            unfit: true,
            ..heartbeat.clone()
        },
    );
    stored.keeps(
        "heartbeat-complete",
        &Heartbeat {
            complete: true,
            ..heartbeat.clone()
        },
    );
    stored.keeps(
        "heartbeat-sealed",
        &Heartbeat {
            sealed: true,
            ..heartbeat
        },
    );
    expect_that!(stored.faults(), is_empty());
}
