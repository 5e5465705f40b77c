//! What a disk is asked to keep.
use magpiegap_control::{DurableRecord, DurableState};

/// A change of a disk that is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) enum DiskChange {
    /// Records behind those before.
    Records(Vec<DurableRecord>),
    /// All of it, anew.
    Whole(Box<DurableState>),
}

impl DiskChange {
    /// Makes the change.
    pub(crate) fn apply(self, disk: &mut DurableState) {
        match self {
            DiskChange::Whole(snapshot) => *disk = *snapshot,
            DiskChange::Records(records) => records.into_iter().for_each(|record| disk.add(record)),
        }
    }
}
