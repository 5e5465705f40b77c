//! The workers that have room, by how much: where nearly all are full, few have to be looked at.
use crate::worker::{Worker, Workers};
use magpiegap_protocol::Millis;

/// Finding a worker by name takes as long as going on to this many.
const LOOKUP_COST: usize = 8;

/// The workers that take work, those with the most free processor first, as they were at one moment. Within a round of
/// planning room only becomes less, so that who had too little then has too little now.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityIndex {
    /// Free thousandths of cores, and the name of the worker's life.
    by_free_cpu: Vec<(u64, String)>,
}

impl CapacityIndex {
    /// The index of these workers.
    pub(crate) fn of(workers: &Workers, now: Millis) -> CapacityIndex {
        let free = |worker: &Worker| worker.entry.capacity.cpu.saturating_sub(worker.used.cpu);
        let mut by_free_cpu: Vec<(u64, String)> = workers
            .iter()
            .filter(|(_, worker)| worker.is_schedulable(now))
            .map(|(incarnation, worker)| (free(worker), incarnation.clone()))
            .collect();
        by_free_cpu.sort_unstable_by(|(one, _), (other, _)| other.cmp(one));
        CapacityIndex { by_free_cpu }
    }

    /// The names of those that had this much free processor.
    pub(crate) fn with_free_cpu(&self, cpu: u64) -> &[(u64, String)] {
        let end = self.by_free_cpu.partition_point(|(free, _)| *free >= cpu);
        &self.by_free_cpu[..end]
    }

    /// Those that had this much free processor, or all where these are many: to go through all is quicker than to find many
    /// by name.
    pub(crate) fn with_capacity<'w>(
        &self,
        workers: &'w Workers,
        cpu: u64,
    ) -> Box<dyn Iterator<Item = &'w Worker> + 'w> {
        let some = self.with_free_cpu(cpu);
        if some.len() * LOOKUP_COST >= workers.len() {
            return Box::new(workers.values());
        }
        let found: Vec<&Worker> = some
            .iter()
            .filter_map(|(_, name)| workers.get(name))
            .collect();
        Box::new(found.into_iter())
    }
}
