//! Changes to a simulated disk.
use magpiegap_control::{DurableRecord, DurableState};

/// A change that was submitted to a disk and is not durable yet.
#[derive(Clone, Debug)]
pub(crate) enum DiskChange {
    /// Appends records.
    Records(Vec<DurableRecord>),
    /// Replaces the content of the disk.
    Checkpoint(Box<DurableState>),
}

impl DiskChange {
    /// Applies the change to the disk.
    pub(crate) fn apply(self, disk: &mut DurableState) {
        match self {
            DiskChange::Checkpoint(snapshot) => *disk = *snapshot,
            DiskChange::Records(records) => records.into_iter().for_each(|record| disk.add(record)),
        }
    }
}
