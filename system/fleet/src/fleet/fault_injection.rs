//! Injects faults, and restores the affected components when the faults end.
use super::Fleet;
use crate::{
    active_faults::Link,
    disk::Disk,
    events::{Event, Restore},
    faults::{Fault, WorkerPartitionScope},
};
use rand::Rng;

/// Maximum time that a draining process has before it is stopped, in milliseconds.
const MAX_DRAIN_MS: u64 = 3500;
/// Maximum additional start delay of each node after a power loss of all nodes, in milliseconds.
const MAX_START_JITTER_MS: u64 = 300;
/// Restart delay of a process whose stale disk was wiped, in milliseconds.
const WIPE_RESTART_MS: u64 = 20;

/// Time after the end of a fault until its effects have ended, in milliseconds: the longest lease has expired, and
/// every role has an owner.
const RECOVERY_MS: u64 = 8000;

impl Fleet {
    /// Injects a fault.
    pub fn inject(&mut self, fault: &Fault) {
        self.extend_fault_effects(fault);
        match *fault {
            Fault::Kill { node, duration_ms } => {
                self.nodes[node].disk.kill_process();
                self.stop_process(node, duration_ms);
            }
            Fault::PowerLoss { node, duration_ms } => self.lose_power(node, duration_ms),
            Fault::Wipe { node, duration_ms } => {
                self.replace_disk(node, Disk::default(), duration_ms)
            }
            Fault::RollBackDisk { node, duration_ms } => {
                let copy = self.nodes[node].disk_backup.clone();
                self.replace_disk(node, copy.unwrap_or_default(), duration_ms);
            }
            Fault::TotalPowerLoss { duration_ms } => self.lose_power_of_all_nodes(duration_ms),
            Fault::Freeze { node, duration_ms } => {
                self.nodes[node].frozen_until = self.now + duration_ms
            }
            Fault::Partition {
                from,
                to,
                duration_ms,
            } => self.partition(Link { from, to }, duration_ms),
            Fault::Isolate { node, duration_ms } => self.isolate(node, duration_ms),
            Fault::Drain { node, duration_ms } => self.drain(node, duration_ms),
            Fault::Replace { node, duration_ms } => self.replace(node, duration_ms),
            Fault::WorkerPartition {
                worker,
                scope,
                duration_ms,
            } => self.partition_worker(worker, scope, duration_ms),
            Fault::WorkerCrash {
                worker,
                duration_ms,
            } => self.crash_worker(worker, duration_ms),
            Fault::WorkerStall {
                worker,
                duration_ms,
            } => self.stall_worker(worker, duration_ms),
            Fault::WorkerErrors {
                worker,
                duration_ms,
            } => self.fail_new_runs(worker, duration_ms),
            Fault::DelayedOrders {
                percent,
                duration_ms,
            } => self.delay_orders(percent, duration_ms),
            Fault::SlowDisk {
                node,
                sync_ms,
                duration_ms,
            } => {
                self.active_faults.slow_disk(node, sync_ms);
                self.schedule(duration_ms, Event::Restore(Restore::DiskSpeed(node)));
            }
            Fault::ClockStep { node, by_ms } => self.nodes[node].wall_offset_ms += by_ms,
        }
    }

    /// Extends the time for which the effects of faults last.
    fn extend_fault_effects(&mut self, fault: &Fault) {
        let drain_ms = match fault {
            // What other workers and the coordinators do is not affected by a worker whose runs fail.
            Fault::WorkerErrors { .. } => return,
            Fault::Drain { .. } => MAX_DRAIN_MS,
            _ => 0,
        };
        let fault_free_at = self.now + drain_ms + fault.duration_ms() + RECOVERY_MS;
        self.fault_free_since = self.fault_free_since.max(fault_free_at);
    }

    /// Backs up the synced state of each node's disk.
    pub fn back_up_disks(&mut self) {
        for node in &mut self.nodes {
            node.disk_backup = Some(node.disk.synced());
        }
    }

    /// Wipes a disk that the node's process has detected as a stale copy that is not needed.
    pub(super) fn wipe_stale_disk(&mut self, node: usize) {
        self.wiped_stale_disks += 1;
        self.replace_disk(node, Disk::default(), WIPE_RESTART_MS);
    }

    /// Stops a process and replaces the disk of its node.
    fn replace_disk(&mut self, node: usize, disk: Disk, duration_ms: u64) {
        self.nodes[node].disk = disk;
        self.stop_process(node, duration_ms);
    }

    /// Number of disks that were detected as stale and wiped.
    pub fn wiped_stale_disks(&self) -> usize {
        self.wiped_stale_disks
    }

    pub(super) fn restore(&mut self, target: Restore) {
        match target {
            Restore::Link(link) => self.active_faults.restore_link(link),
            Restore::Worker(number) => self.workers[number] = Some(self.new_worker(number)),
            Restore::WorkerLink(worker) => self.active_faults.restore_worker_link(worker),
            Restore::WorkerProgress(worker) => self.active_faults.restore_worker_progress(worker),
            Restore::WorkerRuns(worker) => self.active_faults.restore_new_runs(worker),
            Restore::DiskSpeed(node) => self.active_faults.restore_disk_speed(node),
            Restore::OrderDelay => self.active_faults.set_delayed_order_percent(0),
            Restore::DrainDeadline(process) => {
                if self.nodes[process.node].is_current(process) {
                    self.end_drain(process.node);
                }
            }
        }
    }

    fn lose_power(&mut self, node: usize, duration_ms: u64) {
        self.nodes[node].disk.lose_power(&mut self.random);
        self.stop_process(node, duration_ms);
    }

    fn lose_power_of_all_nodes(&mut self, duration_ms: u64) {
        for node in 0..self.nodes.len() {
            self.nodes[node].disk.lose_power(&mut self.random);
            let jitter_ms = self.random.gen_range(0..MAX_START_JITTER_MS);
            self.stop_process(node, duration_ms + jitter_ms);
        }
    }

    fn partition(&mut self, link: Link, duration_ms: u64) {
        self.active_faults.partition(link);
        self.schedule(duration_ms, Event::Restore(Restore::Link(link)));
    }

    fn isolate(&mut self, node: usize, duration_ms: u64) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            let outbound = Link {
                from: node,
                to: other,
            };
            let inbound = Link {
                from: other,
                to: node,
            };
            self.partition(outbound, duration_ms);
            self.partition(inbound, duration_ms);
        }
    }

    fn drain(&mut self, node: usize, duration_ms: u64) {
        self.nodes[node].drain_restart_after_ms = Some(duration_ms);
        let process = self.process(node);
        self.with_coordinator(node, |coordinator, now, _| coordinator.drain(now));
        self.schedule(
            MAX_DRAIN_MS,
            Event::Restore(Restore::DrainDeadline(process)),
        );
    }

    fn replace(&mut self, node: usize, duration_ms: u64) {
        self.last_address += 1;
        self.nodes[node].address = self.last_address;
        self.replace_disk(node, Disk::default(), duration_ms);
    }

    fn partition_worker(&mut self, worker: usize, scope: WorkerPartitionScope, duration_ms: u64) {
        self.active_faults.partition_worker(worker, scope);
        self.schedule(duration_ms, Event::Restore(Restore::WorkerLink(worker)));
    }

    fn delay_orders(&mut self, percent: u32, duration_ms: u64) {
        self.active_faults.set_delayed_order_percent(percent);
        self.schedule(duration_ms, Event::Restore(Restore::OrderDelay));
    }

    fn stall_worker(&mut self, worker: usize, duration_ms: u64) {
        self.active_faults.stall_worker(worker);
        self.schedule(duration_ms, Event::Restore(Restore::WorkerProgress(worker)));
    }

    fn fail_new_runs(&mut self, worker: usize, duration_ms: u64) {
        self.active_faults.fail_new_runs(worker);
        self.schedule(duration_ms, Event::Restore(Restore::WorkerRuns(worker)));
    }

    fn crash_worker(&mut self, number: usize, duration_ms: u64) {
        if let Some(worker) = self.workers[number].take() {
            self.oracle.incarnation_ended(&worker.entry.incarnation);
            self.schedule(duration_ms, Event::Restore(Restore::Worker(number)));
        }
    }
}
