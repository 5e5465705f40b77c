//! Compatibility of slots and logs with stored files: their bytes and file names.
//!
//! These must not change: a new build must read the files of the previous build, and a rolling update may be reverted
//! to it. `golden/files.hex` contains one line per file, `folder/file: bytes`. Renaming code must not change these
//! lines; a new version of the format gets additional folders.
use googletest::prelude::*;
use magpiegap_storage::{FileName, FolderDirectory, Recovered, Store};
use std::path::Path;
use tempfile::TempDir;

const STORED: &str = include_str!("golden/files.hex");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// Names and bytes of the files stored for a folder, in hexadecimal.
fn stored(folder: &str) -> Vec<(&'static str, &'static str)> {
    let of_folder = |line: &'static str| {
        line.strip_prefix(folder)?
            .strip_prefix('/')?
            .split_once(": ")
    };
    STORED.lines().filter_map(of_folder).collect()
}

/// Names and bytes of all files in a folder, in hexadecimal and sorted by name.
fn files(folder: &Path) -> Vec<(String, String)> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap());
    let mut files: Vec<(String, String)> = entries
        .map(|entry| {
            let name = entry.file_name().into_string().unwrap();
            (name, hex(&std::fs::read(entry.path()).unwrap()))
        })
        .collect();
    files.sort_unstable();
    files
}

fn open(folder: &TempDir) -> (Store<FolderDirectory>, Recovered) {
    Store::open(FolderDirectory::new(folder.path()).unwrap()).unwrap()
}

/// A temporary folder with the files stored under a name.
fn stored_folder(name: &str) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (file, hex) in stored(name) {
        std::fs::write(folder.path().join(file), bytes(hex)).unwrap();
    }
    folder
}

/// Expects that a folder contains exactly the files stored under a name, byte for byte.
fn expect_files(name: &str, folder: &TempDir) {
    let written = files(folder.path());
    let names: Vec<&str> = written.iter().map(|(file, _)| file.as_str()).collect();
    let expected: Vec<&str> = stored(name).iter().map(|(file, _)| *file).collect();
    expect_that!(names, eq(&expected), "{name}");
    for ((file, bytes), (_, stored_bytes)) in written.iter().zip(stored(name)) {
        expect_that!(bytes, eq(stored_bytes), "{name}/{file}");
    }
}

fn expect_recovered(name: &str, expected: &Recovered) {
    expect_that!(&open(&stored_folder(name)).1, eq(expected), "{name}");
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

/// Appends records without a checkpoint.
fn write_first_records() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(&folder);
    store.append(&records(&["first", ""])).unwrap();
    store.append(&records(&["third"])).unwrap();
    folder
}

/// Appends records before and after a checkpoint.
fn write_one_checkpoint() -> TempDir {
    let folder = write_first_records();
    let (mut store, _) = open(&folder);
    store
        .checkpoint(records(&["head", "", "a longer part"]))
        .unwrap();
    store
        .append(&records(&["after one", "after one too"]))
        .unwrap();
    folder
}

/// Makes two checkpoints, so that all four files exist.
fn write_two_checkpoints() -> TempDir {
    let folder = write_one_checkpoint();
    let (mut store, _) = open(&folder);
    store
        .checkpoint(records(&["another head", "tail"]))
        .unwrap();
    store.append(&records(&["after two"])).unwrap();
    folder
}

/// Makes a checkpoint without chunks or later records.
fn write_empty_checkpoint() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(&folder);
    store.checkpoint(Vec::new()).unwrap();
    folder
}

#[googletest::test]
fn files_keep_their_names() {
    expect_that!(
        FileName::ALL.map(FileName::as_str),
        eq(["slot-0", "slot-1", "log-0", "log-1"])
    );
}

#[googletest::test]
fn slots_and_logs_keep_their_bytes() {
    expect_files("first records", &write_first_records());
    expect_files("one checkpoint", &write_one_checkpoint());
    expect_files("two checkpoints", &write_two_checkpoints());
    expect_files("empty checkpoint", &write_empty_checkpoint());
}

#[googletest::test]
fn stored_folders_are_recovered() {
    let first = Recovered {
        snapshot: None,
        records: records(&["first", "", "third"]),
    };
    expect_recovered("first records", &first);
    let one = Recovered {
        snapshot: Some(records(&["head", "", "a longer part"])),
        records: records(&["after one", "after one too"]),
    };
    expect_recovered("one checkpoint", &one);
    let two = Recovered {
        snapshot: Some(records(&["another head", "tail"])),
        records: records(&["after two"]),
    };
    expect_recovered("two checkpoints", &two);
    expect_recovered(
        "empty checkpoint",
        &Recovered {
            snapshot: Some(Vec::new()),
            records: Vec::new(),
        },
    );
}

/// Version 1 is no longer written: the stored slot was created by hand, following the documentation of the format.
#[googletest::test]
fn stored_version_1_slot_is_read_as_one_chunk() {
    let expected = Recovered {
        snapshot: Some(records(&["a snapshot in one piece"])),
        records: records(&["after it"]),
    };
    expect_recovered("first version", &expected);
}

#[googletest::test]
fn stored_folder_is_continued_with_the_same_bytes() {
    let folder = stored_folder("one checkpoint");
    let (mut store, _) = open(&folder);
    store
        .checkpoint(records(&["another head", "tail"]))
        .unwrap();
    store.append(&records(&["after two"])).unwrap();
    expect_files("two checkpoints", &folder);
}

#[googletest::test]
fn torn_last_record_of_stored_folder_is_dropped() {
    let folder = stored_folder("one checkpoint");
    let log = folder.path().join("log-1");
    let mut torn = std::fs::read(&log).unwrap();
    torn.pop();
    std::fs::write(&log, torn).unwrap();
    expect_that!(open(&folder).1.records, eq(&records(&["after one"])));
}

#[googletest::test]
fn every_stored_file_belongs_to_a_tested_folder() {
    let folders = [
        "first records",
        "one checkpoint",
        "two checkpoints",
        "empty checkpoint",
        "first version",
    ];
    let tested_files: usize = folders.iter().map(|folder| stored(folder).len()).sum();
    expect_that!(tested_files, eq(STORED.lines().count()));
}
