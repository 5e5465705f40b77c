//! Golden bytes of every kind of record, and their location in a folder. Records outlive the program, so a later build
//! must find and decode the records of an earlier one.
#[path = "../../core/tests/common/golden.rs"]
mod golden;

use balancer_snapshots::{Found, Kind, Owner, Record, Store};
use golden::{assert_stored, stored};
use redb::{Database, ReadableDatabase, TableDefinition};
use tempfile::TempDir;

const RECORDS: &str = include_str!("golden/records.hex");
const OWNER: &str = "proxy-\"7\" é";
const SETTINGS: u32 = 0xfedc_ba98;
const WRITTEN_MS: f64 = 1_764_709_200_123.25;

/// The file name of the database, which is the same in every build.
const DATABASE_FILE_NAME: &str = "state.redb";
/// The table of records, which is the same in every build.
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// The key of each kind, which is the same in every build.
const KEYS: [(&str, Kind); 3] = [
    ("starts", Kind::Starts),
    ("upstreams", Kind::Upstreams),
    ("learned", Kind::Learned),
];

fn owner() -> Owner {
    Owner {
        name: OWNER.into(),
        settings: SETTINGS,
    }
}

fn payload(key: &str) -> String {
    format!("{{\"{key}\":[1,2.5,null,\"ü\\n\"]}}")
}

fn record(key: &str) -> Record {
    Record {
        payload: payload(key),
        written_ms: WRITTEN_MS,
        settings: SETTINGS,
    }
}

#[test]
fn record_encodings_match_golden_bytes() {
    let encoded: Vec<_> = KEYS
        .map(|(key, kind)| (key.to_string(), record(key).encode(kind, OWNER)))
        .into();
    assert_stored(RECORDS, &encoded);
}

#[test]
fn golden_records_decode_to_their_values() {
    for ((name, bytes), (key, kind)) in stored(RECORDS).into_iter().zip(KEYS) {
        assert_eq!(name, key);
        assert_eq!(
            Record::decode(&bytes, kind, Some(OWNER)),
            Ok((record(key), OWNER.into()))
        );
    }
    assert_eq!(Kind::ALL.map(|kind| (kind.name(), kind)), KEYS);
}

#[test]
fn folder_layout_matches_file_table_and_keys() {
    let dir = TempDir::new().expect("a folder");
    let mut store = Store::open(dir.path(), owner(), None).expect("opens").store;
    store
        .put(&KEYS.map(|(key, kind)| (kind, payload(key))), WRITTEN_MS)
        .expect("is written");
    drop(store);
    let database = Database::open(dir.path().join(DATABASE_FILE_NAME)).expect("opens");
    let table = database
        .begin_read()
        .expect("reads")
        .open_table(TABLE)
        .expect("the table");
    for (name, bytes) in stored(RECORDS) {
        let saved = table.get(name).expect("reads").expect("a record");
        assert_eq!(saved.value(), bytes, "{name}");
    }
}

#[test]
fn folder_of_an_earlier_build_is_read() {
    let dir = TempDir::new().expect("a folder");
    let database = Database::create(dir.path().join(DATABASE_FILE_NAME)).expect("creates");
    let write = database.begin_write().expect("writes");
    {
        let mut table = write.open_table(TABLE).expect("the table");
        for (name, bytes) in stored(RECORDS) {
            table.insert(name, bytes.as_slice()).expect("is written");
        }
    }
    write.commit().expect("is written");
    drop(database);
    let opened = Store::open(dir.path(), owner(), None).expect("opens");
    assert!(opened.set_aside.is_none());
    for (key, kind) in KEYS {
        assert_eq!(
            opened.store.get(kind),
            Ok(Found::Record(record(key))),
            "{key}"
        );
    }
}
