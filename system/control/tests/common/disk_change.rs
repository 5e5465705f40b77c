//! What a disk is to write.
use magpiegap_control::{DurableRecord, DurableState};

/// A change of a disk that is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) enum DiskChange {
    /// Records behind those before.
    Records(Vec<DurableRecord>),
    /// All of it, anew.
    Checkpoint(Box<DurableState>),
}

impl DiskChange {
    /// Makes the change.
    pub(crate) fn apply(self, disk: &mut DurableState) {
        match self {
            DiskChange::Checkpoint(snapshot) => *disk = *snapshot,
            DiskChange::Records(records) => records.into_iter().for_each(|record| disk.add(record)),
        }
    }
}
