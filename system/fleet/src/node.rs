//! A core machine of the fleet: its process, disk and clocks. Starting and stopping it is the fleet's.
use crate::{disk::Disk, events::ProcessId};
use magpiegap_coordinator::Coordinator;
use magpiegap_protocol::{Member, WallMillis};

/// True time of day when a fleet starts, in milliseconds since 1970.
pub(crate) const START_WALL_MS: u64 = 1_700_000_000_000;

/// A core machine. Times are simulated, in milliseconds.
pub(crate) struct Node {
    pub address: u32,
    pub disk: Disk,
    /// A copy of the disk that was taken at some time.
    pub disk_copy: Option<Disk>,
    /// `None` while its process does not run.
    pub coordinator: Option<Coordinator>,
    /// Counts the starts and stops of its process; what was meant for an earlier process is dropped.
    pub incarnation: u64,
    /// When its process started: its steady clock counts from there.
    pub started_at: u64,
    /// It is frozen until this time.
    pub frozen_until: u64,
    /// When the outputs of its process were last carried out.
    pub last_output_at: u64,
    /// It is started again at this time.
    pub restart_at: Option<u64>,
    /// It was told to drain, and is to start again this long after its end.
    pub drain_restart_after_ms: Option<u64>,
    /// Its time of day is off by this.
    pub wall_offset_ms: i64,
    pub member: Member,
}

impl Node {
    /// A machine whose process starts for the first time at `start_at`.
    pub(crate) fn new(member: Member, disk: Disk, start_at: u64) -> Node {
        Node {
            address: member.address,
            disk,
            disk_copy: None,
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

    /// Whether its process does anything now.
    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.coordinator.is_some() && now >= self.frozen_until
    }

    /// Whether its process is there and frozen: what is meant for it waits.
    pub(crate) fn is_frozen(&self, now: u64) -> bool {
        self.coordinator.is_some() && now < self.frozen_until
    }

    /// Whether a process is the one that the machine has now.
    pub(crate) fn is_current(&self, process: ProcessId) -> bool {
        self.incarnation == process.incarnation
    }

    /// Its steady clock.
    pub(crate) fn steady(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_at) + 1
    }

    /// Its time of day.
    pub(crate) fn wall(&self, now: u64) -> WallMillis {
        WallMillis((START_WALL_MS + now).saturating_add_signed(self.wall_offset_ms))
    }
}
