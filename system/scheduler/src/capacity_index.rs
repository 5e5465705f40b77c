//! An index of workers by free processor capacity: where nearly all are full, few have to be considered.
use crate::worker::{Worker, Workers};
use magpiegap_protocol::Millis;
use std::cmp::Reverse;

/// A lookup of a worker by name costs as much as iterating over this many.
const LOOKUP_COST: usize = 8;

/// A worker's free processor capacity at one moment.
#[derive(Clone, Debug)]
pub(crate) struct FreeCpu {
    /// In thousandths of a core.
    cpu: u64,
    pub incarnation: String,
}

/// The workers that are schedulable, those with the most free processor capacity first, as they were at one moment.
///
/// Within a round of planning capacity is only taken up, so that a worker that had too little then has too little now.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityIndex {
    by_free_cpu: Vec<FreeCpu>,
}

impl CapacityIndex {
    /// Creates the index of these workers.
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

    /// The workers that had at least so many thousandths of a core free.
    pub(crate) fn with_free_cpu(&self, cpu: u64) -> &[FreeCpu] {
        let end = self.by_free_cpu.partition_point(|worker| worker.cpu >= cpu);
        &self.by_free_cpu[..end]
    }

    /// The workers that had at least so much free, or all where these are many: to iterate over all is faster than to
    /// look many up by name.
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
