//! One core machine of the fleet.
use crate::disk::Disk;
use magpiegap_coordinator::Coordinator;
use magpiegap_protocol::Member;

/// True time of day when a fleet starts, in milliseconds since 1970.
pub(crate) const EPOCH_MS: u64 = 1_700_000_000_000;

/// A core machine.
pub(crate) struct Node {
    pub address: u32,
    pub disk: Disk,
    /// `None` while its process does not run.
    pub coordinator: Option<Coordinator>,
    /// Counts its processes; what was meant for an earlier one is dropped.
    pub life: u64,
    /// When its process started: its steady clock counts from there.
    pub started: u64,
    /// It stands still until this time.
    pub frozen_until: u64,
    /// When its process last followed up what had happened.
    pub followed_up: u64,
    /// It is started again at this time.
    pub restart_at: Option<u64>,
    /// It was told to end, and is to start again after this time.
    pub leaves_for_ms: Option<u64>,
    /// Its time of day is off by this.
    pub wall_offset: i64,
    pub member: Member,
}

impl Node {
    /// Whether its process does anything now.
    pub(crate) fn runs(&self, now: u64) -> bool {
        self.coordinator.is_some() && now >= self.frozen_until
    }

    /// Its steady clock.
    pub(crate) fn steady(&self, now: u64) -> u64 {
        now.saturating_sub(self.started) + 1
    }

    /// Its time of day.
    pub(crate) fn wall(&self, now: u64) -> u64 {
        (EPOCH_MS + now).saturating_add_signed(self.wall_offset)
    }
}
