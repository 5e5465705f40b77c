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
    /// Whether these resources fit into a capacity.
    pub fn fits_in(&self, capacity: &Resources) -> bool {
        self.cpu <= capacity.cpu && self.memory_mb <= capacity.memory_mb && self.gpu <= capacity.gpu
    }

    /// The sum of both. It saturates instead of wrapping, so that an amount too large for every worker stays too large.
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// The difference of both; saturates at zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The dominant share of a capacity: the maximum share over all resources, from 0 for none to 1 for all of it
    /// (Ghodsi et al., "Dominant resource fairness", 2011). Infinite if a used resource is absent from the capacity.
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
