//! Faults that can be injected into a fleet. Injecting them is the fleet's.
use rand::{rngs::StdRng, Rng};

/// What a partitioned worker loses.
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
    /// A process is killed; it starts again after this many milliseconds.
    Kill {
        /// Which core machine.
        node: usize,
        /// Until it starts again.
        for_ms: u64,
    },
    /// A machine loses power, and what its disk had not synced.
    PowerLoss {
        /// Which core machine.
        node: usize,
        /// Until it starts again.
        for_ms: u64,
    },
    /// A machine loses power and its disk.
    Wipe {
        /// Which core machine.
        node: usize,
        /// Until it starts again, empty.
        for_ms: u64,
    },
    /// A machine loses power, and its disk is put back from the copy that was taken of it; without one it is wiped.
    PutBack {
        /// Which core machine.
        node: usize,
        /// Until it starts again.
        for_ms: u64,
    },
    /// All core machines lose power.
    PowerLossOfAll {
        /// Until they start again.
        for_ms: u64,
    },
    /// A process is frozen: it does nothing, and what is meant for it waits.
    Freeze {
        /// Which core machine.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// Messages from one core machine to another are lost.
    Partition {
        /// From.
        from: usize,
        /// To.
        to: usize,
        /// For how long.
        for_ms: u64,
    },
    /// Calls to a worker or its replies are lost.
    WorkerPartition {
        /// Which worker.
        worker: usize,
        /// Which of them are lost.
        scope: WorkerPartitionScope,
        /// For how long.
        for_ms: u64,
    },
    /// A worker crashes and comes back as another incarnation.
    WorkerCrash {
        /// Which worker.
        worker: usize,
        /// Until it is back.
        for_ms: u64,
    },
    /// A share of the calls to workers is carried out late, and not answered.
    DelayedOrders {
        /// Hundredths.
        percent: u32,
        /// For how long.
        for_ms: u64,
    },
    /// A disk is slow.
    SlowDisk {
        /// Which core machine.
        node: usize,
        /// Time of each sync.
        sync_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// A core machine is partitioned from all other core machines, both ways; clients and workers reach it.
    Isolate {
        /// Which core machine.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A process is drained, ends and starts again.
    Drain {
        /// Which core machine.
        node: usize,
        /// Until it starts again, after its end.
        for_ms: u64,
    },
    /// A machine is removed for good; an empty one replaces it at another address.
    Replace {
        /// Which core machine.
        node: usize,
        /// Until the replacement starts.
        for_ms: u64,
    },
    /// The time of day jumps on a core machine.
    ClockStep {
        /// Which core machine.
        node: usize,
        /// By this many milliseconds.
        by_ms: i64,
    },
}

impl Fault {
    /// How long the fault itself lasts, in milliseconds; what it brings about may last longer.
    pub fn duration_ms(&self) -> u64 {
        match *self {
            Fault::Kill { for_ms, .. }
            | Fault::PowerLoss { for_ms, .. }
            | Fault::Wipe { for_ms, .. }
            | Fault::PutBack { for_ms, .. }
            | Fault::PowerLossOfAll { for_ms }
            | Fault::Freeze { for_ms, .. }
            | Fault::Partition { for_ms, .. }
            | Fault::WorkerPartition { for_ms, .. }
            | Fault::WorkerCrash { for_ms, .. }
            | Fault::DelayedOrders { for_ms, .. }
            | Fault::SlowDisk { for_ms, .. }
            | Fault::Isolate { for_ms, .. }
            | Fault::Drain { for_ms, .. }
            | Fault::Replace { for_ms, .. } => for_ms,
            Fault::ClockStep { .. } => 0,
        }
    }

    /// Draws a fault for a fleet of this size.
    pub fn random(random: &mut StdRng, nodes: usize, workers: usize) -> Fault {
        let node = random.gen_range(0..nodes);
        let worker = random.gen_range(0..workers);
        let for_ms = random.gen_range(100..5000);
        match random.gen_range(0..18) {
            0 | 1 => Fault::Kill {
                node,
                for_ms: for_ms / 4,
            },
            2 => Fault::PowerLoss { node, for_ms },
            3 => Fault::Wipe { node, for_ms },
            4 => Fault::PowerLossOfAll { for_ms: for_ms * 2 },
            5 | 6 => Fault::Freeze { node, for_ms },
            7 | 8 => Fault::Partition {
                from: node,
                to: (node + random.gen_range(1..nodes)) % nodes,
                for_ms,
            },
            9 => Fault::WorkerPartition {
                worker,
                scope: if random.gen_bool(0.5) {
                    WorkerPartitionScope::Replies
                } else {
                    WorkerPartitionScope::Calls
                },
                for_ms: for_ms * 2,
            },
            11 => Fault::SlowDisk {
                node,
                sync_ms: random.gen_range(50..3000),
                for_ms,
            },
            12 => Fault::ClockStep {
                node,
                by_ms: random.gen_range(-3000..3000),
            },
            10 => Fault::WorkerCrash { worker, for_ms },
            13 => Fault::Isolate { node, for_ms },
            14 => Fault::Drain {
                node,
                for_ms: for_ms / 4,
            },
            _ => Fault::DelayedOrders {
                percent: random.gen_range(3..60),
                for_ms: 2 * for_ms,
            },
        }
    }
}
