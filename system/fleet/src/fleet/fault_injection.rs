//! Injects faults, and restores what they had broken.
use super::Fleet;
use crate::{
    active_faults::Link,
    disk::Disk,
    events::{Event, Restore},
    faults::{Fault, WorkerPartitionScope},
};
use rand::Rng;

/// A process that was told to drain has this long until it is ended, in milliseconds.
const MAX_DRAIN_MS: u64 = 3500;
/// After a loss of power of all machines each starts up to this much later, in milliseconds.
const MAX_START_JITTER_MS: u64 = 300;
/// A process whose disk is emptied starts again after this time, in milliseconds.
const EMPTY_DISK_MS: u64 = 20;

/// The effects of a fault are over this long after it: the longest lease has expired, and every role has its owner.
const RECOVERY_MS: u64 = 8000;

impl Fleet {
    /// Injects a fault.
    pub fn inject(&mut self, fault: &Fault) {
        let drain_ms = match fault {
            Fault::Drain { .. } => MAX_DRAIN_MS,
            _ => 0,
        };
        let calm_at = self.now + drain_ms + fault.duration_ms() + RECOVERY_MS;
        self.calm_since = self.calm_since.max(calm_at);
        match *fault {
            Fault::Kill { node, for_ms } => {
                self.nodes[node].disk.kill_process();
                self.stop_process(node, for_ms);
            }
            Fault::PowerLoss { node, for_ms } => self.lose_power(node, for_ms),
            Fault::Wipe { node, for_ms } => self.replace_disk(node, Disk::default(), for_ms),
            Fault::PutBack { node, for_ms } => {
                let copy = self.nodes[node].disk_copy.clone();
                self.replace_disk(node, copy.unwrap_or_default(), for_ms);
            }
            Fault::PowerLossOfAll { for_ms } => self.lose_power_of_all(for_ms),
            Fault::Freeze { node, for_ms } => self.nodes[node].frozen_until = self.now + for_ms,
            Fault::Partition { from, to, for_ms } => self.partition(Link { from, to }, for_ms),
            Fault::Isolate { node, for_ms } => self.isolate(node, for_ms),
            Fault::Drain { node, for_ms } => self.drain(node, for_ms),
            Fault::Replace { node, for_ms } => self.replace(node, for_ms),
            Fault::WorkerPartition {
                worker,
                scope,
                for_ms,
            } => self.partition_worker(worker, scope, for_ms),
            Fault::WorkerCrash { worker, for_ms } => self.crash_worker(worker, for_ms),
            Fault::DelayedOrders { percent, for_ms } => {
                self.active_faults.set_delayed_order_percent(percent);
                self.schedule(for_ms, Event::Restore(Restore::OrderDelay));
            }
            Fault::SlowDisk {
                node,
                sync_ms,
                for_ms,
            } => {
                self.active_faults.slow_disk(node, sync_ms);
                self.schedule(for_ms, Event::Restore(Restore::DiskSpeed(node)));
            }
            Fault::ClockStep { node, by_ms } => self.nodes[node].wall_offset_ms += by_ms,
        }
    }

    /// Takes a copy of each core machine's disk, as it would outlast a loss of power.
    pub fn copy_disks(&mut self) {
        for node in &mut self.nodes {
            node.disk_copy = Some(node.disk.synced());
        }
    }

    /// Empties the disk of a machine whose process has found it to be an old copy that is not needed.
    pub(super) fn empty_disk(&mut self, node: usize) {
        self.emptied_disks += 1;
        self.replace_disk(node, Disk::default(), EMPTY_DISK_MS);
    }

    /// Ends a process and puts another disk into its machine.
    fn replace_disk(&mut self, node: usize, disk: Disk, for_ms: u64) {
        self.nodes[node].disk = disk;
        self.stop_process(node, for_ms);
    }

    /// How many disks were found to be old copies, and emptied.
    pub fn emptied_disks(&self) -> usize {
        self.emptied_disks
    }

    pub(super) fn restore(&mut self, what: Restore) {
        match what {
            Restore::Link(link) => self.active_faults.restore_link(link),
            Restore::Worker(number) => self.workers[number] = Some(self.new_worker(number)),
            Restore::WorkerLink(worker) => self.active_faults.restore_worker_link(worker),
            Restore::DiskSpeed(node) => self.active_faults.restore_disk_speed(node),
            Restore::OrderDelay => self.active_faults.set_delayed_order_percent(0),
            Restore::DrainDeadline(process) => {
                if self.nodes[process.node].is_current(process) {
                    self.end_drain(process.node);
                }
            }
        }
    }

    fn lose_power(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].disk.lose_power(&mut self.random);
        self.stop_process(node, for_ms);
    }

    fn lose_power_of_all(&mut self, for_ms: u64) {
        for node in 0..self.nodes.len() {
            self.nodes[node].disk.lose_power(&mut self.random);
            let jitter_ms = self.random.gen_range(0..MAX_START_JITTER_MS);
            self.stop_process(node, for_ms + jitter_ms);
        }
    }

    fn partition(&mut self, link: Link, for_ms: u64) {
        self.active_faults.partition(link);
        self.schedule(for_ms, Event::Restore(Restore::Link(link)));
    }

    fn isolate(&mut self, node: usize, for_ms: u64) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            let outbound = Link {
                from: node,
                to: other,
            };
            let inbound = Link {
                from: other,
                to: node,
            };
            self.partition(outbound, for_ms);
            self.partition(inbound, for_ms);
        }
    }

    fn drain(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].drain_restart_after_ms = Some(for_ms);
        let process = self.process(node);
        self.with_coordinator(node, |coordinator, now, _| coordinator.drain(now));
        self.schedule(
            MAX_DRAIN_MS,
            Event::Restore(Restore::DrainDeadline(process)),
        );
    }

    fn replace(&mut self, node: usize, for_ms: u64) {
        self.last_address += 1;
        self.nodes[node].address = self.last_address;
        self.replace_disk(node, Disk::default(), for_ms);
    }

    fn partition_worker(&mut self, worker: usize, scope: WorkerPartitionScope, for_ms: u64) {
        self.active_faults.partition_worker(worker, scope);
        self.schedule(for_ms, Event::Restore(Restore::WorkerLink(worker)));
    }

    fn crash_worker(&mut self, number: usize, for_ms: u64) {
        if let Some(worker) = self.workers[number].take() {
            self.oracle.incarnation_ended(&worker.entry.incarnation);
            self.schedule(for_ms, Event::Restore(Restore::Worker(number)));
        }
    }
}
