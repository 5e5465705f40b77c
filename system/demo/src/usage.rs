//! Processor time and memory of a process, as Linux reports them in `/proc`.
use std::fs;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Processor time so far, in milliseconds.
    pub processor_ms: u64,
    /// Resident memory at its peak, in kilobytes.
    pub peak_kb: u64,
}

/// A clock tick in `/proc/PID/stat`, in milliseconds; fixed at 100 ticks a second on Linux for programs.
const CLOCK_TICK_MS: u64 = 10;
/// Fields of `/proc/PID/stat` between the program's name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Reads the usage of a process; `None` where the system does not report it.
pub(crate) fn of_process(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage {
        processor_ms: processor_ms(&stat)?,
        peak_kb: peak_kb(&status)?,
    })
}

fn processor_ms(stat: &str) -> Option<u64> {
    // The fields follow the program's name, which stands in parentheses and may hold spaces.
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
