//! What the system's accounting says of a process: processor time, memory, descriptors and bytes to disk.
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a process has used so far, or holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    /// Time on a core of all its threads, in user and system mode, in nanoseconds.
    pub processor_ns: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Its proportional share of resident memory, in kilobytes.
    pub proportional_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Bytes it caused to be written to a disk.
    pub written: u64,
}

impl Usage {
    /// Reads it.
    pub(super) fn of(pid: u32) -> io::Result<Usage> {
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let memory = std::fs::read_to_string(folder.join("smaps_rollup"))?;
        let disk = std::fs::read_to_string(folder.join("io"))?;
        Ok(Usage {
            processor_ns: processor_ns(&folder)?,
            resident_kb: metric(&memory, "Rss:")?,
            proportional_kb: metric(&memory, "Pss:")?,
            descriptors: std::fs::read_dir(folder.join("fd"))?.count() as u64,
            written: metric(&disk, "write_bytes:")?,
        })
    }
}

/// Time on a core of the calling thread.
pub(super) fn thread_processor() -> io::Result<Duration> {
    scheduled_ns(Path::new("/proc/thread-self/schedstat")).map(Duration::from_nanos)
}

/// The sum over its threads: `stat` has the same time in ticks of 10 ms, too coarse for an idle balancer.
fn processor_ns(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for thread in std::fs::read_dir(folder.join("task"))? {
        sum += scheduled_ns(&thread?.path().join("schedstat"))?;
    }
    Ok(sum)
}

fn scheduled_ns(path: &Path) -> io::Result<u64> {
    let text = std::fs::read_to_string(path)?;
    text.split_whitespace()
        .next()
        .and_then(|ns| ns.parse().ok())
        .ok_or_else(|| missing("the time on a core"))
}

fn metric(text: &str, name: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|rest| rest.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| missing(name))
}

fn missing(what: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("/proc tells nothing of {what}"),
    )
}
