//! Records and database files with arbitrary or corrupt bytes.
use crate::disk::*;
use crate::puts::*;
use balancer_snapshots::store::DATABASE_FILE_NAME;
use balancer_snapshots::{Found, Kind, Record, Store};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::OnceLock;
use tempfile::TempDir;

#[test]
fn corrupt_files_never_yield_records_that_differ() {
    let folder = TempDir::new().expect("a folder");
    let mut store = Store::open(folder.path(), owner(), None)
        .expect("opens")
        .store;
    (0..4).for_each(|put| store.put(&payloads(put), 1000.0).expect("puts"));
    drop(store);
    let complete = std::fs::read(folder.path().join(DATABASE_FILE_NAME)).expect("reads");
    let rng = &mut Pcg64Mcg::seed_from_u64(3);
    let (mut used, mut unusable) = (0, 0);
    for round in 0..400 {
        let mut bytes = complete.clone();
        match round % 4 {
            0 => bytes.truncate(rng.gen_range(0..complete.len())),
            _ => (0..round % 4).for_each(|_| {
                // Most of the file is unused space, so most flips are in its first pages.
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

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_records_round_trip(payload: String, written_ms in -1e15..1e15f64, settings: u32, name: String) {
        let record = Record { payload, written_ms, settings };
        let bytes = record.encode(Kind::Learned, &name);
        prop_assert_eq!(Record::decode(&bytes, Kind::Learned, Some(&name)), Ok((record, name)));
    }

    /// Arbitrary bytes are rejected, as is an incomplete record with a valid checksum.
    #[test]
    fn bytes_that_are_no_record_are_rejected(mut bytes: Vec<u8>, with_checksum: bool, body in "\\{\"format\":[01],[a-z0-9\":,]{0,80}\\}") {
        if with_checksum {
            bytes = crc32fast::hash(body.as_bytes()).to_be_bytes().to_vec();
            bytes.extend(body.as_bytes());
        }
        prop_assert!(Record::decode(&bytes, Kind::Starts, None).is_err());
    }

    /// A file of arbitrary bytes, or a database partly overwritten by them, is opened or rejected, and yields only
    /// records that were put.
    #[test]
    fn overwritten_files_yield_only_records_that_were_put(start in 0usize..20_000, bytes in prop::collection::vec(any::<u8>(), 1..600), replaces_all: bool) {
        let image = match replaces_all {
            true => bytes,
            false => {
                let mut image = written_image().clone();
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

/// The image of a store after four puts.
fn written_image() -> &'static Vec<u8> {
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
