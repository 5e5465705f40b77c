//! The store: recovery, appending, checkpoints.
use crate::{
    directory::{Directory, FileName},
    format,
};
use std::io;

/// Why the disk did not do what it was asked to.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The files can't be read at the start.
    #[error("can't read {file}: {source}")]
    Read {
        /// The file.
        file: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// Something that was confirmed to be kept is not there any more: the disk must not be used, nor taken for an empty one.
    #[error(
        "{file} is damaged: it was kept once and can't be read now; the machine needs an empty data folder"
    )]
    Damaged {
        /// The file.
        file: &'static str,
    },
    /// Nothing new was kept; the call may be tried again.
    #[error("can't write {file}: {source}")]
    Write {
        /// The file.
        file: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// What was found on disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The parts of the last whole snapshot; `None` on an empty disk and before the first checkpoint.
    pub snapshot: Option<Vec<Vec<u8>>>,
    /// The records that came after it.
    pub records: Vec<Vec<u8>>,
}

impl Recovered {
    /// Whether nothing was ever kept here.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.records.is_empty()
    }
}

/// Snapshots and records on disk.
pub struct Store<D> {
    directory: D,
    generation: u64,
    /// Where the next record goes; what lies behind it is void.
    end: u64,
    /// What stands between the files and the next record.
    pending: Preparation,
}

/// What has to be done before the next record can be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Preparation {
    /// There is no log of this generation yet.
    start_log: bool,
    /// Bytes behind the last record may have to be cut off.
    cut_tail: bool,
    /// The slot of the next generation may be on disk though the checkpoint was refused. It must not count once records
    /// follow in the log of this generation.
    void_next_slot: bool,
}

fn odd(generation: u64) -> bool {
    generation % 2 == 1
}

fn write_error(file: FileName) -> impl Fn(io::Error) -> StoreError {
    move |source| StoreError::Write {
        file: file.text(),
        source,
    }
}

impl<D: Directory> Store<D> {
    /// Reads what is there. Nothing is written, so that a full disk can be read too.
    ///
    /// # Errors
    /// When files can't be read, or something that was kept is not there any more.
    pub fn open(mut directory: D) -> Result<(Store<D>, Recovered), StoreError> {
        let slots = [
            read(&mut directory, FileName::Slot(false))?,
            read(&mut directory, FileName::Slot(true))?,
        ];
        let logs = [
            read(&mut directory, FileName::Log(false))?,
            read(&mut directory, FileName::Log(true))?,
        ];
        let whole = slots.iter().filter_map(|bytes| format::read_slot(bytes));
        let newest = whole.max_by_key(|(generation, _)| *generation);
        let generation = newest.as_ref().map_or(0, |(generation, _)| *generation);
        find_damage(generation, &slots, &logs)?;
        let log = &logs[usize::from(odd(generation))];
        let mut store = Store {
            directory,
            generation,
            end: 0,
            pending: Preparation::default(),
        };
        let records = match format::read_log(generation, log) {
            Some((records, end)) => {
                store.end = end as u64;
                store.pending.cut_tail = end < log.len();
                records
            }
            None => {
                store.end = format::LOG_HEADER as u64;
                store.pending.start_log = true;
                Vec::new()
            }
        };
        let snapshot = newest.map(|(_, parts)| parts);
        Ok((store, Recovered { snapshot, records }))
    }

    /// Keeps records: when this returns they last.
    ///
    /// # Errors
    /// When the disk refuses; then none of them counts, and the call may be tried again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.prepare()?;
        let mut bytes = Vec::new();
        for record in records {
            format::push_record(&mut bytes, self.generation, record);
        }
        let log = FileName::Log(odd(self.generation));
        // What a sync has refused once may never reach the disk, even if a later sync is confirmed: it is written anew.
        self.pending.cut_tail = true;
        self.directory
            .write_at(log, self.end, &bytes)
            .map_err(write_error(log))?;
        self.directory.sync(log).map_err(write_error(log))?;
        self.pending.cut_tail = false;
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all that was kept by a snapshot, of which one part at a time is in memory.
    ///
    /// # Errors
    /// When the disk refuses; then all that was kept before stands, and appending goes on.
    pub fn checkpoint(
        &mut self,
        parts: impl IntoIterator<Item = Vec<u8>>,
    ) -> Result<(), StoreError> {
        let generation = self.generation + 1;
        self.start_log(generation)?;
        self.pending.void_next_slot = true;
        let slot = FileName::Slot(odd(generation));
        self.directory
            .overwrite(slot, &[])
            .map_err(write_error(slot))?;
        let mut header = format::SlotHeader::new(generation);
        for part in parts {
            let (place, bytes) = header.add(&part);
            self.directory
                .write_at(slot, place, &bytes)
                .map_err(write_error(slot))?;
        }
        // The header comes last: without it no part counts.
        self.directory
            .write_at(slot, 0, &header.finish())
            .map_err(write_error(slot))?;
        self.directory.sync(slot).map_err(write_error(slot))?;
        self.generation = generation;
        self.end = format::LOG_HEADER as u64;
        self.pending = Preparation::default();
        Ok(())
    }

    /// Bytes of records since the last checkpoint.
    pub fn log_bytes(&self) -> u64 {
        self.end.saturating_sub(format::LOG_HEADER as u64)
    }

    /// Gives the files back.
    pub fn into_directory(self) -> D {
        self.directory
    }

    fn start_log(&mut self, generation: u64) -> Result<(), StoreError> {
        let log = FileName::Log(odd(generation));
        self.directory
            .overwrite(log, &format::empty_log(generation))
            .map_err(write_error(log))?;
        self.directory.sync(log).map_err(write_error(log))
    }

    /// Makes the log ready for the next record.
    fn prepare(&mut self) -> Result<(), StoreError> {
        if self.pending.void_next_slot {
            let slot = FileName::Slot(odd(self.generation + 1));
            self.directory
                .overwrite(slot, &[])
                .map_err(write_error(slot))?;
            self.directory.sync(slot).map_err(write_error(slot))?;
            self.pending.void_next_slot = false;
        }
        if self.pending.start_log {
            self.start_log(self.generation)?;
            self.pending.start_log = false;
        }
        if self.pending.cut_tail {
            let log = FileName::Log(odd(self.generation));
            self.directory
                .truncate(log, self.end)
                .map_err(write_error(log))?;
            self.directory.sync(log).map_err(write_error(log))?;
            self.pending.cut_tail = false;
        }
        Ok(())
    }
}

/// Looks for signs that a newer slot than the one that was found had been confirmed: records follow it, or another slot
/// was begun, which only happens once the one before is kept.
fn find_damage(found: u64, slots: &[Vec<u8>; 2], logs: &[Vec<u8>; 2]) -> Result<(), StoreError> {
    for log in logs {
        let Some(generation) = format::log_generation(log).filter(|generation| *generation > found)
        else {
            continue;
        };
        let records = format::read_log(generation, log).map_or(0, |(records, _)| records.len());
        if records > 0 {
            return Err(StoreError::Damaged {
                file: FileName::Slot(odd(generation)).text(),
            });
        }
    }
    // The first slot to be written is the odd one.
    if found == 0 && !slots[0].is_empty() {
        return Err(StoreError::Damaged {
            file: FileName::Slot(true).text(),
        });
    }
    Ok(())
}

fn read<D: Directory>(directory: &mut D, file: FileName) -> Result<Vec<u8>, StoreError> {
    let bytes = directory.read(file).map_err(|source| StoreError::Read {
        file: file.text(),
        source,
    })?;
    Ok(bytes.unwrap_or_default())
}
