//! Recovery after power failures, write errors and damage: confirmed state is preserved, and only confirmed state.
mod simulated_disk;

use googletest::prelude::*;
use magpiegap_storage::{FileName, Parity, Recovered, Store, StoreError};
use simulated_disk::{files_after_crash, SimulatedDisk};

/// The state that a store has confirmed after a number of disk operations.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ConfirmedState {
    operations: usize,
    snapshot: Option<Vec<Vec<u8>>>,
    records: Vec<Vec<u8>>,
}

impl ConfirmedState {
    /// Whether the recovered state has this snapshot and a prefix of these records.
    fn is_prefixed_by(&self, found: &Recovered) -> bool {
        found.snapshot == self.snapshot && self.records.starts_with(&found.records)
    }

    /// Whether the recovered state has all of these records, or another snapshot.
    fn is_complete_in(&self, found: &Recovered) -> bool {
        found.snapshot != self.snapshot || found.records.len() >= self.records.len()
    }
}

/// Appends records and makes checkpoints. Returns the confirmed state before the first call and after each call.
fn append_and_checkpoint(disk: &SimulatedDisk) -> Vec<ConfirmedState> {
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    let mut confirmed = ConfirmedState {
        operations: disk.0.borrow().operations.len(),
        snapshot: None,
        records: Vec::new(),
    };
    let mut history = vec![confirmed.clone()];
    for number in 0..9_u8 {
        if number % 3 == 2 {
            let chunks = vec![vec![number; 40], vec![number + 50; 9]];
            store.checkpoint(chunks.clone()).unwrap();
            confirmed.snapshot = Some(chunks);
            confirmed.records.clear();
        } else {
            let batch = vec![vec![number; 7], vec![number + 100; 3]];
            store.append(&batch).unwrap();
            confirmed.records.extend(batch);
        }
        confirmed.operations = disk.0.borrow().operations.len();
        history.push(confirmed.clone());
    }
    history
}

#[googletest::test]
fn any_power_failure_preserves_confirmed_state() {
    // Given: the recorded disk operations of a store that appends and makes checkpoints
    let disk = SimulatedDisk::default();
    let history = append_and_checkpoint(&disk);
    let operations = disk.0.borrow().operations.clone();
    // When: power fails after each operation, with every possible result of the unsynced operations
    for done in 0..=operations.len() {
        let before = history.iter().rev().find(|state| state.operations <= done);
        let after = history.iter().find(|state| state.operations >= done);
        for files in files_after_crash(&operations, done) {
            let crashed = SimulatedDisk::default();
            crashed.0.borrow_mut().files = files;
            let (_, found) = Store::open(crashed).unwrap();
            // Then: the recovered state is the last confirmed one or the one being written, with a prefix of its
            // records
            let matches = |state: Option<&ConfirmedState>| {
                state.is_some_and(|state| state.is_prefixed_by(&found))
            };
            let is_complete = before.is_none_or(|state| state.is_complete_in(&found));
            assert!(
                (matches(before) || matches(after)) && is_complete,
                "after {done} operations: {found:?}"
            );
        }
    }
}

#[googletest::test]
fn torn_record_is_not_recovered_after_later_appends() {
    // Given
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec(), b"two".to_vec()]).unwrap();
    drop(store);
    let length = disk.0.borrow().files[&FileName::Log(Parity::Even)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(Parity::Even))
        .unwrap()[length - 2] ^= 1;
    // When
    let (mut store, found) = Store::open(disk.clone()).unwrap();
    expect_that!(found.records, elements_are![eq(b"one")]);
    store.append(&[b"xyz".to_vec()]).unwrap();
    drop(store);
    // Then
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.records, elements_are![eq(b"one"), eq(b"xyz")]);
}

#[googletest::test]
fn store_continues_when_full_disk_has_space_again() {
    // Given
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    let operations = disk.0.borrow().operations.len();
    disk.0.borrow_mut().full_after = Some(operations);
    // When
    expect_that!(store.append(&[b"two".to_vec()]), err(anything()));
    expect_that!(store.checkpoint([b"all".to_vec()]), err(anything()));
    disk.0.borrow_mut().full_after = None;
    store.append(&[b"three".to_vec()]).unwrap();
    drop(store);
    // Then
    let (_, found) = Store::open(disk).unwrap();
    let expected = Recovered {
        snapshot: None,
        records: vec![b"one".to_vec(), b"three".to_vec()],
    };
    expect_that!(found, eq(&expected));
}

#[googletest::test]
fn full_disk_is_recovered_without_writes() {
    // Given: a log with a torn record, on a full disk
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"all".to_vec()]).unwrap();
    store.append(&[b"one".to_vec(), b"two".to_vec()]).unwrap();
    let length = disk.0.borrow().files[&FileName::Log(Parity::Odd)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(Parity::Odd))
        .unwrap()[length - 2] ^= 1;
    let operations = disk.0.borrow().operations.len();
    disk.0.borrow_mut().full_after = Some(operations);
    // When
    let (mut store, found) = Store::open(disk.clone()).unwrap();
    // Then
    expect_that!(found.snapshot, some(elements_are![eq(b"all")]));
    expect_that!(found.records, elements_are![eq(b"one")]);
    expect_that!(store.append(&[b"xyz".to_vec()]), err(anything()));
    disk.0.borrow_mut().full_after = None;
    store.append(&[b"xyz".to_vec()]).unwrap();
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.records, elements_are![eq(b"one"), eq(b"xyz")]);
}

#[googletest::test]
fn first_record_is_stored_when_disk_has_space() {
    let disk = SimulatedDisk::default();
    disk.0.borrow_mut().full_after = Some(0);
    let (mut store, found) = Store::open(disk.clone()).unwrap();
    expect_that!(found.is_empty(), eq(true));
    expect_that!(store.append(&[b"one".to_vec()]), err(anything()));
    disk.0.borrow_mut().full_after = None;
    store.append(&[b"one".to_vec()]).unwrap();
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.records, elements_are![eq(b"one")]);
}

#[googletest::test]
fn checkpoint_with_failed_sync_is_invalid_after_appends() {
    // Given: the bytes of the slot reach the disk, but the sync fails
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"first".to_vec()]).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    let slot_synced = disk.0.borrow().operations.len();
    for failing in 1..=2 {
        disk.0.borrow_mut().failing_syncs = failing;
        expect_that!(store.checkpoint([b"second".to_vec()]), err(anything()));
    }
    disk.0.borrow_mut().failing_syncs = 0;
    expect_that!(disk.0.borrow().operations.len(), gt(slot_synced));
    // When
    store.append(&[b"two".to_vec()]).unwrap();
    drop(store);
    // Then
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.snapshot, some(elements_are![eq(b"first")]));
    expect_that!(found.records, elements_are![eq(b"one"), eq(b"two")]);
}

#[googletest::test]
fn record_with_failed_sync_is_rewritten_on_retry() {
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    disk.0.borrow_mut().failing_syncs = 1;
    expect_that!(store.append(&[b"two".to_vec()]), err(anything()));
    // Given: the operating system drops the pages of the failed sync
    let length = disk.0.borrow().files[&FileName::Log(Parity::Even)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(Parity::Even))
        .unwrap()[length - 6..]
        .fill(0);
    // When
    store.append(&[b"two".to_vec()]).unwrap();
    drop(store);
    // Then
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.records, elements_are![eq(b"one"), eq(b"two")]);
}

#[googletest::test]
fn older_slot_does_not_replace_damaged_newest_slot() {
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"first".to_vec()]).unwrap();
    store.checkpoint([b"second".to_vec()]).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    drop(store);
    let damage = |file: FileName| {
        let mut recorder = disk.0.borrow_mut();
        let bytes = recorder.files.get_mut(&file).unwrap();
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
    };
    damage(FileName::Slot(Parity::Even));
    let damaged = |result: &Result<_, StoreError>| {
        matches!(result, Err(StoreError::Damaged { file: "slot-0" }))
    };
    expect_that!(damaged(&Store::open(disk.clone()).map(|_| ())), eq(true));
    damage(FileName::Slot(Parity::Odd));
    expect_that!(damaged(&Store::open(disk.clone()).map(|_| ())), eq(true));
}

#[googletest::test]
fn disk_with_two_damaged_slots_is_not_empty() {
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"first".to_vec()]).unwrap();
    store.checkpoint([b"second".to_vec()]).unwrap();
    drop(store);
    for file in [FileName::Slot(Parity::Even), FileName::Slot(Parity::Odd)] {
        disk.0.borrow_mut().files.get_mut(&file).unwrap()[9] ^= 1;
    }
    expect_that!(Store::open(disk).map(|_| ()).is_err(), eq(true));
}

#[googletest::test]
fn version_1_snapshot_is_read_as_one_chunk() {
    // Given: magic number, generation 1, length 3, checksum over generation and content, and the content; no log
    let mut slot = b"mgslot\0\x01".to_vec();
    slot.extend_from_slice(&1_u64.to_le_bytes());
    slot.extend_from_slice(&3_u64.to_le_bytes());
    slot.extend_from_slice(&checksum(&[&1_u64.to_le_bytes()[..], b"all"].concat()).to_le_bytes());
    slot.extend_from_slice(b"all");
    let disk = SimulatedDisk::default();
    disk.0
        .borrow_mut()
        .files
        .insert(FileName::Slot(Parity::Odd), slot);
    // When
    let (mut store, found) = Store::open(disk.clone()).unwrap();
    // Then
    expect_that!(found.snapshot, some(elements_are![eq(b"all")]));
    store.append(&[b"one".to_vec()]).unwrap();
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.snapshot, some(elements_are![eq(b"all")]));
    expect_that!(found.records, elements_are![eq(b"one")]);
}

/// Bitwise CRC-32, independent of the library under test.
fn checksum(bytes: &[u8]) -> u32 {
    let shift = |crc: u32| {
        if crc & 1 == 1 {
            crc >> 1 ^ 0xedb8_8320
        } else {
            crc >> 1
        }
    };
    let add = |crc: u32, byte: &u8| (0..8).fold(crc ^ u32::from(*byte), |crc, _| shift(crc));
    !bytes.iter().fold(!0, add)
}
