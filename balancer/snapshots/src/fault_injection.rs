//! Disk fault injection, for exercises in production and for tests with complete processes.
//!
//! A file names the fault to inject, and is read on every access; without the file there is no fault. It has one line:
//! `full` (writes fail), `failing` (reads, writes and syncs fail), `slow 300ms` (every access is delayed by that time)
//! or `unsynced` (writes that were not synced are lost, retained or torn when the process is killed, as on power loss).
//! With any other content every access fails with an error that quotes it.
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use redb::StorageBackend;

/// The granularity of torn writes.
const SECTOR_BYTES: usize = 512;

/// The file that names the fault to inject.
#[derive(Clone, Debug)]
pub struct FaultFile(PathBuf);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Full,
    Failing,
    Slow(Duration),
    Unsynced,
}

impl FaultFile {
    /// Creates the source of faults from this file, which need not exist yet.
    pub fn new(file: &Path) -> FaultFile {
        FaultFile(file.to_path_buf())
    }

    fn fault(&self) -> io::Result<Fault> {
        let text = match std::fs::read_to_string(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Fault::None),
            text => text?,
        };
        let unknown = || {
            io::Error::other(format!(
                "fault file {}: unknown fault {:?}",
                self.0.display(),
                text.trim()
            ))
        };
        match text.split_whitespace().collect::<Vec<_>>()[..] {
            [] => Ok(Fault::None),
            ["full"] => Ok(Fault::Full),
            ["failing"] => Ok(Fault::Failing),
            ["unsynced"] => Ok(Fault::Unsynced),
            ["slow", span] => humantime::parse_duration(span)
                .map(Fault::Slow)
                .map_err(|_| unknown()),
            _ => Err(unknown()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// Reads and syncs.
    Read,
    /// Writes and changes of the file length.
    Write,
}

/// A write that was not synced.
#[derive(Debug)]
struct Write {
    offset: u64,
    data: Vec<u8>,
}

impl Write {
    /// Copies the part of this write that overlaps the range read at `offset` into `out`.
    fn overlay(&self, offset: u64, out: &mut [u8]) {
        let start = self.offset.max(offset);
        let end = (self.offset + self.data.len() as u64).min(offset + out.len() as u64);
        if start < end {
            let written = &self.data[(start - self.offset) as usize..(end - self.offset) as usize];
            out[(start - offset) as usize..(end - offset) as usize].copy_from_slice(written);
        }
    }
}

/// A storage backend that injects faults.
#[derive(Debug)]
pub struct FaultyStorage<B> {
    disk: B,
    fault_file: Option<FaultFile>,
    /// Writes that reach the disk at the next sync, in order.
    unsynced_writes: Mutex<Vec<Write>>,
}

impl<B: StorageBackend> FaultyStorage<B> {
    /// Wraps a disk; without a fault file no faults are injected.
    pub fn new(disk: B, fault_file: Option<FaultFile>) -> FaultyStorage<B> {
        FaultyStorage {
            disk,
            fault_file,
            unsynced_writes: Mutex::default(),
        }
    }

    fn unsynced_writes(&self) -> MutexGuard<'_, Vec<Write>> {
        self.unsynced_writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the current fault to an access and returns it.
    fn inject(&self, access: Access) -> io::Result<Fault> {
        let Some(fault_file) = &self.fault_file else {
            return Ok(Fault::None);
        };
        let fault = fault_file.fault()?;
        match fault {
            Fault::Failing => Err(io::Error::other("input/output error (drill)")),
            Fault::Full if access == Access::Write => Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "no space left (drill)",
            )),
            Fault::Slow(span) => {
                std::thread::sleep(span);
                Ok(fault)
            }
            fault => Ok(fault),
        }
    }

    fn write_unsynced(&self) -> io::Result<()> {
        let mut unsynced_writes = self.unsynced_writes();
        for write in unsynced_writes.iter() {
            self.disk.write(write.offset, &write.data)?;
        }
        unsynced_writes.clear();
        Ok(())
    }
}

impl<B: StorageBackend> StorageBackend for FaultyStorage<B> {
    fn len(&self) -> io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inject(Access::Read)?;
        self.disk.read(offset, out)?;
        for write in self.unsynced_writes().iter() {
            write.overlay(offset, out);
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inject(Access::Write)?;
        self.disk.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.inject(Access::Read)?;
        self.write_unsynced()?;
        self.disk.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        if self.inject(Access::Write)? != Fault::Unsynced {
            self.write_unsynced()?;
            return self.disk.write(offset, data);
        }
        let rng = &mut rand::thread_rng();
        // A disk may write unsynced data early, completely or only some sectors of it.
        match rng.gen_range(0..3) {
            0 => self.disk.write(offset, data)?,
            1 if data.len() > SECTOR_BYTES => {
                let sectors = rng.gen_range(1..=data.len() / SECTOR_BYTES);
                self.disk.write(offset, &data[..sectors * SECTOR_BYTES])?;
            }
            _ => {}
        }
        self.unsynced_writes().push(Write {
            offset,
            data: data.to_vec(),
        });
        Ok(())
    }

    fn close(&self) -> io::Result<()> {
        self.write_unsynced()?;
        self.disk.close()
    }
}
