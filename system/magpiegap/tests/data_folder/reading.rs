//! Writing the folder gives the stored bytes, and reading the stored bytes gives the same values.
use crate::commands::*;
use crate::content::*;
use crate::files::*;
use googletest::prelude::*;
use magpiegap::StateOnDisk;
use magpiegap_control::DurableState;
use magpiegap_coordinator::{Machine, RoleDescription};
use magpiegap_jobs::GangFailures;
use magpiegap_protocol::{AcceptedView, Ballot, LogIndex, ViewNumber};
use magpiegap_storage::{FolderDirectory, Store};
use std::collections::BTreeMap;

fn counts(of: &[(&str, usize)]) -> BTreeMap<String, usize> {
    of.iter()
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect()
}

#[googletest::test]
fn a_written_folder_has_the_stored_bytes() {
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
fn stored_folder_is_described_with_the_same_values() {
    let shown = StateOnDisk::read(&stored_folder("shown")).unwrap();
    let role = |role: &str, holder: &str, token| RoleDescription {
        role: role.to_owned(),
        holder: holder.to_owned(),
        token,
    };
    let expected = StateOnDisk {
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
    expect_that!(shown, eq(&expected));
}

#[googletest::test]
fn a_stored_folder_gives_complete_state_and_entries() {
    let entries = entries();
    let directory = FolderDirectory::new(&stored_folder("complete")).unwrap();
    let (_, recovered) = Store::open(directory).unwrap();
    let read = DurableState::recover(recovered.snapshot.unwrap(), &recovered.records).unwrap();
    let state = Machine::recover(&read).unwrap().state;
    expect_that!(state, eq(&state_after(&entries[..SECOND_SNAPSHOT])));
    expect_that!(read.entries, eq(&entries[SECOND_SNAPSHOT..]));
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
    expect_that!(read.complete_up_to, some(eq(ViewNumber(9))));
    expect_that!(read.applied, eq(entries[SECOND_SNAPSHOT - 1].position));
    expect_that!(read.committed, eq(LogIndex(32)));
}

/// A coordinator falls back to the previous snapshot when writing the newest one was interrupted.
#[googletest::test]
fn previous_stored_snapshot_and_its_log_are_recovered() {
    let folder = stored_folder("previous");
    std::fs::write(folder.join("slot-0"), []).unwrap();
    std::fs::write(folder.join("log-0"), []).unwrap();
    let (_, recovered) = Store::open(FolderDirectory::new(&folder).unwrap()).unwrap();
    let read = DurableState::recover(recovered.snapshot.unwrap(), &recovered.records).unwrap();
    let mut state = Machine::recover(&read).unwrap().state;
    expect_that!(state, eq(&state_after(&entries()[..FIRST_SNAPSHOT])));
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
    expect_that!(state, eq(&state_after(&entries()[..SECOND_SNAPSHOT])));
    expect_that!(read.committed, eq(LogIndex(20)));
}

/// Guards against gaps in the comparisons above: the stored state contains running jobs, jobs that ended in each way, a
/// failed gang, checkpoints and duplicate runs.
#[googletest::test]
fn the_stored_state_covers_every_kind_of_value() {
    let state = state_after(&entries()[..SECOND_SNAPSHOT]);
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
