//! Whatever a power failure loses, what was confirmed is there and nothing else is.
mod simulated_disk;

use googletest::prelude::*;
use magpiegap_storage::{FileName, Parity, Recovered, Store, StoreError};
use simulated_disk::{files_after_crash, SimulatedDisk};

/// What a store has confirmed after so many operations of its disk.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Confirmed {
    operations: usize,
    snapshot: Option<Vec<Vec<u8>>>,
    records: Vec<Vec<u8>>,
}

impl Confirmed {
    /// Whether what was found is this, with a prefix of its records.
    fn is_prefixed_by(&self, found: &Recovered) -> bool {
        found.snapshot == self.snapshot && self.records.starts_with(&found.records)
    }

    /// Whether what was found has all of these records, or another snapshot.
    fn is_complete_in(&self, found: &Recovered) -> bool {
        found.snapshot != self.snapshot || found.records.len() >= self.records.len()
    }
}

/// Appends to a store and makes checkpoints. Returns what it has confirmed after each call, and before the first one.
fn append_and_checkpoint(disk: &SimulatedDisk) -> Vec<Confirmed> {
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    let mut confirmed = Confirmed {
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
fn given_any_power_failure_when_the_store_is_opened_then_all_that_was_confirmed_is_there() {
    // Given: a store that appends and makes checkpoints, with all operations of its disk on record
    let disk = SimulatedDisk::default();
    let history = append_and_checkpoint(&disk);
    let operations = disk.0.borrow().operations.clone();
    // When: power is lost after each operation, with every way in which unsynced operations may be left
    for done in 0..=operations.len() {
        let before = history.iter().rev().find(|state| state.operations <= done);
        let after = history.iter().find(|state| state.operations >= done);
        for files in files_after_crash(&operations, done) {
            let crashed = SimulatedDisk::default();
            crashed.0.borrow_mut().files = files;
            let (_, found) = Store::open(crashed).unwrap();
            // Then: it is what was confirmed last, or what was being written then, with a prefix of its records
            let matches =
                |state: Option<&Confirmed>| state.is_some_and(|state| state.is_prefixed_by(&found));
            let is_complete = before.is_none_or(|state| state.is_complete_in(&found));
            assert!(
                (matches(before) || matches(after)) && is_complete,
                "after {done} operations: {found:?}"
            );
        }
    }
}

#[googletest::test]
fn given_a_torn_record_when_others_follow_then_it_does_not_come_back() {
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
fn given_a_full_disk_when_there_is_space_again_then_the_store_goes_on() {
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
fn given_a_full_disk_when_the_store_is_opened_then_all_is_read_and_nothing_is_written() {
    // Given: a log with a torn record, on a disk that takes no more bytes
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
fn given_a_full_empty_disk_when_there_is_space_again_then_the_first_record_is_stored() {
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
fn given_a_checkpoint_whose_sync_fails_when_records_follow_then_they_count_and_the_checkpoint_does_not(
) {
    // Given: the bytes of the slot reach the disk, but the sync is not confirmed
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
fn given_a_record_whose_sync_fails_when_it_is_retried_then_it_is_written_anew() {
    let disk = SimulatedDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    disk.0.borrow_mut().failing_syncs = 1;
    expect_that!(store.append(&[b"two".to_vec()]), err(anything()));
    // Given: the pages of the refused sync are dropped
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
fn given_a_confirmed_slot_when_it_is_damaged_then_the_older_one_is_not_taken_for_the_newest() {
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
fn given_both_slots_damaged_when_no_record_follows_then_the_disk_is_not_taken_for_an_empty_one() {
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
fn given_a_snapshot_in_version_1_of_the_format_when_it_is_read_then_it_is_one_chunk() {
    // Given: magic, generation 1, length 3, checksum of both, and the log of that generation
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

/// CRC-32, bit by bit.
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
