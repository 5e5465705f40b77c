//! Chooses workers: of two random ones that fit, the less busy; packing for what needs most of a worker.
use crate::{
    backfill::{Backfill, Candidate},
    capacity_index::CapacityIndex,
    nominations::Nominations,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, TaskId};
use rand::{rngs::StdRng, seq::SliceRandom};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that take at least this part of a worker are packed instead of spread.
const MIN_PACKED_SHARE: f64 = 0.5;
/// So many workers are drawn to find two that fit, before all are looked through.
const MAX_DRAWS: usize = 12;

/// What is to be placed.
pub(crate) struct Demand<'a> {
    pub first: TaskId,
    /// Only the rack that holds the data will do for now; for a gang, only one rack.
    pub require_locality: bool,
    /// Workers kept free for others.
    pub nominations: &'a Nominations,
    /// Room that others are to get.
    pub backfill: &'a Backfill,
    /// The step, and how many of its tasks.
    pub candidate: Candidate<'a>,
    /// Workers on which these tasks have failed.
    pub avoid: &'a [String],
    /// The workers to look at.
    pub pool: Pool<'a>,
}

/// The workers that a task may be placed on.
#[derive(Clone, Copy)]
pub(crate) enum Pool<'a> {
    /// All of them, by name.
    All(&'a [String]),
    /// Those that had room when the round of planning began.
    WithCapacity(&'a CapacityIndex),
}

impl<'a> Pool<'a> {
    /// Those that may have room for a task that takes this much processor.
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

    /// One of them at random.
    fn draw(self, workers: &'a Workers, cpu: u64, random: &mut StdRng) -> Option<&'a Worker> {
        let name = match self {
            Pool::All(names) => names.choose(random),
            Pool::WithCapacity(index) => index
                .with_free_cpu(cpu)
                .choose(random)
                .map(|(_, name)| name),
        };
        workers.get(name?)
    }

    /// How many there are.
    fn len(self, cpu: u64) -> usize {
        match self {
            Pool::All(names) => names.len(),
            Pool::WithCapacity(index) => index.with_free_cpu(cpu).len(),
        }
    }
}

/// What placing several tasks has used up so far.
#[derive(Default)]
struct Taken {
    resources: BTreeMap<String, Resources>,
    tasks: BTreeMap<String, u32>,
}

/// A worker for each task, or none when they don't all fit.
pub(crate) fn choose<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    now: Millis,
    random: &mut StdRng,
) -> Option<Vec<String>> {
    if demand.candidate.count > 1 && demand.candidate.step.rack_local {
        if let Some(chosen) = choose_rack(workers, demand, now, random) {
            return Some(chosen);
        }
        if demand.require_locality {
            return None;
        }
    }
    choose_all(workers, demand, now, random, |_| true)
}

/// One rack that takes all tasks: the one that they leave fullest.
fn choose_rack<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    now: Millis,
    random: &mut StdRng,
) -> Option<Vec<String>> {
    let racks: BTreeSet<&str> = workers.values().map(Worker::rack).collect();
    let mut racks: Vec<&str> = racks.into_iter().collect();
    racks.shuffle(random);
    racks
        .into_iter()
        .find_map(|rack| choose_all(workers, demand, now, random, |worker| worker.rack() == rack))
}

fn choose_all<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    now: Millis,
    random: &mut StdRng,
    allowed: impl Fn(&Worker) -> bool,
) -> Option<Vec<String>> {
    let mut taken = Taken::default();
    let mut chosen = Vec::with_capacity(demand.candidate.count as usize);
    for _ in 0..demand.candidate.count {
        let incarnation = choose_one(workers, demand, now, random, &taken, &allowed)?;
        let used = taken.resources.entry(incarnation.clone()).or_default();
        *used = used.plus(&demand.candidate.step.resources);
        *taken.tasks.entry(incarnation.clone()).or_default() += 1;
        chosen.push(incarnation);
    }
    Some(chosen)
}

fn choose_one<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    now: Millis,
    random: &mut StdRng,
    taken: &Taken,
    allowed: &impl Fn(&Worker) -> bool,
) -> Option<String> {
    let fits = |worker: &&Worker| {
        allowed(worker)
            && fits(worker, demand, taken)
            && worker.is_schedulable(now)
            && demand
                .nominations
                .allow(&worker.entry.incarnation, &demand.first)
            && respects_reservations(worker, demand, taken, now)
    };
    let proven = |worker: &Worker| {
        !worker.health.is_on_probation() && !demand.avoid.contains(&worker.entry.incarnation)
    };
    let busy = |worker: &Worker| {
        let more = taken
            .resources
            .get(&worker.entry.incarnation)
            .copied()
            .unwrap_or_default();
        worker
            .used
            .plus(&more)
            .plus(&demand.candidate.step.resources)
            .dominant_share(&worker.entry.capacity)
    };
    if let Some(two) = draw_two(workers, demand, random, |worker| {
        fits(&worker) && proven(worker)
    }) {
        let less_busy = two.into_iter().min_by(|a, b| busy(a).total_cmp(&busy(b)));
        return less_busy.map(|worker| worker.entry.incarnation.clone());
    }
    let cpu = demand.candidate.step.resources.cpu;
    let mut candidates: Vec<&Worker> = demand
        .pool
        .with_capacity(workers, cpu)
        .filter(fits)
        .collect();
    if let Some(rack) = &demand.candidate.step.affinity {
        let local: Vec<&Worker> = candidates
            .iter()
            .copied()
            .filter(|worker| worker.has_label(rack))
            .collect();
        if !local.is_empty() {
            candidates = local;
        } else if demand.require_locality {
            return None;
        }
    }
    let proven: Vec<&Worker> = candidates
        .iter()
        .copied()
        .filter(|worker| proven(worker))
        .collect();
    if !proven.is_empty() {
        candidates = proven;
    } else {
        // On trial a worker gets one run at a time.
        candidates.retain(|worker| !worker.health.is_on_probation() || worker.runs.is_empty());
    }
    let pack = candidates
        .iter()
        .any(|worker| needs_packing(demand, worker));
    let chosen = if pack || demand.candidate.step.resources.gpu > 0 {
        candidates
            .into_iter()
            .max_by(|a, b| busy(a).total_cmp(&busy(b)))
    } else {
        let two: Vec<&Worker> = candidates.choose_multiple(random, 2).copied().collect();
        two.into_iter().min_by(|a, b| busy(a).total_cmp(&busy(b)))
    };
    chosen.map(|worker| worker.entry.incarnation.clone())
}

/// Whether a task takes so much of a worker that it is packed.
fn needs_packing(demand: &Demand<'_>, worker: &Worker) -> bool {
    demand
        .candidate
        .step
        .resources
        .dominant_share(&worker.entry.capacity)
        >= MIN_PACKED_SHARE
}

/// Two random workers that will do, drawn instead of looked for among all: the work for a start does not grow with the
/// number of workers. `None` where a few draws do not find two, or where a task is not to be spread at random.
fn draw_two<'w>(
    workers: &'w Workers,
    demand: &Demand<'w>,
    random: &mut StdRng,
    will_do: impl Fn(&Worker) -> bool,
) -> Option<[&'w Worker; 2]> {
    let step = demand.candidate.step;
    let cpu = step.resources.cpu;
    if step.resources.gpu > 0 || step.affinity.is_some() || demand.pool.len(cpu) < 2 * MAX_DRAWS {
        return None;
    }
    let mut first: Option<&Worker> = None;
    for _ in 0..MAX_DRAWS {
        let drawn = demand.pool.draw(workers, cpu, random);
        let Some(worker) = drawn.filter(|worker| will_do(worker)) else {
            continue;
        };
        if needs_packing(demand, worker) {
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

fn fits(worker: &Worker, demand: &Demand<'_>, taken: &Taken) -> bool {
    let incarnation = &worker.entry.incarnation;
    let step = demand.candidate.step;
    let more = taken
        .resources
        .get(incarnation)
        .copied()
        .unwrap_or_default();
    step.resources.fits(&worker.free_capacity().minus(&more))
        && worker.free_capacity().cpu >= more.cpu + step.resources.cpu
        && worker.has_labels(&step.requirements)
        && (step.anti_affinity == 0 || siblings(worker, demand, taken) < step.anti_affinity)
        && !worker.runs.contains_key(&demand.first)
}

fn respects_reservations(worker: &Worker, demand: &Demand<'_>, taken: &Taken, now: Millis) -> bool {
    let more = taken
        .resources
        .get(&worker.entry.incarnation)
        .copied()
        .unwrap_or_default();
    demand
        .backfill
        .allows_backfill(worker, &demand.candidate, &more, now)
}

/// Tasks of the same step and time on this worker.
fn siblings(worker: &Worker, demand: &Demand<'_>, taken: &Taken) -> u32 {
    let from = TaskId {
        index: 0,
        ..demand.first
    };
    let to = TaskId {
        index: u32::MAX,
        ..demand.first
    };
    let there = worker.runs.range(from..=to).count() as u32;
    there
        + taken
            .tasks
            .get(&worker.entry.incarnation)
            .copied()
            .unwrap_or(0)
}
