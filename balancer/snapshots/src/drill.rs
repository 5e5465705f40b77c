//! Fault injection for the disk: for drills, and for tests with whole processes.
//!
//! A file names the fault, read with every access; without the file there is none. Its one line is `full`
//! (nothing can be written), `failing` (nothing can be read, written or synced), `slow 300ms` (every access takes that
//! much longer) or `unsynced` (what was not synced is lost, kept or torn when the process is killed, as when the power
//! goes). Anything else fails every access with a message that names it.
use rand::Rng;
use redb::StorageBackend;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What survives of a torn write is a number of these, in bytes.
const SECTOR: usize = 512;

/// The file that names the fault of the disk.
#[derive(Clone, Debug)]
pub struct Drill(PathBuf);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Full,
    Failing,
    Slow(Duration),
    Unsynced,
}

impl Drill {
    /// A drill by this file, which need not exist yet.
    pub fn told_by(file: &Path) -> Drill {
        Drill(file.to_path_buf())
    }

    fn fault(&self) -> io::Result<Fault> {
        let text = match std::fs::read_to_string(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Fault::None),
            text => text?,
        };
        let unknown = || {
            io::Error::other(format!(
                "drill {}: {:?} is no known fault",
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

/// Storage with the faults of a drill.
#[derive(Debug)]
pub struct Drilled<B> {
    disk: B,
    drill: Option<Drill>,
    /// Writes that reach the disk with the next sync.
    unsynced_writes: Mutex<Vec<(u64, Vec<u8>)>>,
}

impl<B: StorageBackend> Drilled<B> {
    /// Storage on this disk, with the faults of a drill if there is one.
    pub fn new(disk: B, drill: Option<Drill>) -> Drilled<B> {
        Drilled {
            disk,
            drill,
            unsynced_writes: Mutex::default(),
        }
    }

    fn unsynced_writes(&self) -> MutexGuard<'_, Vec<(u64, Vec<u8>)>> {
        self.unsynced_writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the fault to an access.
    fn inject(&self, writes: bool) -> io::Result<Fault> {
        let Some(drill) = &self.drill else {
            return Ok(Fault::None);
        };
        let fault = drill.fault()?;
        match fault {
            Fault::Failing => Err(io::Error::other("input/output error (drill)")),
            Fault::Full if writes => Err(io::Error::new(
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
        for (offset, data) in unsynced_writes.iter() {
            self.disk.write(*offset, data)?;
        }
        unsynced_writes.clear();
        Ok(())
    }
}

impl<B: StorageBackend> StorageBackend for Drilled<B> {
    fn len(&self) -> io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inject(false)?;
        self.disk.read(offset, out)?;
        let end = offset + out.len() as u64;
        for (at, data) in self.unsynced_writes().iter() {
            let (from, to) = ((*at).max(offset), (at + data.len() as u64).min(end));
            if from < to {
                let part = &data[(from - at) as usize..(to - at) as usize];
                out[(from - offset) as usize..(to - offset) as usize].copy_from_slice(part);
            }
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inject(true)?;
        self.disk.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.inject(false)?;
        self.write_unsynced()?;
        self.disk.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        if self.inject(true)? != Fault::Unsynced {
            self.write_unsynced()?;
            return self.disk.write(offset, data);
        }
        let rng = &mut rand::thread_rng();
        // A disk may write early what is not synced, or a part of it.
        match rng.gen_range(0..3) {
            0 => self.disk.write(offset, data)?,
            1 if data.len() > SECTOR => {
                self.disk.write(
                    offset,
                    &data[..rng.gen_range(1..=data.len() / SECTOR) * SECTOR],
                )?;
            }
            _ => {}
        }
        self.unsynced_writes().push((offset, data.to_vec()));
        Ok(())
    }

    fn close(&self) -> io::Result<()> {
        self.write_unsynced()?;
        self.disk.close()
    }
}
