//! The resource usage of a process, read from `/proc`.

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) memory_kb: u64,
    pub(super) descriptors: u64,
    /// CPU time, in clock ticks of this machine.
    pub(super) cpu_ticks: u64,
}

impl Usage {
    /// Reads the usage of a process; `None` if it has exited.
    pub(super) fn read(pid: i32) -> Option<Usage> {
        Some(Usage {
            memory_kb: memory_kb(pid)?,
            descriptors: std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64,
            cpu_ticks: cpu_ticks(pid)?,
        })
    }
}

fn memory_kb(pid: i32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    resident.trim().trim_end_matches("kB").trim().parse().ok()
}

fn cpu_ticks(pid: i32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain any character; the numeric fields follow the last parenthesis.
    let numbers: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = numbers.get(11)?.parse().ok()?;
    let system: u64 = numbers.get(12)?.parse().ok()?;
    Some(user + system)
}
