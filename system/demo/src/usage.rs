//! What a process has used, as the system tells it.

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Processor time so far, in milliseconds.
    pub processor_ms: u64,
    /// Resident memory at its peak, in kilobytes.
    pub peak_kb: u64,
}

/// Clock ticks a second in `/proc/PID/stat`; fixed at 100 on Linux for programs.
const TICK_MS: u64 = 10;

/// Reads what a process has used; `None` where the system does not tell.
pub(crate) fn of_process(id: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage {
        processor_ms: processor_ms(&stat)?,
        peak_kb: peak_kb(&status)?,
    })
}

fn processor_ms(stat: &str) -> Option<u64> {
    // The fields follow the program's name, which stands in parentheses and may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn peak_kb(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
