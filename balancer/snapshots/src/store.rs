//! The database in its folder: opened, or set aside and begun anew; never a reason not to start.
use crate::drill::{Drill, Drilled};
use crate::record::{Kind, Owner, Record, Unfit};
use redb::backends::FileBackend;
use redb::{
    Database, DatabaseError, ReadableDatabase, StorageBackend, StorageError, TableDefinition,
    TableError,
};
use std::fs::OpenOptions;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// The database in the folder.
pub const FILE: &str = "state.redb";
/// Databases that were set aside are kept for a look, so many of them.
const ASIDE_MOST: usize = 3;
/// Memory that the database may use to keep pages, in bytes: there are only a few.
const CACHE: usize = 256 << 10;

/// What was found under a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Nothing was ever kept, or it was dropped.
    Nothing,
    /// A record of this owner.
    Record(Record),
    /// Something that can't be used.
    Unfit(Unfit),
}

/// Why there is no store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoStore {
    /// Another process holds it.
    Held,
    /// What is there is no database that can be read, and why.
    Broken(String),
    /// The disk does not let us, and why.
    Disk(String),
}

impl std::fmt::Display for NoStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NoStore::Held => f.write_str("another process holds it"),
            NoStore::Broken(what) => write!(f, "broken: {what}"),
            NoStore::Disk(what) => f.write_str(what),
        }
    }
}

/// Storage whose length is on the disk before anything is written that rests on it, and never shrinks.
///
/// redb's header says how long the file is and may reach the disk before a growth that was asked for ahead of it; a
/// power loss in between leaves a file that is too short for its header, which redb refuses. The tests of this crate
/// lose power there.
#[derive(Debug)]
struct Steady<B>(B);

impl<B: StorageBackend> StorageBackend for Steady<B> {
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

type Opener = Box<dyn Fn() -> Result<Database, NoStore> + Send>;

/// Records on a disk.
pub struct Store {
    /// Nothing after a failure, until it could be opened again: redb goes on with nothing after one.
    database: Option<Database>,
    opener: Option<Opener>,
    owner: Owner,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.close();
    }
}

/// What became of opening a folder.
pub struct Opened {
    /// The store.
    pub store: Store,
    /// Where a broken one was set aside, and what was wrong with it.
    pub aside: Option<(PathBuf, String)>,
}

/// What the disk said of a file.
fn disk(path: &Path) -> impl Fn(io::Error) -> NoStore + '_ {
    move |e| NoStore::Disk(format!("{}: {e}", path.display()))
}

fn no_store(e: DatabaseError) -> NoStore {
    match e {
        DatabaseError::DatabaseAlreadyOpen => NoStore::Held,
        DatabaseError::Storage(StorageError::Io(e))
            if e.kind() != std::io::ErrorKind::InvalidData =>
        {
            NoStore::Disk(e.to_string())
        }
        e => NoStore::Broken(e.to_string()),
    }
}

/// Runs what reads bytes that may be anything: a panic in there means that they can't be read.
fn guarded<T>(work: impl FnOnce() -> Result<T, NoStore>) -> Result<T, NoStore> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(NoStore::Broken("its pages make no sense".into())))
}

fn database(backend: impl StorageBackend) -> Result<Database, NoStore> {
    let builder = || {
        Database::builder()
            .set_cache_size(CACHE)
            .create_with_backend(Steady(backend))
    };
    guarded(|| builder().map_err(no_store))
}

impl Store {
    /// Opens the store in a folder, or begins one. What can't be read is set aside first.
    pub fn open(folder: &Path, owner: Owner, drill: Option<Drill>) -> Result<Opened, NoStore> {
        let path = folder.join(FILE);
        let file = {
            let path = path.clone();
            move || {
                let mut options = OpenOptions::new();
                options.read(true).write(true).create(true).truncate(false);
                let file = options.open(&path).map_err(disk(&path))?;
                Ok(Drilled::new(
                    FileBackend::new(file).map_err(no_store)?,
                    drill.clone(),
                ))
            }
        };
        match Store::through(file.clone(), owner.clone()) {
            Ok(store) => Ok(Opened { store, aside: None }),
            Err(NoStore::Broken(what)) => {
                let aside = set_aside(folder).map_err(disk(&path))?;
                Ok(Opened {
                    store: Store::through(file, owner)?,
                    aside: Some((aside, what)),
                })
            }
            Err(e) => Err(e),
        }
    }

    /// On storage that is made anew after each failure: redb wants to be opened again then.
    pub fn through<B: StorageBackend>(
        make: impl Fn() -> Result<B, NoStore> + Send + 'static,
        owner: Owner,
    ) -> Result<Store, NoStore> {
        let opener = Box::new(move || database(make()?));
        Store::checked(Store {
            database: Some(opener()?),
            opener: Some(opener),
            owner,
        })
    }

    /// On any storage: the seam at which tests put faults between.
    pub fn on(backend: impl StorageBackend, owner: Owner) -> Result<Store, NoStore> {
        Store::checked(Store {
            database: Some(database(backend)?),
            opener: None,
            owner,
        })
    }

    /// A copy in memory of what a folder holds: nothing in the folder changes, whatever is done to the copy.
    pub fn copy(folder: &Path, owner: Owner) -> Result<Store, NoStore> {
        let path = folder.join(FILE);
        let bytes = std::fs::read(&path).map_err(disk(&path))?;
        let memory = redb::backends::InMemoryBackend::new();
        let filled = memory
            .set_len(bytes.len() as u64)
            .and_then(|()| memory.write(0, &bytes));
        filled.map_err(disk(&path))?;
        Store::on(memory, owner)
    }

    /// Reads every record once, which fails on a database that can't be read.
    fn checked(store: Store) -> Result<Store, NoStore> {
        guarded(|| {
            Kind::ALL
                .into_iter()
                .try_for_each(|kind| store.bytes(kind).map(drop))
        })?;
        Ok(store)
    }

    fn close(&mut self) {
        let database = self.database.take();
        // Closing writes; what can't be written then is repaired at the next opening.
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }

    fn database(&self) -> Result<&Database, NoStore> {
        self.database
            .as_ref()
            .ok_or_else(|| NoStore::Broken("closed".into()))
    }

    fn bytes(&self, kind: Kind) -> Result<Option<Vec<u8>>, NoStore> {
        let broken = |e: &dyn std::fmt::Display| NoStore::Broken(e.to_string());
        let read = self.database()?.begin_read().map_err(|e| broken(&e))?;
        let table = match read.open_table(RECORDS) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(broken(&e)),
        };
        let value = table.get(kind.name()).map_err(|e| broken(&e))?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    /// The record of a kind.
    pub fn get(&self, kind: Kind) -> Result<Found, NoStore> {
        let bytes = guarded(|| self.bytes(kind))?;
        Ok(
            match bytes.map(|b| Record::decode(&b, kind, Some(&self.owner.name))) {
                None => Found::Nothing,
                Some(Ok((record, _))) => Found::Record(record),
                Some(Err(unfit)) => Found::Unfit(unfit),
            },
        )
    }

    /// Writes payloads, all of them or none, and returns once they are on the disk.
    pub fn put(&mut self, payloads: &[(Kind, String)], now_ms: f64) -> Result<(), NoStore> {
        if let (None, Some(open)) = (&self.database, &self.opener) {
            self.database = Some(open()?);
        }
        let done = self.write(payloads, now_ms);
        if done.is_err() && self.opener.is_some() {
            self.close();
        }
        done
    }

    fn write(&self, payloads: &[(Kind, String)], now_ms: f64) -> Result<(), NoStore> {
        guarded(|| {
            let disk = |e: &dyn std::fmt::Display| NoStore::Disk(e.to_string());
            let write = self.database()?.begin_write().map_err(|e| disk(&e))?;
            {
                let mut table = write.open_table(RECORDS).map_err(|e| disk(&e))?;
                for (kind, payload) in payloads {
                    let record = Record {
                        payload: payload.clone(),
                        written_ms: now_ms,
                        settings: self.owner.settings,
                    };
                    let bytes = record.encode(*kind, &self.owner.name);
                    table
                        .insert(kind.name(), bytes.as_slice())
                        .map_err(|e| disk(&e))?;
                }
            }
            write.commit().map_err(|e| disk(&e))
        })
    }

    /// The fingerprint of the settings now.
    pub fn settings(&self) -> u32 {
        self.owner.settings
    }
}

/// Renames an unreadable database, and preserves the latest few for inspection.
fn set_aside(folder: &Path) -> std::io::Result<PathBuf> {
    let name = |n: usize| folder.join(format!("{FILE}.bad-{n}"));
    // The oldest goes, the others move up by one.
    match std::fs::remove_file(name(ASIDE_MOST)) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    for n in (1..ASIDE_MOST).rev() {
        match std::fs::rename(name(n), name(n + 1)) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    std::fs::rename(folder.join(FILE), name(1))?;
    Ok(name(1))
}

/// One record of a folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The kind.
    pub kind: Kind,
    /// The record and its owner, or why it can't be used; nothing if there is none.
    pub found: Option<Result<(Record, String), Unfit>>,
}

/// What a folder holds, without changing anything in it: it is read from a copy in memory.
pub fn look(folder: &Path) -> Result<Vec<Line>, NoStore> {
    let store = Store::copy(
        folder,
        Owner {
            name: String::new(),
            settings: 0,
        },
    )?;
    let line = |kind| {
        let bytes = store.bytes(kind)?;
        Ok(Line {
            kind,
            found: bytes.map(|b| Record::decode(&b, kind, None)),
        })
    };
    Kind::ALL.into_iter().map(line).collect()
}
