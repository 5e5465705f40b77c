//! A disk that does wrong on demand: for drills, and for tests with whole processes.
//!
//! A file says what it does wrong, looked at with every access; without the file nothing. Its one line is `full`
//! (nothing can be written), `failing` (nothing can be read, written or synced), `slow 300ms` (every access takes that
//! much longer) or `unsynced` (what was not synced is lost, kept or torn when the process is killed, as when the power
//! goes). Anything else fails every access with a message that says so.
use rand::Rng;
use redb::StorageBackend;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What survives of a torn write is a number of these, in bytes.
const SECTOR: usize = 512;

/// Who says what the disk does wrong.
#[derive(Clone, Debug)]
pub struct Drill(PathBuf);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Well,
    Full,
    Failing,
    Slow(Duration),
    Unsynced,
}

impl Drill {
    /// The file that says it; it need not be there yet.
    pub fn told_by(file: &Path) -> Drill {
        Drill(file.to_path_buf())
    }

    fn does(&self) -> io::Result<Does> {
        let text = match std::fs::read_to_string(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Does::Well),
            text => text?,
        };
        let unknown =
            || io::Error::other(format!("drill {}: {:?} is no known fault", self.0.display(), text.trim()));
        match text.split_whitespace().collect::<Vec<_>>()[..] {
            [] => Ok(Does::Well),
            ["full"] => Ok(Does::Full),
            ["failing"] => Ok(Does::Failing),
            ["unsynced"] => Ok(Does::Unsynced),
            ["slow", span] => humantime::parse_duration(span).map(Does::Slow).map_err(|_| unknown()),
            _ => Err(unknown()),
        }
    }
}

/// Storage that does as a drill says.
#[derive(Debug)]
pub struct Drilled<B> {
    disk: B,
    drill: Option<Drill>,
    /// Writes that reach the disk with the next sync.
    held: Mutex<Vec<(u64, Vec<u8>)>>,
}

impl<B: StorageBackend> Drilled<B> {
    /// Storage on this disk, well or as the drill says.
    pub fn new(disk: B, drill: Option<Drill>) -> Drilled<B> {
        Drilled { disk, drill, held: Mutex::default() }
    }

    fn held(&self) -> MutexGuard<'_, Vec<(u64, Vec<u8>)>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What an access meets.
    fn meets(&self, writes: bool) -> io::Result<Does> {
        let Some(drill) = &self.drill else { return Ok(Does::Well) };
        let does = drill.does()?;
        match does {
            Does::Failing => Err(io::Error::other("input/output error (drill)")),
            Does::Full if writes => Err(io::Error::new(io::ErrorKind::StorageFull, "no space left (drill)")),
            Does::Slow(span) => {
                std::thread::sleep(span);
                Ok(does)
            }
            does => Ok(does),
        }
    }

    fn write_held(&self) -> io::Result<()> {
        let mut held = self.held();
        for (offset, data) in held.iter() {
            self.disk.write(*offset, data)?;
        }
        held.clear();
        Ok(())
    }
}

impl<B: StorageBackend> StorageBackend for Drilled<B> {
    fn len(&self) -> io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.meets(false)?;
        self.disk.read(offset, out)?;
        let end = offset + out.len() as u64;
        for (at, data) in self.held().iter() {
            let (from, to) = ((*at).max(offset), (at + data.len() as u64).min(end));
            if from < to {
                let part = &data[(from - at) as usize..(to - at) as usize];
                out[(from - offset) as usize..(to - offset) as usize].copy_from_slice(part);
            }
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.meets(true)?;
        self.disk.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.meets(false)?;
        self.write_held()?;
        self.disk.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        if self.meets(true)? != Does::Unsynced {
            self.write_held()?;
            return self.disk.write(offset, data);
        }
        let rng = &mut rand::thread_rng();
        // A disk may write early what it was not told to sync, or a part of it.
        match rng.gen_range(0..3) {
            0 => self.disk.write(offset, data)?,
            1 if data.len() > SECTOR => {
                self.disk.write(offset, &data[..rng.gen_range(1..=data.len() / SECTOR) * SECTOR])?;
            }
            _ => {}
        }
        self.held().push((offset, data.to_vec()));
        Ok(())
    }

    fn close(&self) -> io::Result<()> {
        self.write_held()?;
        self.disk.close()
    }
}
