//! Resource usage of a process from `/proc`: CPU time, memory, file descriptors and bytes written to disk.
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    /// CPU time of all threads, user and system, in nanoseconds.
    pub processor_ns: u64,
    /// Resident set size, in kB.
    pub resident_kb: u64,
    /// Proportional set size, in kB.
    pub proportional_kb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Bytes written to disk.
    pub written: u64,
}

impl Usage {
    /// Reads the current usage.
    pub(super) fn of(pid: u32) -> io::Result<Usage> {
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let memory = std::fs::read_to_string(folder.join("smaps_rollup"))?;
        let disk = std::fs::read_to_string(folder.join("io"))?;
        Ok(Usage {
            processor_ns: processor_ns(&folder)?,
            resident_kb: field(&memory, "Rss:")?,
            proportional_kb: field(&memory, "Pss:")?,
            descriptors: std::fs::read_dir(folder.join("fd"))?.count() as u64,
            written: field(&disk, "write_bytes:")?,
        })
    }
}

/// Returns the CPU time of the calling thread.
pub(super) fn thread_cpu_time() -> io::Result<Duration> {
    scheduled_ns(Path::new("/proc/thread-self/schedstat")).map(Duration::from_nanos)
}

/// Returns the sum over all threads. `stat` has the same time only in ticks of 10 ms, too coarse for an idle balancer.
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
        .ok_or_else(|| missing("CPU time in schedstat"))
}

fn field(text: &str, name: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|rest| rest.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| missing(name))
}

fn missing(name: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("missing or malformed value in /proc: {name}"),
    )
}
