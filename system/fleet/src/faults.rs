//! What goes wrong.
use rand::{rngs::StdRng, Rng};

/// One thing that goes wrong.
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
    /// All core machines lose power.
    PowerLossOfAll {
        /// Until they start again.
        for_ms: u64,
    },
    /// A process stands still.
    Freeze {
        /// Which core machine.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// Messages from one core machine to another are lost.
    Cut {
        /// From.
        from: usize,
        /// To.
        to: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A worker does not get orders, or its answers are lost.
    WorkerCut {
        /// Which worker.
        worker: usize,
        /// Only its answers are lost.
        answers_only: bool,
        /// For how long.
        for_ms: u64,
    },
    /// A worker dies and comes back as another life.
    WorkerCrash {
        /// Which worker.
        worker: usize,
        /// Until it is back.
        for_ms: u64,
    },
    /// A share of the orders is carried out late, and not answered.
    LateOrders {
        /// Hundredths.
        percent: u32,
        /// For how long.
        for_ms: u64,
    },
    /// A disk takes long for everything.
    SlowDisk {
        /// Which core machine.
        node: usize,
        /// For each sync.
        sync_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// A core machine neither hears nor is heard by the other core machines; all others reach it.
    CutOff {
        /// Which core machine.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A process is told to end, has time to hand over, and starts again.
    Leave {
        /// Which core machine.
        node: usize,
        /// Until it starts again, after its end.
        for_ms: u64,
    },
    /// A machine is gone for good; an empty one comes at another address.
    Replace {
        /// Which core machine.
        node: usize,
        /// Until the other one starts.
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
    /// Some fault.
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
            7 | 8 => Fault::Cut {
                from: node,
                to: (node + random.gen_range(1..nodes)) % nodes,
                for_ms,
            },
            9 => Fault::WorkerCut {
                worker,
                answers_only: random.gen_bool(0.5),
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
            13 => Fault::CutOff { node, for_ms },
            14 => Fault::Leave {
                node,
                for_ms: for_ms / 4,
            },
            _ => Fault::LateOrders {
                percent: random.gen_range(3..60),
                for_ms: 2 * for_ms,
            },
        }
    }
}
