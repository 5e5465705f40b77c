//! The store: recovery at the start, appending of records, checkpoints.
use crate::{
    directory::{Directory, FileName},
    error::StoreError,
    format::{self, SlotHeader},
    generation::{Generation, Parity},
};
use std::io;

/// What was found on disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Chunks of the last complete snapshot; `None` on an empty disk and before the first checkpoint.
    pub snapshot: Option<Vec<Vec<u8>>>,
    /// Records that were appended after it.
    pub records: Vec<Vec<u8>>,
}

impl Recovered {
    /// Whether nothing was ever stored here.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.records.is_empty()
    }
}

/// Snapshots and records on disk.
pub struct Store<D> {
    files: StoreFiles<D>,
    generation: Generation,
    /// Offset of the next record in the log; bytes after it are void.
    log_end: u64,
    preparation: Preparation,
}

/// What has to be done before the next record can be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Preparation {
    /// There is no log of this generation yet.
    start_log: bool,
    /// There may be bytes after the last record.
    truncate_log: bool,
    /// The slot of the next generation may be on disk though its checkpoint failed. It must not count once records
    /// follow in the log of this generation.
    clear_next_slot: bool,
}

impl<D: Directory> Store<D> {
    /// Recovers what is on disk. Nothing is written, so that a full disk can be read too.
    ///
    /// # Errors
    /// When files can't be read, or something that was confirmed is not there any more.
    pub fn open(directory: D) -> Result<(Store<D>, Recovered), StoreError> {
        let mut files = StoreFiles { directory };
        let contents = FileContents {
            slots: [
                files.read(FileName::Slot(Parity::Even))?,
                files.read(FileName::Slot(Parity::Odd))?,
            ],
            logs: [
                files.read(FileName::Log(Parity::Even))?,
                files.read(FileName::Log(Parity::Odd))?,
            ],
        };
        let newest = contents
            .slots
            .iter()
            .filter_map(|bytes| format::read_slot(bytes))
            .max_by_key(|slot| slot.generation);
        let generation = newest
            .as_ref()
            .map_or_else(Generation::default, |slot| slot.generation);
        contents.check_damage(generation)?;
        let mut store = Store {
            files,
            generation,
            log_end: format::LOG_HEADER_BYTES as u64,
            preparation: Preparation::default(),
        };
        let recovered = Recovered {
            snapshot: newest.map(|slot| slot.chunks),
            records: store.recover_log(contents.log(generation)),
        };
        Ok((store, recovered))
    }

    /// Takes the valid records of a log, and notes what has to be done before others can follow.
    fn recover_log(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let Some(log) = format::read_log(self.generation, bytes) else {
            self.preparation.start_log = true;
            return Vec::new();
        };
        self.log_end = log.end as u64;
        self.preparation.truncate_log = log.end < bytes.len();
        log.records
    }

    /// Appends records: when this returns they are durable.
    ///
    /// # Errors
    /// When the disk refuses; then none of them counts, and the call may be retried.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.prepare()?;
        let mut bytes = Vec::new();
        for record in records {
            format::push_record(&mut bytes, self.generation, record);
        }
        let log = FileName::Log(self.generation.parity());
        // What a sync has refused once may never reach the disk, even if a later sync is confirmed: it is written anew.
        self.preparation.truncate_log = true;
        self.files.write_at(log, self.log_end, &bytes)?;
        self.files.sync(log)?;
        self.preparation.truncate_log = false;
        self.log_end += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all that was stored by a snapshot, of which one chunk at a time is in memory.
    ///
    /// # Errors
    /// When the disk refuses; then all that was stored before stays valid, and appending goes on.
    pub fn checkpoint(
        &mut self,
        chunks: impl IntoIterator<Item = Vec<u8>>,
    ) -> Result<(), StoreError> {
        let generation = self.generation.next();
        self.files.start_log(generation)?;
        self.preparation.clear_next_slot = true;
        let slot = FileName::Slot(generation.parity());
        self.files.overwrite(slot, &[])?;
        let mut header = SlotHeader::new(generation);
        for chunk in chunks {
            let encoded = header.add(&chunk);
            self.files.write_at(slot, encoded.offset, &encoded.bytes)?;
        }
        // The header comes last: without it no chunk counts.
        self.files.write_at(slot, 0, &header.finish())?;
        self.files.sync(slot)?;
        self.generation = generation;
        self.log_end = format::LOG_HEADER_BYTES as u64;
        self.preparation = Preparation::default();
        Ok(())
    }

    /// Bytes of records since the last checkpoint.
    pub fn log_bytes(&self) -> u64 {
        self.log_end.saturating_sub(format::LOG_HEADER_BYTES as u64)
    }

    /// Gives the directory back.
    pub fn into_directory(self) -> D {
        self.files.directory
    }

    /// Makes the log ready for the next record.
    fn prepare(&mut self) -> Result<(), StoreError> {
        if self.preparation.clear_next_slot {
            let slot = FileName::Slot(self.generation.next().parity());
            self.files.overwrite(slot, &[])?;
            self.files.sync(slot)?;
            self.preparation.clear_next_slot = false;
        }
        if self.preparation.start_log {
            self.files.start_log(self.generation)?;
            self.preparation.start_log = false;
        }
        if self.preparation.truncate_log {
            let log = FileName::Log(self.generation.parity());
            self.files.truncate(log, self.log_end)?;
            self.files.sync(log)?;
            self.preparation.truncate_log = false;
        }
        Ok(())
    }
}

/// The bytes of all files at the start; empty for those that do not exist. Even generations come first.
struct FileContents {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

impl FileContents {
    /// The log that a generation uses.
    fn log(&self, generation: Generation) -> &[u8] {
        match generation.parity() {
            Parity::Even => &self.logs[0],
            Parity::Odd => &self.logs[1],
        }
    }

    /// Looks for signs that a newer slot than the one that was found had been confirmed: records follow it, or another
    /// slot was begun, which only happens once the one before is durable.
    fn check_damage(&self, found: Generation) -> Result<(), StoreError> {
        for log in &self.logs {
            let generation = format::log_generation(log);
            let Some(newer) = generation.filter(|generation| *generation > found) else {
                continue;
            };
            let content = format::read_log(newer, log);
            if content.is_some_and(|content| !content.records.is_empty()) {
                return Err(damaged(FileName::Slot(newer.parity())));
            }
        }
        // The first slot to be written is the odd one.
        let [even_slot, _] = &self.slots;
        if found == Generation::default() && !even_slot.is_empty() {
            return Err(damaged(FileName::Slot(Parity::Odd)));
        }
        Ok(())
    }
}

fn damaged(file: FileName) -> StoreError {
    StoreError::Damaged {
        file: file.as_str(),
    }
}

/// A directory whose errors name the file.
struct StoreFiles<D> {
    directory: D,
}

impl<D: Directory> StoreFiles<D> {
    /// The bytes of a file; empty when it does not exist.
    fn read(&mut self, file: FileName) -> Result<Vec<u8>, StoreError> {
        let bytes = self
            .directory
            .read(file)
            .map_err(|source| StoreError::Read {
                file: file.as_str(),
                source,
            })?;
        Ok(bytes.unwrap_or_default())
    }

    fn overwrite(&mut self, file: FileName, bytes: &[u8]) -> Result<(), StoreError> {
        self.directory
            .overwrite(file, bytes)
            .map_err(write_error(file))
    }

    fn write_at(&mut self, file: FileName, offset: u64, bytes: &[u8]) -> Result<(), StoreError> {
        self.directory
            .write_at(file, offset, bytes)
            .map_err(write_error(file))
    }

    fn truncate(&mut self, file: FileName, length: u64) -> Result<(), StoreError> {
        self.directory
            .truncate(file, length)
            .map_err(write_error(file))
    }

    fn sync(&mut self, file: FileName) -> Result<(), StoreError> {
        self.directory.sync(file).map_err(write_error(file))
    }

    /// Makes the log of a generation durable and empty.
    fn start_log(&mut self, generation: Generation) -> Result<(), StoreError> {
        let log = FileName::Log(generation.parity());
        self.overwrite(log, &format::empty_log(generation))?;
        self.sync(log)
    }
}

fn write_error(file: FileName) -> impl Fn(io::Error) -> StoreError {
    move |source| StoreError::Write {
        file: file.as_str(),
        source,
    }
}
