//! Whatever is lost at a loss of power, what was confirmed is there and nothing else is.
use googletest::prelude::*;
use magpiegap_storage::{Directory, FileName, Recovered, Store, StoreError};
use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

/// A step that a disk was asked to do.
#[derive(Clone, Debug)]
enum Step {
    Overwrite(FileName, Vec<u8>),
    Write(FileName, u64, Vec<u8>),
    Truncate(FileName, u64),
    Sync(FileName),
}

#[derive(Default)]
struct Recorder {
    files: BTreeMap<FileName, Vec<u8>>,
    steps: Vec<Step>,
    /// Refuses every write once so many steps are done.
    full_after: Option<usize>,
    /// Fails so many syncs, though what they were to keep has reached the disk.
    failing_syncs: usize,
}

/// A disk in memory that remembers all that it was asked to do.
#[derive(Clone, Default)]
struct Disk(Rc<RefCell<Recorder>>);

fn apply(files: &mut BTreeMap<FileName, Vec<u8>>, step: &Step) {
    match step {
        Step::Overwrite(file, bytes) => {
            files.insert(*file, bytes.clone());
        }
        Step::Write(file, offset, bytes) => {
            let content = files.entry(*file).or_default();
            let end = *offset as usize + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[*offset as usize..end].copy_from_slice(bytes);
        }
        Step::Truncate(file, length) => files.entry(*file).or_default().truncate(*length as usize),
        Step::Sync(_) => {}
    }
}

impl Disk {
    fn take(&self, step: Step) -> io::Result<()> {
        let mut recorder = self.0.borrow_mut();
        if recorder
            .full_after
            .is_some_and(|after| recorder.steps.len() >= after)
        {
            return Err(io::Error::other("no space left"));
        }
        apply(&mut recorder.files, &step);
        recorder.steps.push(step);
        Ok(())
    }
}

impl Directory for Disk {
    fn read(&mut self, file: FileName) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().files.get(&file).cloned())
    }
    fn overwrite(&mut self, file: FileName, bytes: &[u8]) -> io::Result<()> {
        self.take(Step::Overwrite(file, bytes.to_vec()))
    }
    fn write_at(&mut self, file: FileName, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.take(Step::Write(file, offset, bytes.to_vec()))
    }
    fn truncate(&mut self, file: FileName, length: u64) -> io::Result<()> {
        self.take(Step::Truncate(file, length))
    }
    fn sync(&mut self, file: FileName) -> io::Result<()> {
        {
            let mut recorder = self.0.borrow_mut();
            if recorder.failing_syncs > 0 {
                recorder.failing_syncs -= 1;
                return Err(io::Error::other("input/output error"));
            }
        }
        self.take(Step::Sync(file))
    }
}

/// What a step that was not synced may have left: nothing, all, or a torn part.
fn leftovers(step: &Step) -> Vec<Option<Step>> {
    let torn = |bytes: &[u8]| bytes[..bytes.len() / 2].to_vec();
    match step {
        Step::Overwrite(file, bytes) => {
            vec![
                None,
                Some(step.clone()),
                Some(Step::Overwrite(*file, torn(bytes))),
            ]
        }
        Step::Write(file, offset, bytes) => {
            vec![
                None,
                Some(step.clone()),
                Some(Step::Write(*file, *offset, torn(bytes))),
            ]
        }
        Step::Truncate(..) => vec![None, Some(step.clone())],
        Step::Sync(_) => vec![Some(step.clone())],
    }
}

fn file_of(step: &Step) -> FileName {
    match step {
        Step::Overwrite(file, _)
        | Step::Write(file, ..)
        | Step::Truncate(file, _)
        | Step::Sync(file) => *file,
    }
}

/// All disks that a loss of power after `done` steps may leave.
fn crashes(steps: &[Step], done: usize) -> Vec<BTreeMap<FileName, Vec<u8>>> {
    let mut states = vec![BTreeMap::new()];
    for (position, step) in steps[..done].iter().enumerate() {
        let later = &steps[position + 1..done];
        let synced = later
            .iter()
            .any(|s| matches!(s, Step::Sync(file) if *file == file_of(step)));
        let choices = if synced {
            vec![Some(step.clone())]
        } else {
            leftovers(step)
        };
        let mut next = Vec::new();
        for state in &states {
            for choice in &choices {
                let mut state: BTreeMap<FileName, Vec<u8>> = state.clone();
                if let Some(step) = choice {
                    apply(&mut state, step);
                }
                next.push(state);
            }
        }
        states = next;
    }
    states
}

/// What the user of a store has been told to be kept, after so many steps of the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Confirmed {
    steps: usize,
    snapshot: Option<Vec<Vec<u8>>>,
    records: Vec<Vec<u8>>,
}

#[googletest::test]
fn given_any_loss_of_power_when_the_store_is_opened_then_all_that_was_confirmed_is_there() {
    // Given: a store that appends and makes checkpoints, with all steps of its disk on record
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    let mut states = Vec::new();
    let mut snapshot = None;
    let mut records: Vec<Vec<u8>> = Vec::new();
    let mut confirm = |snapshot: &Option<Vec<Vec<u8>>>, records: &Vec<Vec<u8>>| {
        let steps = disk.0.borrow().steps.len();
        states.push(Confirmed {
            steps,
            snapshot: snapshot.clone(),
            records: records.clone(),
        });
    };
    confirm(&snapshot, &records);
    for number in 0..9_u8 {
        if number % 3 == 2 {
            let parts = vec![vec![number; 40], vec![number + 50; 9]];
            store.checkpoint(parts.clone()).unwrap();
            snapshot = Some(parts);
            records.clear();
        } else {
            let batch = vec![vec![number; 7], vec![number + 100; 3]];
            store.append(&batch).unwrap();
            records.extend(batch);
        }
        confirm(&snapshot, &records);
    }
    let steps = disk.0.borrow().steps.clone();
    // When: power is lost after each step, with every way in which unsynced steps may be left
    for done in 0..=steps.len() {
        let before = states
            .iter()
            .rev()
            .find(|state| state.steps <= done)
            .cloned();
        let after = states.iter().find(|state| state.steps >= done).cloned();
        for files in crashes(&steps, done) {
            let left = Disk::default();
            left.0.borrow_mut().files = files;
            let (_, found) = Store::open(left).unwrap();
            // Then: it is what was confirmed last, or what was being written then, with a first part of its records
            let is = |state: &Option<Confirmed>| {
                state.as_ref().is_some_and(|state| {
                    found.snapshot == state.snapshot && state.records.starts_with(&found.records)
                })
            };
            let whole = |state: &Option<Confirmed>| {
                state.as_ref().is_none_or(|state| {
                    found.snapshot != state.snapshot || found.records.len() >= state.records.len()
                })
            };
            assert!(
                (is(&before) || is(&after)) && whole(&before),
                "after {done} steps: {found:?}"
            );
        }
    }
}

#[googletest::test]
fn given_a_torn_tail_when_records_follow_then_nothing_of_the_tail_comes_back() {
    // Given
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec(), b"two".to_vec()]).unwrap();
    drop(store);
    let length = disk.0.borrow().files[&FileName::Log(false)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(false))
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
fn given_a_full_disk_when_there_is_room_again_then_the_store_goes_on() {
    // Given
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    let steps = disk.0.borrow().steps.len();
    disk.0.borrow_mut().full_after = Some(steps);
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
    // Given: a log with a torn tail, on a disk that takes no more bytes
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"all".to_vec()]).unwrap();
    store.append(&[b"one".to_vec(), b"two".to_vec()]).unwrap();
    let length = disk.0.borrow().files[&FileName::Log(true)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(true))
        .unwrap()[length - 2] ^= 1;
    let steps = disk.0.borrow().steps.len();
    disk.0.borrow_mut().full_after = Some(steps);
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
fn given_a_full_empty_disk_when_there_is_room_again_then_the_first_record_is_kept() {
    let disk = Disk::default();
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
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"first".to_vec()]).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    let slot_synced = disk.0.borrow().steps.len();
    for failing in 1..=2 {
        disk.0.borrow_mut().failing_syncs = failing;
        expect_that!(store.checkpoint([b"second".to_vec()]), err(anything()));
    }
    disk.0.borrow_mut().failing_syncs = 0;
    expect_that!(disk.0.borrow().steps.len(), gt(slot_synced));
    // When
    store.append(&[b"two".to_vec()]).unwrap();
    drop(store);
    // Then
    let (_, found) = Store::open(disk).unwrap();
    expect_that!(found.snapshot, some(elements_are![eq(b"first")]));
    expect_that!(found.records, elements_are![eq(b"one"), eq(b"two")]);
}

#[googletest::test]
fn given_a_record_whose_sync_fails_when_it_is_kept_at_the_next_try_then_it_is_written_anew() {
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.append(&[b"one".to_vec()]).unwrap();
    disk.0.borrow_mut().failing_syncs = 1;
    expect_that!(store.append(&[b"two".to_vec()]), err(anything()));
    // Given: the pages of the refused sync are dropped
    let length = disk.0.borrow().files[&FileName::Log(false)].len();
    disk.0
        .borrow_mut()
        .files
        .get_mut(&FileName::Log(false))
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
fn given_a_slot_that_was_kept_when_it_is_damaged_then_the_older_one_is_not_taken_for_the_newest() {
    let disk = Disk::default();
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
    damage(FileName::Slot(false));
    let damaged = |result: &Result<_, StoreError>| {
        matches!(result, Err(StoreError::Damaged { file: "slot-0" }))
    };
    expect_that!(damaged(&Store::open(disk.clone()).map(|_| ())), eq(true));
    damage(FileName::Slot(true));
    expect_that!(damaged(&Store::open(disk.clone()).map(|_| ())), eq(true));
}

#[googletest::test]
fn given_both_slots_damaged_when_no_record_follows_then_the_disk_is_not_taken_for_an_empty_one() {
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.checkpoint([b"first".to_vec()]).unwrap();
    store.checkpoint([b"second".to_vec()]).unwrap();
    drop(store);
    for file in [FileName::Slot(false), FileName::Slot(true)] {
        disk.0.borrow_mut().files.get_mut(&file).unwrap()[9] ^= 1;
    }
    expect_that!(Store::open(disk).map(|_| ()).is_err(), eq(true));
}

#[googletest::test]
fn given_a_snapshot_of_the_first_version_of_the_format_when_it_is_read_then_it_is_one_part() {
    // Given: magic, generation 1, length 3, checksum of both, and the log of that generation
    let mut slot = b"mgslot\0\x01".to_vec();
    slot.extend_from_slice(&1_u64.to_le_bytes());
    slot.extend_from_slice(&3_u64.to_le_bytes());
    slot.extend_from_slice(&checksum(&[&1_u64.to_le_bytes()[..], b"all"].concat()).to_le_bytes());
    slot.extend_from_slice(b"all");
    let disk = Disk::default();
    disk.0.borrow_mut().files.insert(FileName::Slot(true), slot);
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
    let step = |crc: u32| {
        if crc & 1 == 1 {
            crc >> 1 ^ 0xedb8_8320
        } else {
            crc >> 1
        }
    };
    let add = |crc: u32, byte: &u8| (0..8).fold(crc ^ u32::from(*byte), |crc, _| step(crc));
    !bytes.iter().fold(!0, add)
}
