//! Full disks, unreadable files, concurrent and foreign owners, and long use of a file.
use crate::disk::*;
use crate::puts::*;
use balancer_snapshots::store::{inspect, StoreError, DATABASE_FILE_NAME};
use balancer_snapshots::{Found, Kind, Owner, SnapshotWriter, Store};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn full_disk_retains_records_and_recovers_with_space() {
    let disk = Disk::default();
    let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
    store.put(&payloads(1), 1000.0).expect("puts");
    disk.0.lock().expect("no panic").full = true;
    assert!(matches!(
        store.put(&payloads(2), 1000.0),
        Err(StoreError::Disk(_))
    ));
    drop(store);
    disk.0.lock().expect("no panic").full = false;
    let image = disk.0.lock().expect("no panic").image.clone();
    let mut store = Store::on_backend(Disk::of(image), owner()).expect("opens again");
    let found = number(&store);
    assert!(found == Some(1) || found == Some(2), "{found:?}");
    store.put(&payloads(3), 1000.0).expect("puts");
    assert_eq!(number(&store), Some(3));
}

#[test]
fn unreadable_databases_are_set_aside_and_three_retained() {
    let folder = TempDir::new().expect("a folder");
    for round in 0..6 {
        std::fs::write(
            folder.path().join(DATABASE_FILE_NAME),
            format!("no database, round {round}").repeat(1000),
        )
        .expect("writes");
        assert!(inspect(folder.path()).is_err());
        let mut opened = Store::open(folder.path(), owner(), None).expect("opens a new database");
        let (set_aside, _) = opened.set_aside.take().expect("set aside");
        assert!(std::fs::read_to_string(set_aside)
            .expect("reads")
            .contains(&format!("round {round}")));
        assert_eq!(number(&opened.store), None);
        opened.store.put(&payloads(round), 1000.0).expect("puts");
    }
    let files = std::fs::read_dir(folder.path()).expect("reads").count();
    assert_eq!(files, 4, "the database and three that were set aside");
}

#[test]
fn other_owners_are_rejected_and_inspection_changes_nothing() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    store.put(&payloads(1), 1000.0).expect("puts");
    let second = Store::open(folder.path(), owner(), None).err();
    assert_eq!(second, Some(StoreError::InUse));
    drop(store);
    let before = std::fs::read(folder.path().join(DATABASE_FILE_NAME)).expect("reads");
    let records = inspect(folder.path()).expect("inspects");
    assert_eq!(records.len(), Kind::ALL.len());
    assert!(records
        .iter()
        .all(|record| matches!(&record.found, Some(Ok((_, name))) if name == "n1")));
    assert_eq!(
        std::fs::read(folder.path().join(DATABASE_FILE_NAME)).expect("reads"),
        before,
        "an inspection changes nothing"
    );
    let foreign = Owner {
        name: "n2".into(),
        settings: 7,
    };
    let store = Store::open(folder.path(), foreign, None)
        .expect("opens")
        .store;
    assert!(matches!(store.get(Kind::Starts), Ok(Found::Invalid(_))));
}

#[test]
fn writer_writes_newest_payloads_and_retries_after_failures() {
    let disk = Disk::default();
    let make_storage = {
        let disk = disk.clone();
        move || Ok(disk.clone())
    };
    let writer = SnapshotWriter::start(Store::open_with(make_storage, owner()).expect("a store"))
        .expect("starts");
    for put in 0..1000 {
        payloads(put % 7)
            .into_iter()
            .for_each(|(kind, payload)| writer.enqueue(kind, payload));
    }
    assert!(writer.flush(TIMEOUT));
    let written = writer.written();
    assert!(written.commits >= 1 && written.failed == 0, "{written:?}");
    // A failed write is reported.
    disk.0.lock().expect("no panic").full = true;
    payloads(3)
        .into_iter()
        .for_each(|(kind, payload)| writer.enqueue(kind, payload));
    assert!(!writer.flush(TIMEOUT));
    assert!(writer.take_failure().is_some());
    // redb rejects all accesses after a failure, so this requires that the store was reopened.
    disk.0.lock().expect("no panic").full = false;
    let commits = writer.written().commits;
    let start = Instant::now();
    while writer.written().commits == commits {
        assert!(start.elapsed() < TIMEOUT, "{:?}", writer.written());
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(writer);
    let image = disk.0.lock().expect("no panic").image.clone();
    assert_eq!(
        number(&Store::on_backend(Disk::of(image), owner()).expect("opens")),
        Some(3)
    );
}

#[test]
fn file_size_stays_bounded_over_many_writes() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    // 15 minutes with one write per second, each of the size for 300 upstreams.
    for second in 0..900 {
        let learned = format!(
            "{{\"put\":{second},\"fill\":\"{}\"}}",
            "x".repeat(60_000 + second % 7 * 100)
        );
        store
            .put(&[(Kind::Learned, learned)], 1000.0)
            .expect("puts");
    }
    let size = std::fs::metadata(folder.path().join(DATABASE_FILE_NAME))
        .expect("a file")
        .len();
    println!("{size} bytes after 900 writes of 60 kB");
    assert!(size < 4 << 20, "{size} bytes");
}
