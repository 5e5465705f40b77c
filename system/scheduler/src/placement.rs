//! Chooses workers for tasks: the less loaded of two random workers that fit, or, for tasks that take a large share of
//! a worker, the most loaded worker that fits.
//!
//! Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
use crate::{
    backfill::{Backfill, Candidate},
    capacity_index::CapacityIndex,
    nominations::Nominations,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, TaskId};
use rand::{rngs::StdRng, seq::SliceRandom};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that take at least this share of a worker are packed instead of spread.
const MIN_PACKED_SHARE: f64 = 0.5;
/// Maximum number of workers sampled to find two that fit, before all workers are scanned.
const MAX_SAMPLES: usize = 12;

/// A placement request.
pub(crate) struct Demand<'a> {
    pub first: TaskId,
    /// Accept only the rack that holds the data, or for a rack-local gang only a single rack for all its tasks.
    pub require_locality: bool,
    /// Workers nominated for tasks that have preempted runs there.
    pub nominations: &'a Nominations,
    pub backfill: &'a Backfill,
    /// The step and the number of its tasks to place.
    pub candidate: Candidate<'a>,
    /// Workers on which the task has failed before.
    pub avoid: &'a [String],
    pub pool: Pool<'a>,
}

/// The workers to choose from.
#[derive(Clone, Copy)]
pub(crate) enum Pool<'a> {
    /// All workers, by incarnation.
    All(&'a [String]),
    /// The workers that had free capacity when the planning round began.
    WithCapacity(&'a CapacityIndex),
}

impl<'a> Pool<'a> {
    /// The workers that may have `cpu` millicores free.
    fn with_capacity(
        self,
        workers: &'a Workers,
        cpu: u64,
    ) -> Box<dyn Iterator<Item = &'a Worker> + 'a> {
        match self {
            Pool::All(_) => Box::new(workers.values()),
            Pool::WithCapacity(index) => index.with_capacity(workers, cpu),
        }
    }

    /// Returns a random worker.
    fn sample(self, workers: &'a Workers, cpu: u64, random: &mut StdRng) -> Option<&'a Worker> {
        let name = match self {
            Pool::All(names) => names.choose(random),
            Pool::WithCapacity(index) => index
                .with_free_cpu(cpu)
                .choose(random)
                .map(|worker| &worker.incarnation),
        };
        workers.get(name?)
    }

    /// Number of workers that may have `cpu` millicores free.
    fn len(self, cpu: u64) -> usize {
        match self {
            Pool::All(names) => names.len(),
            Pool::WithCapacity(index) => index.with_free_cpu(cpu).len(),
        }
    }
}

/// Resources and task counts allocated by this search so far, by worker.
#[derive(Default)]
struct Allocations {
    resources: BTreeMap<String, Resources>,
    tasks: BTreeMap<String, u32>,
}

impl Allocations {
    fn add(&mut self, incarnation: &str, resources: &Resources) {
        let used = self.resources.entry(incarnation.to_owned()).or_default();
        *used = used.saturating_add(resources);
        *self.tasks.entry(incarnation.to_owned()).or_default() += 1;
    }

    fn resources_on(&self, worker: &Worker) -> Resources {
        let allocated = self.resources.get(&worker.entry.incarnation);
        allocated.copied().unwrap_or_default()
    }

    fn tasks_on(&self, worker: &Worker) -> u32 {
        let allocated = self.tasks.get(&worker.entry.incarnation);
        allocated.copied().unwrap_or(0)
    }
}

/// Chooses a worker for each task; `None` if they do not all fit.
pub(crate) fn choose<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    now: Millis,
    random: &mut StdRng,
) -> Option<Vec<String>> {
    let placer = Placer {
        workers,
        demand,
        now,
    };
    if demand.candidate.count > 1 && demand.candidate.step.rack_local {
        if let Some(chosen) = placer.choose_rack(random) {
            return Some(chosen);
        }
        if demand.require_locality {
            return None;
        }
    }
    placer.choose_all(random, |_| true)
}

struct Placer<'d, 'w> {
    workers: &'w Workers,
    demand: &'d Demand<'w>,
    now: Millis,
}

impl<'w> Placer<'_, 'w> {
    /// Chooses workers in the first rack, in random order, that fits all tasks.
    fn choose_rack(&self, random: &mut StdRng) -> Option<Vec<String>> {
        let racks: BTreeSet<&str> = self.workers.values().map(Worker::rack).collect();
        let mut racks: Vec<&str> = racks.into_iter().collect();
        racks.shuffle(random);
        racks
            .into_iter()
            .find_map(|rack| self.choose_all(random, |worker| worker.rack() == rack))
    }

    fn choose_all(
        &self,
        random: &mut StdRng,
        is_allowed: impl Fn(&Worker) -> bool,
    ) -> Option<Vec<String>> {
        let candidate = &self.demand.candidate;
        let mut allocated = Allocations::default();
        let mut chosen = Vec::with_capacity(candidate.count as usize);
        for _ in 0..candidate.count {
            let incarnation = self.choose_one(random, &allocated, &is_allowed)?;
            allocated.add(&incarnation, &candidate.step.resources);
            chosen.push(incarnation);
        }
        Some(chosen)
    }

    fn choose_one(
        &self,
        random: &mut StdRng,
        allocated: &Allocations,
        is_allowed: &impl Fn(&Worker) -> bool,
    ) -> Option<String> {
        let fits = |worker: &Worker| is_allowed(worker) && self.fits(worker, allocated);
        let chosen = match self.sample_two(random, |worker| {
            fits(worker) && self.is_healthy_for_task(worker)
        }) {
            Some(pair) => self.less_loaded(pair, allocated),
            None => {
                let cpu = self.demand.candidate.step.resources.cpu;
                let pool = self.demand.pool.with_capacity(self.workers, cpu);
                let candidates = pool.filter(|worker| fits(worker)).collect();
                let candidates = self.prefer_healthy(self.prefer_local(candidates)?);
                self.choose_among(candidates, random, allocated)
            }
        };
        chosen.map(|worker| worker.entry.incarnation.clone())
    }

    /// Keeps the workers in the rack that holds the data, or all if none of them is in it and locality is not required.
    fn prefer_local(&self, candidates: Vec<&'w Worker>) -> Option<Vec<&'w Worker>> {
        let Some(rack) = &self.demand.candidate.step.affinity else {
            return Some(candidates);
        };
        let local: Vec<&Worker> = candidates
            .iter()
            .copied()
            .filter(|worker| worker.has_label(rack))
            .collect();
        if !local.is_empty() {
            return Some(local);
        }
        (!self.demand.require_locality).then_some(candidates)
    }

    /// Keeps the workers without known failures, or all if there are none.
    fn prefer_healthy(&self, candidates: Vec<&'w Worker>) -> Vec<&'w Worker> {
        let healthy: Vec<&Worker> = candidates
            .iter()
            .copied()
            .filter(|worker| self.is_healthy_for_task(worker))
            .collect();
        if healthy.is_empty() {
            candidates
        } else {
            healthy
        }
    }

    fn choose_among(
        &self,
        candidates: Vec<&'w Worker>,
        random: &mut StdRng,
        allocated: &Allocations,
    ) -> Option<&'w Worker> {
        let needs_packing = candidates.iter().any(|worker| self.needs_packing(worker));
        if needs_packing || self.demand.candidate.step.resources.gpu > 0 {
            return self.most_loaded(candidates, allocated);
        }
        let pair: Vec<&Worker> = candidates.choose_multiple(random, 2).copied().collect();
        self.less_loaded(pair, allocated)
    }

    /// Samples two random acceptable workers, so that the cost of a placement does not grow with the number of workers.
    /// `None` if a few samples do not find two, or if the task must not be spread at random.
    fn sample_two(
        &self,
        random: &mut StdRng,
        is_acceptable: impl Fn(&Worker) -> bool,
    ) -> Option<[&'w Worker; 2]> {
        let step = self.demand.candidate.step;
        let cpu = step.resources.cpu;
        let can_sample = step.resources.gpu == 0 && step.affinity.is_none();
        if !can_sample || self.demand.pool.len(cpu) < 2 * MAX_SAMPLES {
            return None;
        }
        let mut first: Option<&Worker> = None;
        for _ in 0..MAX_SAMPLES {
            let sampled = self.demand.pool.sample(self.workers, cpu, random);
            let Some(worker) = sampled.filter(|worker| is_acceptable(worker)) else {
                continue;
            };
            if self.needs_packing(worker) {
                return None;
            }
            match first {
                None => first = Some(worker),
                Some(first) if first.entry.incarnation != worker.entry.incarnation => {
                    return Some([first, worker])
                }
                Some(_) => {}
            }
        }
        None
    }

    fn less_loaded(
        &self,
        workers: impl IntoIterator<Item = &'w Worker>,
        allocated: &Allocations,
    ) -> Option<&'w Worker> {
        workers.into_iter().min_by(|a, b| {
            self.load_on(a, allocated)
                .total_cmp(&self.load_on(b, allocated))
        })
    }

    fn most_loaded(
        &self,
        workers: impl IntoIterator<Item = &'w Worker>,
        allocated: &Allocations,
    ) -> Option<&'w Worker> {
        workers.into_iter().max_by(|a, b| {
            self.load_on(a, allocated)
                .total_cmp(&self.load_on(b, allocated))
        })
    }

    /// The dominant resource share in use on a worker with one more task.
    fn load_on(&self, worker: &Worker, allocated: &Allocations) -> f64 {
        worker
            .used
            .saturating_add(&allocated.resources_on(worker))
            .saturating_add(&self.demand.candidate.step.resources)
            .dominant_share(&worker.entry.capacity)
    }

    /// Whether a task takes a share of a worker that is large enough to be packed.
    fn needs_packing(&self, worker: &Worker) -> bool {
        let resources = &self.demand.candidate.step.resources;
        resources.dominant_share(&worker.entry.capacity) >= MIN_PACKED_SHARE
    }

    /// Whether a worker is not on probation and the task has not failed there.
    fn is_healthy_for_task(&self, worker: &Worker) -> bool {
        let has_failed_here = self.demand.avoid.contains(&worker.entry.incarnation);
        !worker.health.is_on_probation(self.now) && !has_failed_here
    }

    /// Whether one more task can be placed on a worker.
    fn fits(&self, worker: &Worker, allocated: &Allocations) -> bool {
        let Demand {
            first,
            nominations,
            backfill,
            candidate,
            ..
        } = self.demand;
        let more = allocated.resources_on(worker);
        self.has_capacity(worker, &more)
            && worker.has_labels(&candidate.step.requirements)
            && worker.allows_sibling(*first, candidate.step, || allocated.tasks_on(worker))
            && !worker.runs.contains_key(first)
            && worker.is_schedulable(self.now)
            // Preferences among workers, such as the rack of the data, must not leave one as the only candidate that may
            // not take the task.
            && !worker.is_limited_by_probation(allocated.tasks_on(worker), self.now)
            && nominations.allow(&worker.entry.incarnation, first)
            && backfill.allows_backfill(worker, candidate, &more, self.now)
    }

    fn has_capacity(&self, worker: &Worker, more: &Resources) -> bool {
        let resources = &self.demand.candidate.step.resources;
        let free = worker.free_capacity();
        resources.fits_in(&free.saturating_sub(more)) && free.cpu >= more.cpu + resources.cpu
    }
}
