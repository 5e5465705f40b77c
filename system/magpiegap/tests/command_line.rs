//! Command-line parsing, and the commands that need no running cluster.
use googletest::prelude::*;
use magpiegap::{check_configuration, parser, tables, StateOnDisk};
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_coordinator::take_snapshot;
use magpiegap_coordinator::{ClusterDescription, JobList, JobRow};
use magpiegap_jobs::{RoleState, State};
use magpiegap_protocol::{
    encode, Command, Entry, FencingToken, LogIndex, LogPosition, Member, ProposalId, ReplicaId,
    Role, ViewNumber, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::path::{Path, PathBuf};

fn accepts(arguments: &[&str]) -> bool {
    parser().run_inner(arguments).is_ok()
}

#[googletest::test]
fn documented_commands_are_accepted() {
    expect_that!(accepts(&["proxy"]), eq(true));
    expect_that!(accepts(&["agent", "--settings", "a.toml"]), eq(true));
    expect_that!(accepts(&["coordinator"]), eq(true));
    expect_that!(
        accepts(&["settings", "check", "--settings", "a.toml"]),
        eq(true)
    );
    expect_that!(accepts(&["config", "check", "c.json"]), eq(true));
    expect_that!(
        accepts(&[
            "config",
            "apply",
            "--at",
            "127.0.0.1:1",
            "--base",
            "0",
            "c.json"
        ]),
        eq(true)
    );
    expect_that!(
        accepts(&["config", "describe", "--at", "127.0.0.1:1"]),
        eq(true)
    );
    expect_that!(
        accepts(&["cluster", "status", "--at", "127.0.0.1:1"]),
        eq(true)
    );
    expect_that!(
        accepts(&[
            "cluster",
            "explain",
            "--at",
            "127.0.0.1:1",
            "5c0e7a21d94b36f8"
        ]),
        eq(true)
    );
    expect_that!(
        accepts(&["cluster", "status", "--json", "--at", "127.0.0.1:1"]),
        eq(true)
    );
    expect_that!(accepts(&["state", "check", "/data"]), eq(true));
    expect_that!(accepts(&["state", "show", "--json", "/data"]), eq(true));
    expect_that!(accepts(&["job", "list", "--at", "127.0.0.1:1"]), eq(true));
    let filter = [
        "--queue",
        "h/q/",
        "--state",
        "running",
        "--after",
        "5c0e7a21d94b36f8",
        "--limit",
        "5",
    ];
    expect_that!(
        accepts(
            &[
                &["job", "list", "--json", "--at", "127.0.0.1:1"][..],
                &filter[..]
            ]
            .concat()
        ),
        eq(true)
    );
    let job = ["--at", "127.0.0.1:1", "--host", "h", "/q/5c0e7a21d94b36f8"];
    for verb in ["status", "cancel", "count"] {
        expect_that!(accepts(&[&["job", verb][..], &job[..]].concat()), eq(true));
    }
    expect_that!(
        accepts(&[&["job", "submit", "--file", "j.json"][..], &job[..]].concat()),
        eq(true)
    );
}

#[googletest::test]
fn invalid_command_lines_are_rejected() {
    for arguments in [
        &["dance"][..],
        &["config"],
        &["cluster", "status", "--at", "nowhere"],
        &["job", "status"],
    ] {
        expect_that!(accepts(arguments), eq(false));
    }
}

#[googletest::test]
fn checking_a_configuration_reports_content_or_fault() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("configuration.json");
    std::fs::write(
        &file,
        r#"{"version":3,"routes":[],"services":[{"name":"s"}]}"#,
    )
    .unwrap();
    expect_that!(
        check_configuration(&file).unwrap(),
        eq("version 3: 0 routes, 1 services")
    );
    std::fs::write(
        &file,
        r#"{"version":3,"routes":[{"name":"r"}],"services":[]}"#,
    )
    .unwrap();
    let fault = check_configuration(&file).unwrap_err().to_string();
    expect_that!(fault, contains_substring("routes[0].timeoutMs"));
}

#[googletest::test]
fn reading_a_missing_folder_fails_without_creating_it() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-state-here");
    expect_that!(
        StateOnDisk::read(&folder).unwrap_err().to_string(),
        ends_with("no state of a coordinator")
    );
    expect_that!(folder.exists(), eq(false));
}

/// Writes a state to a new folder in the format of a coordinator. The log holds two claims of a role, the first of them
/// committed.
fn write_state(name: &str, state: &State) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let member = Member {
        address: 0x0a01_000f,
        disk: 0,
    };
    let snapshot = DurableState::empty(0, Some(ViewNumber(0)), vec![member], take_snapshot(state));
    let (mut store, _) = Store::open(FolderDirectory::new(&folder).unwrap()).unwrap();
    store.checkpoint(snapshot.chunks()).unwrap();
    let holder = ReplicaId {
        member,
        incarnation: 1,
    };
    let claim = Command::ClaimRole {
        role: Role::PlatformReader,
        holder,
        expected: FencingToken(0),
    };
    let entry = |index| Entry {
        position: LogPosition {
            view: ViewNumber(1),
            index,
        },
        proposal: ProposalId {
            origin: holder,
            sequence: index.0,
        },
        role_token: None,
        command: claim.clone(),
        wall_ms: WallMillis(0),
    };
    let entries = DurableRecord::Entries(vec![entry(LogIndex(1)), entry(LogIndex(2))]);
    store
        .append(&[
            encode(&entries),
            encode(&DurableRecord::Committed(LogIndex(1))),
        ])
        .unwrap();
    folder
}

#[googletest::test]
fn a_consistent_state_shows_roles_and_voters() {
    let mut state = State::default();
    let holder = ReplicaId {
        member: Member {
            address: 0x0a01_000f,
            disk: 0,
        },
        incarnation: 1,
    };
    state.roles.insert(
        Role::Scheduler("desk".to_owned()),
        RoleState {
            holder,
            token: FencingToken(4),
        },
    );
    let shown = StateOnDisk::read(&write_state("state-shown", &state)).unwrap();
    expect_that!(shown.contradictions.len(), eq(0));
    expect_that!(shown.voters, elements_are![starts_with("10.1.0.15")]);
    expect_that!(
        shown.to_string(),
        contains_substring("scheduler desk held by 10.1.0.15 with token 4")
    );
    expect_that!(
        shown.to_string(),
        contains_substring("platform-reader held by 10.1.0.15 with token 1")
    );
    expect_that!((shown.applied_entry, shown.entries_after), eq((1, 1)));
    expect_that!(shown.summary(), contains_substring("0 contradictions"));
}

#[googletest::test]
fn contradictions_in_a_state_are_reported() {
    let mut state = State::default();
    state.open_jobs.insert("h/q/".to_owned(), 3);
    let shown = StateOnDisk::read(&write_state("state-contradicts", &state)).unwrap();
    expect_that!(
        shown.contradictions,
        elements_are![contains_substring("queue h/q/: 3 open jobs are kept, 0")]
    );
}

#[googletest::test]
fn columns_of_a_job_list_are_aligned() {
    let job_row = |job: &str, state: &str, tasks| JobRow {
        job: job.to_owned(),
        queue: "h/q/".to_owned(),
        state: state.to_owned(),
        tasks,
        done: 1,
        ..JobRow::default()
    };
    let jobs = vec![
        job_row("0000000000000001", "running", 12),
        job_row("0000000000000002", "succeeded", 0),
    ];
    let text = tables::jobs(&JobList {
        entry: 9,
        jobs,
        next: Some("0000000000000002".to_owned()),
    });
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(
        lines[1],
        eq("0000000000000001  running    0         1/12  0        h/q/")
    );
    expect_that!(
        lines[2],
        eq("0000000000000002  succeeded  0         -     0        h/q/")
    );
    expect_that!(lines[3], eq("there are more: --after 0000000000000002"));
}

#[googletest::test]
fn the_cluster_table_shows_the_chain() {
    let chain = vec!["10.1.0.15".to_owned(), "10.2.0.25".to_owned()];
    let text = tables::cluster(&ClusterDescription {
        view: 7,
        chain,
        ..ClusterDescription::default()
    });
    expect_that!(text, contains_substring("7: chain 10.1.0.15 > 10.2.0.25"));
    expect_that!(text, contains_substring("not in the chain"));
}
