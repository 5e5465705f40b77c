//! A node: a machine that runs a coordinator, with its process, disk and clocks. The fleet starts and stops it.
use crate::{disk::Disk, events::ProcessId};
use magpiegap_coordinator::Coordinator;
use magpiegap_protocol::{Member, WallMillis};

/// True time of day at which a simulation starts, in milliseconds since the Unix epoch.
pub(crate) const START_WALL_MS: u64 = 1_700_000_000_000;

/// A machine that runs a coordinator. All times are simulated, in milliseconds.
pub(crate) struct Node {
    pub address: u32,
    pub disk: Disk,
    /// An earlier copy of the disk, for `Fault::RollBackDisk`.
    pub disk_backup: Option<Disk>,
    /// `None` while the process is not running.
    pub coordinator: Option<Coordinator>,
    /// Incremented at each start and stop of the process; events for an earlier process are dropped.
    pub incarnation: u64,
    /// Start time of the process, from which its monotonic clock counts.
    pub started_at: u64,
    /// End of the current freeze.
    pub frozen_until: u64,
    /// When the outputs of the process were last performed.
    pub last_output_at: u64,
    /// When the process is due to start.
    pub restart_at: Option<u64>,
    /// Set while the process drains: the delay between its end and its restart.
    pub drain_restart_after_ms: Option<u64>,
    /// Offset of the wall clock from true time.
    pub wall_offset_ms: i64,
    pub member: Member,
}

impl Node {
    /// Creates a node whose process first starts at `start_at`.
    pub(crate) fn new(member: Member, disk: Disk, start_at: u64) -> Node {
        Node {
            address: member.address,
            disk,
            disk_backup: None,
            coordinator: None,
            incarnation: 0,
            started_at: 0,
            frozen_until: 0,
            last_output_at: 0,
            restart_at: Some(start_at),
            drain_restart_after_ms: None,
            wall_offset_ms: 0,
            member,
        }
    }

    /// Whether the process is running and not frozen.
    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.coordinator.is_some() && now >= self.frozen_until
    }

    /// Whether the process is frozen, so that its inputs must be delayed.
    pub(crate) fn is_frozen(&self, now: u64) -> bool {
        self.coordinator.is_some() && now < self.frozen_until
    }

    /// Whether `process` is the node's current process.
    pub(crate) fn is_current(&self, process: ProcessId) -> bool {
        self.incarnation == process.incarnation
    }

    /// The monotonic clock of the process.
    pub(crate) fn monotonic_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_at) + 1
    }

    /// The wall clock of the node.
    pub(crate) fn wall(&self, now: u64) -> WallMillis {
        WallMillis((START_WALL_MS + now).saturating_add_signed(self.wall_offset_ms))
    }
}
