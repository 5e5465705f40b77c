//! The store: recovery, appending of records and checkpoints.
use crate::{
    directory::{Directory, FileName},
    error::StoreError,
    format::{self, SlotHeader},
    generation::{Generation, Parity},
};
use std::io;

/// State recovered from disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Chunks of the last complete snapshot; `None` on an empty disk and before the first checkpoint.
    pub snapshot: Option<Vec<Vec<u8>>>,
    /// Records appended after the snapshot.
    pub records: Vec<Vec<u8>>,
}

impl Recovered {
    /// Whether neither a snapshot nor any record was found.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.records.is_empty()
    }
}

/// Snapshots and records on disk.
pub struct Store<D> {
    files: StoreFiles<D>,
    generation: Generation,
    /// Offset of the next record in the log; bytes after it are invalid.
    log_end: u64,
    preparation: Preparation,
}

/// Steps required before the next record can be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Preparation {
    /// The log of this generation does not exist yet.
    start_log: bool,
    /// The log may contain bytes after the last valid record.
    truncate_log: bool,
    /// The slot of the next generation may be on disk although its checkpoint failed. It must be cleared before records
    /// are appended to this generation's log, or recovery would prefer the slot and lose them.
    clear_next_slot: bool,
}

impl<D: Directory> Store<D> {
    /// Opens a store and recovers its state. Writes nothing, so that a full disk can be opened too.
    ///
    /// # Errors
    /// When a file can't be read, or confirmed content is missing.
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

    /// Returns the valid records of a log, and records the steps required before the next append.
    fn recover_log(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let Some(log) = format::read_log(self.generation, bytes) else {
            self.preparation.start_log = true;
            return Vec::new();
        };
        self.log_end = log.end as u64;
        self.preparation.truncate_log = log.end < bytes.len();
        log.records
    }

    /// Appends records, which are durable when this returns.
    ///
    /// # Errors
    /// When a file can't be written. Then none of the records is valid, and the call may be retried.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.prepare()?;
        let mut bytes = Vec::new();
        for record in records {
            format::push_record(&mut bytes, self.generation, record);
        }
        let log = FileName::Log(self.generation.parity());
        // After a failed sync the data may never reach the disk, even if a later sync succeeds, so it must be
        // rewritten.
        self.preparation.truncate_log = true;
        self.files.write_at(log, self.log_end, &bytes)?;
        self.files.sync(log)?;
        self.preparation.truncate_log = false;
        self.log_end += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the stored state by a snapshot. Only one chunk of it is in memory at a time.
    ///
    /// # Errors
    /// When a file can't be written. Then the previous state stays valid, and records can still be appended.
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
        // The header is written last: without it the slot is invalid.
        self.files.write_at(slot, 0, &header.finish())?;
        self.files.sync(slot)?;
        self.generation = generation;
        self.log_end = format::LOG_HEADER_BYTES as u64;
        self.preparation = Preparation::default();
        Ok(())
    }

    /// Size of the records since the last checkpoint, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_end.saturating_sub(format::LOG_HEADER_BYTES as u64)
    }

    /// Returns the directory.
    pub fn into_directory(self) -> D {
        self.files.directory
    }

    /// Performs the steps required before the next record can be written.
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

/// Content of all files when the store is opened, empty for missing files. Indexed by parity: even, then odd.
struct FileContents {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

impl FileContents {
    /// Content of the log that a generation uses.
    fn log(&self, generation: Generation) -> &[u8] {
        match generation.parity() {
            Parity::Even => &self.logs[0],
            Parity::Odd => &self.logs[1],
        }
    }

    /// Detects that a slot newer than the found one had been confirmed: its log contains records, or a later slot was
    /// started, which happens only after the previous slot is durable.
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
        // The first checkpoint writes the odd slot, so content in the even slot implies that the odd one was confirmed.
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

/// Wraps a directory so that errors contain the file name.
struct StoreFiles<D> {
    directory: D,
}

impl<D: Directory> StoreFiles<D> {
    /// The content of a file; empty if it does not exist.
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

    /// Creates an empty, durable log for a generation.
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
