//! The links, disks and worker calls that are currently affected by faults. `faults` defines the faults; the end of a
//! fault is a scheduled event.
use crate::faults::WorkerPartitionScope;
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a sync on a healthy disk, in milliseconds.
const SYNC_MS: u64 = 10;

/// The link from one node to another, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    pub from: usize,
    pub to: usize,
}

/// The faults that are currently active.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    partitions: BTreeSet<Link>,
    worker_partitions: BTreeMap<usize, WorkerPartitionScope>,
    /// Workers whose runs make no progress.
    stalled_workers: BTreeSet<usize>,
    /// Workers whose new runs fail.
    failing_workers: BTreeSet<usize>,
    /// Duration of a sync on each slow disk, in milliseconds, by node.
    slow_disks: BTreeMap<usize, u64>,
    /// Percentage of worker calls that are delayed.
    delayed_order_percent: u32,
}

impl ActiveFaults {
    pub(crate) fn partition(&mut self, link: Link) {
        self.partitions.insert(link);
    }

    pub(crate) fn restore_link(&mut self, link: Link) {
        self.partitions.remove(&link);
    }

    pub(crate) fn is_partitioned(&self, link: Link) -> bool {
        self.partitions.contains(&link)
    }

    pub(crate) fn partition_worker(&mut self, worker: usize, scope: WorkerPartitionScope) {
        self.worker_partitions.insert(worker, scope);
    }

    pub(crate) fn restore_worker_link(&mut self, worker: usize) {
        self.worker_partitions.remove(&worker);
    }

    /// Which messages of a worker are lost, or `None` if it is reachable.
    pub(crate) fn worker_partition(&self, worker: usize) -> Option<WorkerPartitionScope> {
        self.worker_partitions.get(&worker).copied()
    }

    pub(crate) fn stall_worker(&mut self, worker: usize) {
        self.stalled_workers.insert(worker);
    }

    pub(crate) fn restore_worker_progress(&mut self, worker: usize) {
        self.stalled_workers.remove(&worker);
    }

    pub(crate) fn is_worker_stalled(&self, worker: usize) -> bool {
        self.stalled_workers.contains(&worker)
    }

    pub(crate) fn fail_new_runs(&mut self, worker: usize) {
        self.failing_workers.insert(worker);
    }

    pub(crate) fn restore_new_runs(&mut self, worker: usize) {
        self.failing_workers.remove(&worker);
    }

    pub(crate) fn is_worker_failing(&self, worker: usize) -> bool {
        self.failing_workers.contains(&worker)
    }

    pub(crate) fn slow_disk(&mut self, node: usize, sync_ms: u64) {
        self.slow_disks.insert(node, sync_ms);
    }

    pub(crate) fn restore_disk_speed(&mut self, node: usize) {
        self.slow_disks.remove(&node);
    }

    /// Current duration of a sync on a node's disk, in milliseconds.
    pub(crate) fn sync_ms(&self, node: usize) -> u64 {
        self.slow_disks.get(&node).copied().unwrap_or(SYNC_MS)
    }

    pub(crate) fn set_delayed_order_percent(&mut self, percent: u32) {
        self.delayed_order_percent = percent;
    }

    pub(crate) fn delayed_order_percent(&self) -> u32 {
        self.delayed_order_percent
    }
}
