//! Resources of workers and tasks.
use minicbor::{Decode, Encode};

/// Resources that a task requests or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Resources {
    /// Thousandths of a processor core.
    #[n(0)]
    pub cpu: u64,
    /// Memory in megabytes.
    #[n(1)]
    pub memory_mb: u64,
    /// Graphics processors.
    #[n(2)]
    pub gpu: u64,
}

impl Resources {
    /// Whether a request for this much fits into a capacity.
    pub fn fits_in(&self, capacity: &Resources) -> bool {
        self.cpu <= capacity.cpu && self.memory_mb <= capacity.memory_mb && self.gpu <= capacity.gpu
    }

    /// The sum of both, or the largest number that there is: what is too much for any worker stays so.
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// The difference of both; never below zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The dominant share of a capacity: the largest over all resources, 0 for none and 1 for all of it (Ghodsi et al.,
    /// "Dominant resource fairness", 2011). Infinite when it uses a resource that the capacity does not have.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let share = |used: u64, total: u64| match (used, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (used, total) => used as f64 / total as f64,
        };
        share(self.cpu, capacity.cpu)
            .max(share(self.memory_mb, capacity.memory_mb))
            .max(share(self.gpu, capacity.gpu))
    }
}
