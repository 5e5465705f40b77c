//! The database in its folder. Owns the file and its recovery from failures. An unreadable file is set aside and
//! replaced by a new one, so that it never prevents a start. Records are addressed by their kind.
use std::fs::OpenOptions;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;
use redb::{
    Database, DatabaseError, ReadableDatabase, StorageBackend, StorageError, TableDefinition,
    TableError,
};

use crate::fault_injection::{FaultFile, FaultyStorage};
use crate::record::{Kind, Owner, Record, RecordError};

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// The file name of the database in the folder.
pub const DATABASE_FILE_NAME: &str = "state.redb";
/// The number of unreadable databases that are retained for inspection.
const MAX_SET_ASIDE: usize = 3;
/// The page cache of the database, in bytes, which is small because there are only a few pages.
const CACHE_BYTES: usize = 256 << 10;

/// The outcome of reading a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// No record has been written.
    Missing,
    /// A record of this owner.
    Record(Record),
    /// A record that can't be used.
    Invalid(RecordError),
}

/// The reason why a store can't be opened or accessed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Another process has the database open.
    #[error("another process holds it")]
    InUse,
    /// The file is not a readable database, with the reason.
    #[error("unreadable database: {0}")]
    Corrupt(String),
    /// The disk failed, with the reason.
    #[error("{0}")]
    Disk(String),
}

/// Storage that never shrinks and syncs each growth before later writes.
///
/// redb's header contains the length of the file and may reach the disk before a growth that was requested earlier. A
/// power loss in between leaves a file that is shorter than its header says, which redb rejects. The tests of this
/// crate simulate power loss at this point.
#[derive(Debug)]
struct GrowOnlyStorage<B>(B);

impl<B: StorageBackend> StorageBackend for GrowOnlyStorage<B> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        if len <= self.0.len()? {
            return Ok(());
        }
        self.0.set_len(len)?;
        self.0.sync_data()
    }
    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}

type OpenDatabase = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// A store of records on a disk.
pub struct Store {
    /// Absent after a failure, until it has been reopened: redb rejects all accesses after one.
    database: Option<Database>,
    reopen: Option<OpenDatabase>,
    owner: Owner,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.close();
    }
}

/// The result of opening a store in a folder.
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The path to which an unreadable database was renamed, and why it was unreadable.
    pub set_aside: Option<(PathBuf, String)>,
}

/// Converts an I/O error on a file.
fn disk_error(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
    move |e| StoreError::Disk(format!("{}: {e}", path.display()))
}

fn classify_open_error(e: DatabaseError) -> StoreError {
    match e {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
        DatabaseError::Storage(StorageError::Io(e)) if e.kind() != io::ErrorKind::InvalidData => {
            StoreError::Disk(e.to_string())
        }
        e => StoreError::Corrupt(e.to_string()),
    }
}

/// Runs redb on untrusted bytes: a panic means that the database is corrupt.
fn catch_panic<T>(action: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(action)).unwrap_or_else(|_| {
        Err(StoreError::Corrupt(
            "panic while its pages were read or written".into(),
        ))
    })
}

fn open_database(backend: impl StorageBackend) -> Result<Database, StoreError> {
    let builder = || {
        Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(GrowOnlyStorage(backend))
    };
    catch_panic(|| builder().map_err(classify_open_error))
}

impl Store {
    /// Opens the store in a folder, or creates one. An unreadable database is first renamed and retained.
    ///
    /// # Errors
    ///
    /// When another process has the database open, or the disk fails.
    pub fn open(
        folder: &Path,
        owner: Owner,
        fault_file: Option<FaultFile>,
    ) -> Result<Opened, StoreError> {
        let path = folder.join(DATABASE_FILE_NAME);
        let open_file = {
            let path = path.clone();
            move || {
                let mut options = OpenOptions::new();
                options.read(true).write(true).create(true).truncate(false);
                let file = options.open(&path).map_err(disk_error(&path))?;
                Ok(FaultyStorage::new(
                    FileBackend::new(file).map_err(classify_open_error)?,
                    fault_file.clone(),
                ))
            }
        };
        match Store::open_with(open_file.clone(), owner.clone()) {
            Ok(store) => Ok(Opened {
                store,
                set_aside: None,
            }),
            Err(StoreError::Corrupt(what)) => {
                let set_aside = set_aside(folder).map_err(disk_error(&path))?;
                Ok(Opened {
                    store: Store::open_with(open_file, owner)?,
                    set_aside: Some((set_aside, what)),
                })
            }
            Err(e) => Err(e),
        }
    }

    /// Opens a store whose storage is created again after each failure, as redb has to be reopened then.
    ///
    /// # Errors
    ///
    /// When the storage can't be created, or is not a readable database.
    pub fn open_with<B: StorageBackend>(
        make_storage: impl Fn() -> Result<B, StoreError> + Send + 'static,
        owner: Owner,
    ) -> Result<Store, StoreError> {
        let reopen = Box::new(move || open_database(make_storage()?));
        Store::verified(Store {
            database: Some(reopen()?),
            reopen: Some(reopen),
            owner,
        })
    }

    /// Opens a store on any storage backend, without reopening it after failures. Used by tests to inject faults.
    ///
    /// # Errors
    ///
    /// When the storage is not a readable database.
    pub fn on_backend(backend: impl StorageBackend, owner: Owner) -> Result<Store, StoreError> {
        Store::verified(Store {
            database: Some(open_database(backend)?),
            reopen: None,
            owner,
        })
    }

    /// Opens a copy in memory of a folder's database; the folder is never changed.
    ///
    /// # Errors
    ///
    /// When the file can't be read, or is not a readable database.
    pub fn copy(folder: &Path, owner: Owner) -> Result<Store, StoreError> {
        let path = folder.join(DATABASE_FILE_NAME);
        let bytes = std::fs::read(&path).map_err(disk_error(&path))?;
        let memory = redb::backends::InMemoryBackend::new();
        let written = memory
            .set_len(bytes.len() as u64)
            .and_then(|()| memory.write(0, &bytes));
        written.map_err(disk_error(&path))?;
        Store::on_backend(memory, owner)
    }

    /// Reads every record once, to detect an unreadable database.
    fn verified(store: Store) -> Result<Store, StoreError> {
        catch_panic(|| {
            Kind::ALL
                .into_iter()
                .try_for_each(|kind| store.read_bytes(kind).map(drop))
        })?;
        Ok(store)
    }

    fn close(&mut self) {
        let database = self.database.take();
        // Closing writes to the disk; after a failure redb repairs the file when it is next opened.
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database
            .as_ref()
            .ok_or_else(|| StoreError::Corrupt("closed".into()))
    }

    fn read_bytes(&self, kind: Kind) -> Result<Option<Vec<u8>>, StoreError> {
        let corrupt = |e: &dyn std::fmt::Display| StoreError::Corrupt(e.to_string());
        let read = self.database()?.begin_read().map_err(|e| corrupt(&e))?;
        let table = match read.open_table(RECORDS) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(corrupt(&e)),
        };
        let value = table.get(kind.name()).map_err(|e| corrupt(&e))?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    /// Reads the record of a kind.
    ///
    /// # Errors
    ///
    /// When the database can't be read.
    pub fn get(&self, kind: Kind) -> Result<Found, StoreError> {
        let bytes = catch_panic(|| self.read_bytes(kind))?;
        Ok(
            match bytes.map(|b| Record::decode(&b, kind, Some(&self.owner.name))) {
                None => Found::Missing,
                Some(Ok((record, _))) => Found::Record(record),
                Some(Err(error)) => Found::Invalid(error),
            },
        )
    }

    /// Writes payloads atomically, and returns once they are synced.
    ///
    /// # Errors
    ///
    /// When the disk fails. Nothing is written then, and the next call reopens the database.
    pub fn put(&mut self, payloads: &[(Kind, String)], now_ms: f64) -> Result<(), StoreError> {
        if let (None, Some(reopen)) = (&self.database, &self.reopen) {
            self.database = Some(reopen()?);
        }
        let result = self.write(payloads, now_ms);
        if result.is_err() && self.reopen.is_some() {
            self.close();
        }
        result
    }

    fn write(&self, payloads: &[(Kind, String)], now_ms: f64) -> Result<(), StoreError> {
        catch_panic(|| {
            let disk_failure = |e: &dyn std::fmt::Display| StoreError::Disk(e.to_string());
            let transaction = self
                .database()?
                .begin_write()
                .map_err(|e| disk_failure(&e))?;
            {
                let mut table = transaction
                    .open_table(RECORDS)
                    .map_err(|e| disk_failure(&e))?;
                for (kind, payload) in payloads {
                    let record = Record {
                        payload: payload.clone(),
                        written_ms: now_ms,
                        settings: self.owner.settings,
                    };
                    let bytes = record.encode(*kind, &self.owner.name);
                    let inserted = table.insert(kind.name(), bytes.as_slice());
                    inserted.map_err(|e| disk_failure(&e))?;
                }
            }
            transaction.commit().map_err(|e| disk_failure(&e))
        })
    }

    /// The fingerprint of the current settings.
    pub fn settings(&self) -> u32 {
        self.owner.settings
    }
}

/// Renames an unreadable database, and retains the latest [`MAX_SET_ASIDE`] for inspection.
fn set_aside(folder: &Path) -> io::Result<PathBuf> {
    let name = |n: usize| folder.join(format!("{DATABASE_FILE_NAME}.bad-{n}"));
    // Removes the oldest, and increments the numbers of the others.
    ignore_not_found(std::fs::remove_file(name(MAX_SET_ASIDE)))?;
    for n in (1..MAX_SET_ASIDE).rev() {
        ignore_not_found(std::fs::rename(name(n), name(n + 1)))?;
    }
    std::fs::rename(folder.join(DATABASE_FILE_NAME), name(1))?;
    Ok(name(1))
}

fn ignore_not_found(result: io::Result<()>) -> io::Result<()> {
    match result {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

/// One record of an inspected folder.
#[derive(Clone, Debug, PartialEq)]
pub struct InspectedRecord {
    /// The kind.
    pub kind: Kind,
    /// The record and its owner, or the reason why it can't be used; absent if there is none.
    pub found: Option<Result<(Record, String), RecordError>>,
}

/// Reads the records of a folder from a copy in memory, without changing the folder.
///
/// # Errors
///
/// When the file can't be read, or is not a readable database.
pub fn inspect(folder: &Path) -> Result<Vec<InspectedRecord>, StoreError> {
    let store = Store::copy(
        folder,
        Owner {
            name: String::new(),
            settings: 0,
        },
    )?;
    let inspect = |kind| {
        let bytes = store.read_bytes(kind)?;
        Ok(InspectedRecord {
            kind,
            found: bytes.map(|b| Record::decode(&b, kind, None)),
        })
    };
    Kind::ALL.into_iter().map(inspect).collect()
}
