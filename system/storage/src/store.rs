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
    /// The last whole snapshot; `None` on an empty disk and before the first checkpoint.
    pub snapshot: Option<Vec<u8>>,
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
    /// Bytes behind `end` may have to be cut off before the next write.
    dirty: bool,
}

fn odd(generation: u64) -> bool {
    generation % 2 == 1
}

fn write_error(file: FileName) -> impl Fn(io::Error) -> StoreError {
    move |source| StoreError::Write { file: file.text(), source }
}

impl<D: Directory> Store<D> {
    /// Reads what is there and makes the store ready for more.
    ///
    /// # Errors
    /// When files can't be read, or an empty log can't be made.
    pub fn open(mut directory: D) -> Result<(Store<D>, Recovered), StoreError> {
        let mut newest: Option<(u64, Vec<u8>)> = None;
        for file in [FileName::Slot(false), FileName::Slot(true)] {
            let bytes = read(&mut directory, file)?;
            if let Some((generation, snapshot)) = format::read_slot(&bytes) {
                if newest.as_ref().is_none_or(|(best, _)| generation > *best) {
                    newest = Some((generation, snapshot.to_vec()));
                }
            }
        }
        let (generation, snapshot) = match newest {
            Some((generation, snapshot)) => (generation, Some(snapshot)),
            None => (0, None),
        };
        let log = FileName::Log(odd(generation));
        let bytes = read(&mut directory, log)?;
        let found = format::read_log(generation, &bytes);
        let mut store = Store { directory, generation, end: 0, dirty: false };
        let records = match found {
            Some((records, end)) => {
                store.end = end as u64;
                store.dirty = end < bytes.len();
                records
            }
            None => {
                store.start_log(generation)?;
                store.end = format::LOG_HEADER as u64;
                Vec::new()
            }
        };
        store.clean()?;
        Ok((store, Recovered { snapshot, records }))
    }

    /// Keeps records: when this returns they last.
    ///
    /// # Errors
    /// When the disk refuses; then none of them counts, and the call may be tried again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.clean()?;
        let mut bytes = Vec::new();
        for record in records {
            format::push_record(&mut bytes, self.generation, record);
        }
        let log = FileName::Log(odd(self.generation));
        self.dirty = true;
        self.directory.write_at(log, self.end, &bytes).map_err(write_error(log))?;
        self.directory.sync(log).map_err(write_error(log))?;
        self.dirty = false;
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all that was kept by a snapshot.
    ///
    /// # Errors
    /// When the disk refuses; then all that was kept before stands, and appending goes on.
    pub fn checkpoint(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        let generation = self.generation + 1;
        self.start_log(generation)?;
        let slot = FileName::Slot(odd(generation));
        let bytes = format::slot(generation, snapshot);
        self.directory.overwrite(slot, &bytes).map_err(write_error(slot))?;
        self.directory.sync(slot).map_err(write_error(slot))?;
        self.generation = generation;
        self.end = format::LOG_HEADER as u64;
        self.dirty = false;
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
        self.directory.overwrite(log, &format::empty_log(generation)).map_err(write_error(log))?;
        self.directory.sync(log).map_err(write_error(log))
    }

    /// Cuts off what a torn or refused write has left behind the last record.
    fn clean(&mut self) -> Result<(), StoreError> {
        if !self.dirty {
            return Ok(());
        }
        let log = FileName::Log(odd(self.generation));
        self.directory.truncate(log, self.end).map_err(write_error(log))?;
        self.directory.sync(log).map_err(write_error(log))?;
        self.dirty = false;
        Ok(())
    }
}

fn read<D: Directory>(directory: &mut D, file: FileName) -> Result<Vec<u8>, StoreError> {
    let bytes = directory.read(file).map_err(|source| StoreError::Read { file: file.text(), source })?;
    Ok(bytes.unwrap_or_default())
}
