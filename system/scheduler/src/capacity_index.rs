//! Indexes workers by free CPU, so that placement examines few workers when nearly all are full.
use crate::worker::{Worker, Workers};
use magpiegap_protocol::Millis;
use std::cmp::Reverse;

/// Cost of looking up a worker by name, relative to visiting it in an iteration over all workers.
const LOOKUP_COST: usize = 8;

/// A worker's free CPU when the index was built.
#[derive(Clone, Debug)]
pub(crate) struct FreeCpu {
    /// In millicores.
    cpu: u64,
    pub incarnation: String,
}

/// The schedulable workers in descending order of free CPU, as of one point in time.
///
/// A planning round only allocates capacity, so a worker without enough free CPU when the index was built has too
/// little for the rest of the round.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityIndex {
    by_free_cpu: Vec<FreeCpu>,
}

impl CapacityIndex {
    pub(crate) fn of(workers: &Workers, now: Millis) -> CapacityIndex {
        let mut by_free_cpu: Vec<FreeCpu> = workers
            .iter()
            .filter(|(_, worker)| worker.is_schedulable(now))
            .map(|(incarnation, worker)| FreeCpu {
                cpu: worker.entry.capacity.cpu.saturating_sub(worker.used.cpu),
                incarnation: incarnation.clone(),
            })
            .collect();
        by_free_cpu.sort_unstable_by_key(|worker| Reverse(worker.cpu));
        CapacityIndex { by_free_cpu }
    }

    /// The workers that had at least `cpu` millicores free.
    pub(crate) fn with_free_cpu(&self, cpu: u64) -> &[FreeCpu] {
        let end = self.by_free_cpu.partition_point(|worker| worker.cpu >= cpu);
        &self.by_free_cpu[..end]
    }

    /// The workers that had at least `cpu` millicores free, or all workers if iterating over all is cheaper than
    /// looking up that many by name.
    pub(crate) fn with_capacity<'w>(
        &self,
        workers: &'w Workers,
        cpu: u64,
    ) -> Box<dyn Iterator<Item = &'w Worker> + 'w> {
        let indexed = self.with_free_cpu(cpu);
        if indexed.len() * LOOKUP_COST >= workers.len() {
            return Box::new(workers.values());
        }
        let found: Vec<&Worker> = indexed
            .iter()
            .filter_map(|worker| workers.get(&worker.incarnation))
            .collect();
        Box::new(found.into_iter())
    }
}
