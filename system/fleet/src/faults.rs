//! Definitions of the faults that a fleet can inject.
use rand::{rngs::StdRng, Rng};

/// Which messages of a partitioned worker are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerPartitionScope {
    /// Calls do not reach the worker.
    Calls,
    /// Calls reach the worker; its replies are lost.
    Replies,
}

/// One fault. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and restarts later.
    Kill {
        /// The affected node.
        node: usize,
        /// Time until the node restarts.
        duration_ms: u64,
    },
    /// The node loses power; unsynced writes may be lost.
    PowerLoss {
        /// The affected node.
        node: usize,
        /// Time until the node restarts.
        duration_ms: u64,
    },
    /// The node loses power, and its disk is wiped.
    Wipe {
        /// The affected node.
        node: usize,
        /// Time until the node restarts with an empty disk.
        duration_ms: u64,
    },
    /// The node loses power, and its disk is rolled back to the last backup, or wiped if there is none.
    RollBackDisk {
        /// The affected node.
        node: usize,
        /// Time until the node restarts.
        duration_ms: u64,
    },
    /// All nodes lose power.
    TotalPowerLoss {
        /// Time until the nodes restart; each adds a random delay.
        duration_ms: u64,
    },
    /// The process is frozen: it handles no input, and its inputs are delayed.
    Freeze {
        /// The affected node.
        node: usize,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// Messages from one node to another are lost.
    Partition {
        /// The sending node.
        from: usize,
        /// The receiving node.
        to: usize,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// Calls to a worker or its replies are lost.
    WorkerPartition {
        /// The affected worker.
        worker: usize,
        /// Which messages are lost.
        scope: WorkerPartitionScope,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// The worker crashes and restarts as a new incarnation.
    WorkerCrash {
        /// The affected worker.
        worker: usize,
        /// Time until the worker restarts.
        duration_ms: u64,
    },
    /// The worker responds, but its runs make no progress.
    WorkerStall {
        /// The affected worker.
        worker: usize,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// The worker responds, but the runs that it starts fail. Those that it runs already go on.
    WorkerErrors {
        /// The affected worker.
        worker: usize,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// A percentage of the calls to workers is executed late, and the replies are lost.
    DelayedOrders {
        /// Percentage of the calls.
        percent: u32,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// A disk is slow.
    SlowDisk {
        /// The affected node.
        node: usize,
        /// Duration of a sync, in milliseconds.
        sync_ms: u64,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// The node is partitioned from all other nodes in both directions; clients and workers still reach it.
    Isolate {
        /// The affected node.
        node: usize,
        /// Duration of the fault.
        duration_ms: u64,
    },
    /// The process drains, stops and restarts.
    Drain {
        /// The affected node.
        node: usize,
        /// Time between the stop and the restart.
        duration_ms: u64,
    },
    /// The node is removed permanently and replaced by an empty one at a new address.
    Replace {
        /// The affected node.
        node: usize,
        /// Time until the replacement starts.
        duration_ms: u64,
    },
    /// The wall clock of a node jumps.
    ClockStep {
        /// The affected node.
        node: usize,
        /// Size of the jump, in milliseconds.
        by_ms: i64,
    },
}

impl Fault {
    /// Duration of the fault itself, in milliseconds; its effects may last longer.
    pub fn duration_ms(&self) -> u64 {
        match *self {
            Fault::Kill { duration_ms, .. }
            | Fault::PowerLoss { duration_ms, .. }
            | Fault::Wipe { duration_ms, .. }
            | Fault::RollBackDisk { duration_ms, .. }
            | Fault::TotalPowerLoss { duration_ms }
            | Fault::Freeze { duration_ms, .. }
            | Fault::Partition { duration_ms, .. }
            | Fault::WorkerPartition { duration_ms, .. }
            | Fault::WorkerCrash { duration_ms, .. }
            | Fault::WorkerStall { duration_ms, .. }
            | Fault::WorkerErrors { duration_ms, .. }
            | Fault::DelayedOrders { duration_ms, .. }
            | Fault::SlowDisk { duration_ms, .. }
            | Fault::Isolate { duration_ms, .. }
            | Fault::Drain { duration_ms, .. }
            | Fault::Replace { duration_ms, .. } => duration_ms,
            Fault::ClockStep { .. } => 0,
        }
    }

    /// Draws a random fault for a fleet with `nodes` nodes and `workers` workers.
    pub fn random(random: &mut StdRng, nodes: usize, workers: usize) -> Fault {
        let node = random.gen_range(0..nodes);
        let worker = random.gen_range(0..workers);
        let duration_ms = random.gen_range(100..5000);
        match random.gen_range(0..18) {
            0 | 1 => Fault::Kill {
                node,
                duration_ms: duration_ms / 4,
            },
            2 => Fault::PowerLoss { node, duration_ms },
            3 => Fault::Wipe { node, duration_ms },
            4 => Fault::TotalPowerLoss {
                duration_ms: duration_ms * 2,
            },
            5 | 6 => Fault::Freeze { node, duration_ms },
            7 | 8 => Fault::Partition {
                from: node,
                to: (node + random.gen_range(1..nodes)) % nodes,
                duration_ms,
            },
            9 => Fault::WorkerPartition {
                worker,
                scope: if random.gen_bool(0.5) {
                    WorkerPartitionScope::Replies
                } else {
                    WorkerPartitionScope::Calls
                },
                duration_ms: duration_ms * 2,
            },
            11 => Fault::SlowDisk {
                node,
                sync_ms: random.gen_range(50..3000),
                duration_ms,
            },
            12 => Fault::ClockStep {
                node,
                by_ms: random.gen_range(-3000..3000),
            },
            10 => Fault::WorkerCrash {
                worker,
                duration_ms,
            },
            13 => Fault::Isolate { node, duration_ms },
            14 => Fault::Drain {
                node,
                duration_ms: duration_ms / 4,
            },
            _ => Fault::DelayedOrders {
                percent: random.gen_range(3..60),
                duration_ms: 2 * duration_ms,
            },
        }
    }
}
