//! CPU time and memory of a process, read from `/proc` on Linux.
use std::fs;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// CPU time used so far, in milliseconds.
    pub cpu_ms: u64,
    /// Peak resident memory, in kilobytes.
    pub peak_kb: u64,
}

/// Duration of a clock tick in `/proc/PID/stat`, in milliseconds; Linux reports 100 ticks per second to user space.
const CLOCK_TICK_MS: u64 = 10;
/// Number of fields in `/proc/PID/stat` between the program name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Reads the usage of a process; `None` if the system does not report it.
pub(crate) fn read_process(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage {
        cpu_ms: cpu_ms(&stat)?,
        peak_kb: peak_kb(&status)?,
    })
}

fn cpu_ms(stat: &str) -> Option<u64> {
    // The fields follow the program name, which is enclosed in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some((user + system) * CLOCK_TICK_MS)
}

fn peak_kb(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
