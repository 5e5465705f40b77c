//! Power lost at every write and between any two syncs: each image of the disk that could be left is opened.
use balancer_snapshots::store::{inspect, StoreError, FILE};
use balancer_snapshots::{Found, Kind, Owner, Record, SnapshotWriter, Store};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(30);

/// An operation on a disk.
#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

fn apply(image: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, bytes) => {
            let (at, end) = (*at as usize, *at as usize + bytes.len());
            image.resize(image.len().max(end), 0);
            image[at..end].copy_from_slice(bytes);
        }
        Op::Length(length) => image.resize(*length as usize, 0),
        Op::Sync => {}
    }
}

/// A disk in memory that records all operations, and fails once it is full.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    image: Vec<u8>,
    ops: Vec<Op>,
    /// Writes and syncs fail from here on.
    full: bool,
}

impl Disk {
    fn of(image: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            image,
            ..DiskState::default()
        })))
    }

    fn perform(&self, op: Op) -> io::Result<()> {
        let mut state = self.0.lock().expect("no panic");
        if state.full {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "no space is left",
            ));
        }
        apply(&mut state.image, &op);
        state.ops.push(op);
        Ok(())
    }

    fn position(&self) -> usize {
        self.0.lock().expect("no panic").ops.len()
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().expect("no panic").image.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().expect("no panic");
        let from = state
            .image
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.perform(Op::Length(len))
    }
    fn sync_data(&self) -> io::Result<()> {
        self.perform(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.perform(Op::Write(offset, data.to_vec()))
    }
}

fn owner() -> Owner {
    Owner {
        name: "n1".into(),
        settings: 7,
    }
}

/// The payloads of a put of this number: every kind names the number, and is of its own length.
fn payloads(number: usize) -> Vec<(Kind, String)> {
    let of = |kind: Kind| {
        (
            kind,
            format!(
                "{{\"put\":{number},\"fill\":\"{}\"}}",
                "x".repeat(number * 37 % 5000)
            ),
        )
    };
    Kind::ALL.into_iter().map(of).collect()
}

/// The number that all kinds name, if they name one.
fn number(store: &Store) -> Option<usize> {
    let one = |kind| match store.get(kind).expect("reads") {
        Found::Missing => None,
        Found::Record(record) => {
            let number = record
                .payload
                .strip_prefix("{\"put\":")
                .and_then(|t| t.split(',').next()?.parse().ok());
            let number = number.unwrap_or_else(|| panic!("{record:?}"));
            assert_eq!(record.payload, payloads(number)[0].1);
            Some(number)
        }
        Found::Invalid(unfit) => panic!("{kind:?}: {unfit}"),
    };
    let all: Vec<Option<usize>> = Kind::ALL.into_iter().map(one).collect();
    assert!(all.iter().all(|n| *n == all[0]), "half a put: {all:?}");
    all[0]
}

/// An image that a power loss could leave: each unsynced write lost, applied, or torn at a sector, in any order.
fn image_after_power_loss(
    rng: &mut Pcg64Mcg,
    durable: &[u8],
    unsynced: &[Op],
    variant: usize,
) -> Vec<u8> {
    let mut image = durable.to_vec();
    let mut ops: Vec<Op> = unsynced.to_vec();
    match variant {
        // All of it lost; all of it applied.
        0 => ops.clear(),
        1 => {}
        _ => {
            ops.retain(|_| rng.gen_bool(0.6));
            for n in (1..ops.len()).rev() {
                ops.swap(n, rng.gen_range(0..=n));
            }
            for op in &mut ops {
                let torn = rng.gen_bool(0.3);
                let Op::Write(_, bytes) = op else { continue };
                if torn && bytes.len() > 512 {
                    bytes.truncate(rng.gen_range(1..=bytes.len() / 512) * 512);
                }
            }
        }
    }
    ops.iter().for_each(|op| apply(&mut image, op));
    image
}

#[test]
fn after_a_power_loss_the_last_put_that_returned_or_the_one_in_flight_is_there() {
    let disk = Disk::default();
    let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
    // Where each put returned, as a position in the operations on the disk.
    let mut returned = vec![(disk.position(), None)];
    for put in 0..200 {
        store.put(&payloads(put), 1000.0).expect("puts");
        returned.push((disk.position(), Some(put)));
    }
    let ops = disk.0.lock().expect("no panic").ops.clone();
    let begun = returned[0].0;
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let (mut durable, mut unsynced, mut opened) = (Vec::new(), Vec::new(), 0);
    for (at, op) in ops.iter().enumerate() {
        unsynced.push(op.clone());
        if matches!(op, Op::Sync) {
            unsynced.drain(..).for_each(|op| apply(&mut durable, &op));
        }
        let at = at + 1;
        let last = returned
            .iter()
            .rev()
            .find(|(position, _)| *position <= at)
            .and_then(|(_, put)| *put);
        for variant in 0..VARIANTS {
            let image = image_after_power_loss(rng, &durable, &unsynced, variant);
            match Store::on_backend(Disk::of(image), owner()) {
                Ok(store) => {
                    let found = number(&store);
                    let next = last.map_or(0, |put| put + 1);
                    assert!(
                        found == last || found == Some(next),
                        "at {at}: {found:?} after {last:?}"
                    );
                }
                // A database whose creation was not complete has nothing to lose.
                Err(StoreError::Corrupt(_)) if at < begun => {}
                Err(e) => panic!("at {at}, variant {variant}: {e}"),
            }
            opened += 1;
        }
    }
    assert!(opened > 10_000, "{opened}");
    let size = disk.0.lock().expect("no panic").image.len();
    assert!(
        size < 4 << 20,
        "200 puts of a few kilobytes have made {size} bytes"
    );
    println!("{opened} images opened, of {} writes and syncs", ops.len());
}

const VARIANTS: usize = 16;

#[test]
fn a_crash_in_the_middle_of_recovery_is_recovered_from_again_and_again() {
    let disk = Disk::default();
    let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
    (0..5).for_each(|put| store.put(&payloads(put), 1000.0).expect("puts"));
    // Not closed: what is on the disk must be repaired at the next opening.
    let mut image = disk.0.lock().expect("no panic").image.clone();
    std::mem::forget(store);
    let rng = &mut Pcg64Mcg::seed_from_u64(2);
    for round in 0..40 {
        let disk = Disk::of(image.clone());
        let store = Store::on_backend(disk.clone(), owner()).expect("recovers");
        assert_eq!(number(&store), Some(4), "round {round}");
        std::mem::forget(store);
        // The power is lost at a random point of what the recovery wrote.
        let ops = disk.0.lock().expect("no panic").ops.clone();
        let power_loss = rng.gen_range(0..=ops.len());
        let synced = ops[..power_loss]
            .iter()
            .rposition(|op| matches!(op, Op::Sync))
            .map_or(0, |at| at + 1);
        let mut durable = image.clone();
        ops[..synced].iter().for_each(|op| apply(&mut durable, op));
        image = image_after_power_loss(rng, &durable, &ops[synced..power_loss], 2);
    }
}

#[test]
fn a_full_disk_retains_its_records_and_is_written_again_when_it_has_space() {
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
fn an_unreadable_database_is_set_aside_and_only_a_few_are_retained() {
    let folder = TempDir::new().expect("a folder");
    for round in 0..6 {
        std::fs::write(
            folder.path().join(FILE),
            format!("no database, round {round}").repeat(1000),
        )
        .expect("writes");
        assert!(inspect(folder.path()).is_err());
        let mut opened = Store::open(folder.path(), owner(), None).expect("begins anew");
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
fn any_flipped_bit_and_any_truncation_is_detected_or_does_no_harm() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    (0..4).for_each(|put| store.put(&payloads(put), 1000.0).expect("puts"));
    drop(store);
    let complete = std::fs::read(folder.path().join(FILE)).expect("reads");
    let rng = &mut Pcg64Mcg::seed_from_u64(3);
    let (mut used, mut unusable) = (0, 0);
    for round in 0..400 {
        let mut bytes = complete.clone();
        match round % 4 {
            0 => bytes.truncate(rng.gen_range(0..complete.len())),
            _ => (0..round % 4).for_each(|_| {
                // Most of the file is space that nobody reads: damage to the head matters.
                let limit = if rng.gen_bool(0.7) {
                    16_384.min(bytes.len())
                } else {
                    bytes.len()
                };
                let bit = rng.gen_range(0..limit * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }),
        }
        match Store::on_backend(Disk::of(bytes), owner()) {
            Ok(store) => Kind::ALL
                .into_iter()
                .for_each(|kind| match store.get(kind) {
                    Ok(Found::Record(record)) => {
                        assert!(
                            (0..4).any(|put| payloads(put)[0].1 == record.payload),
                            "{record:?}"
                        );
                        used += 1;
                    }
                    Ok(Found::Missing | Found::Invalid(_)) | Err(_) => unusable += 1,
                }),
            Err(_) => unusable += 1,
        }
    }
    assert!(used > 0 && unusable > 0, "{used} used, {unusable} unusable");
}

#[test]
fn a_second_process_a_foreign_owner_and_an_inspection() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    store.put(&payloads(1), 1000.0).expect("puts");
    let second = Store::open(folder.path(), owner(), None).err();
    assert_eq!(second, Some(StoreError::InUse));
    drop(store);
    let before = std::fs::read(folder.path().join(FILE)).expect("reads");
    let lines = inspect(folder.path()).expect("looks");
    assert_eq!(lines.len(), Kind::ALL.len());
    assert!(lines
        .iter()
        .all(|l| matches!(&l.found, Some(Ok((_, name))) if name == "n1")));
    assert_eq!(
        std::fs::read(folder.path().join(FILE)).expect("reads"),
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
fn a_writer_writes_the_newest_of_each_kind_and_retries_once_the_disk_works_again() {
    let disk = Disk::default();
    let make = {
        let disk = disk.clone();
        move || Ok(disk.clone())
    };
    let writer =
        SnapshotWriter::start(Store::open_with(make, owner()).expect("a store")).expect("starts");
    for put in 0..1000 {
        payloads(put % 7)
            .into_iter()
            .for_each(|(kind, payload)| writer.enqueue(kind, payload));
    }
    assert!(writer.flush(TIMEOUT));
    let written = writer.written();
    assert!(written.commits >= 1 && written.failed == 0, "{written:?}");
    // A disk that fails is reported once.
    disk.0.lock().expect("no panic").full = true;
    payloads(3)
        .into_iter()
        .for_each(|(kind, payload)| writer.enqueue(kind, payload));
    assert!(!writer.flush(TIMEOUT));
    assert!(writer.failure().is_some());
    // redb takes nothing any more after a failure: the store must have been opened again for this.
    disk.0.lock().expect("no panic").full = false;
    let commits = writer.written().commits;
    let begun = Instant::now();
    while writer.written().commits == commits {
        assert!(begun.elapsed() < TIMEOUT, "{:?}", writer.written());
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
fn the_file_stays_small_however_long_it_is_written() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    // A quarter of an hour of one write a second, of what three hundred upstreams come to.
    for second in 0..900 {
        let learned = format!(
            "{{\"put\":{second},\"fill\":\"{}\"}}",
            "x".repeat(60_000 + second % 7 * 100)
        );
        store
            .put(&[(Kind::Learned, learned)], 1000.0)
            .expect("puts");
    }
    let size = std::fs::metadata(folder.path().join(FILE))
        .expect("a file")
        .len();
    println!("{size} bytes after 900 writes of 60 kB");
    assert!(size < 4 << 20, "{size} bytes");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_record_of_anything_comes_back(payload: String, written_ms in -1e15..1e15f64, settings: u32, name: String) {
        let record = Record { payload, written_ms, settings };
        let bytes = record.encode(Kind::Learned, &name);
        prop_assert_eq!(Record::decode(&bytes, Kind::Learned, Some(&name)), Ok((record, name)));
    }

    /// Bytes that are no record, with a checksum that fits or not, are seen for what they are.
    #[test]
    fn any_bytes_are_a_record_or_none(mut bytes: Vec<u8>, fits: bool, form in "\\{\"format\":[01],[a-z0-9\":,]{0,80}\\}") {
        if fits {
            bytes = crc32fast::hash(form.as_bytes()).to_be_bytes().to_vec();
            bytes.extend(form.as_bytes());
        }
        prop_assert!(Record::decode(&bytes, Kind::Starts, None).is_err());
    }

    /// A database that is any bytes, or one with any bytes in its place somewhere, is opened or refused, and what it
    /// gives back is what was put.
    #[test]
    fn any_file_is_a_store_or_none(start in 0usize..20_000, bytes in prop::collection::vec(any::<u8>(), 1..600), replaces_all: bool) {
        let image = match replaces_all {
            true => bytes,
            false => {
                let mut image = written().clone();
                let start = start.min(image.len() - bytes.len());
                image[start..start + bytes.len()].copy_from_slice(&bytes);
                image
            }
        };
        if let Ok(store) = Store::on_backend(Disk::of(image), owner()) {
            for kind in Kind::ALL {
                if let Ok(Found::Record(record)) = store.get(kind) {
                    prop_assert!((0..4).any(|put| payloads(put)[0].1 == record.payload));
                }
            }
        }
    }
}

/// A store after a few puts.
fn written() -> &'static Vec<u8> {
    static IMAGE: OnceLock<Vec<u8>> = OnceLock::new();
    IMAGE.get_or_init(|| {
        let disk = Disk::default();
        let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
        (0..4).for_each(|put| store.put(&payloads(put), 1000.0).expect("puts"));
        drop(store);
        let state = disk.0.lock().expect("no panic");
        state.image.clone()
    })
}
