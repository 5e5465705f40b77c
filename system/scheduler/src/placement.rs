//! Chooses workers: of two random ones that fit, the less busy; packing for what needs most of a worker.
use crate::{
    backfill::{Backfill, Candidate},
    reservations::Reservations,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, TaskId};
use rand::{rngs::StdRng, seq::SliceRandom};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that take at least this part of a worker are packed instead of spread.
const WIDE_SHARE: f64 = 0.5;

/// What is to be placed.
pub(crate) struct Demand<'a> {
    pub first: TaskId,
    /// Only the rack that holds the data will do for now; for a gang, only one rack.
    pub near_only: bool,
    /// Workers kept free for others.
    pub reservations: &'a Reservations,
    /// Room that others are to get.
    pub backfill: &'a Backfill,
    /// The step, and how many of its tasks.
    pub candidate: Candidate<'a>,
    /// Workers on which these tasks have failed.
    pub avoid: &'a [String],
}

/// What placing several tasks has used up so far.
#[derive(Default)]
struct Taken {
    resources: BTreeMap<String, Resources>,
    tasks: BTreeMap<String, u32>,
}

/// A worker for each task, or none when they don't all fit.
pub(crate) fn choose(
    workers: &Workers,
    demand: &Demand,
    now: Millis,
    random: &mut StdRng,
) -> Option<Vec<String>> {
    if demand.candidate.count > 1 && demand.candidate.step.rack_local {
        if let Some(chosen) = choose_rack(workers, demand, now, random) {
            return Some(chosen);
        }
        if demand.near_only {
            return None;
        }
    }
    choose_all(workers, demand, now, random, |_| true)
}

/// One rack that takes all tasks: the one that they leave fullest.
fn choose_rack(workers: &Workers, demand: &Demand, now: Millis, random: &mut StdRng) -> Option<Vec<String>> {
    let racks: BTreeSet<&str> = workers.values().map(Worker::rack).collect();
    let mut racks: Vec<&str> = racks.into_iter().collect();
    racks.shuffle(random);
    racks
        .into_iter()
        .find_map(|rack| choose_all(workers, demand, now, random, |worker| worker.rack() == rack))
}

fn choose_all(
    workers: &Workers,
    demand: &Demand,
    now: Millis,
    random: &mut StdRng,
    allowed: impl Fn(&Worker) -> bool,
) -> Option<Vec<String>> {
    let mut taken = Taken::default();
    let mut chosen = Vec::with_capacity(demand.candidate.count as usize);
    for _ in 0..demand.candidate.count {
        let instance = choose_one(workers, demand, now, random, &taken, &allowed)?;
        let used = taken.resources.entry(instance.clone()).or_default();
        *used = used.plus(&demand.candidate.step.resources);
        *taken.tasks.entry(instance.clone()).or_default() += 1;
        chosen.push(instance);
    }
    Some(chosen)
}

fn choose_one(
    workers: &Workers,
    demand: &Demand,
    now: Millis,
    random: &mut StdRng,
    taken: &Taken,
    allowed: &impl Fn(&Worker) -> bool,
) -> Option<String> {
    let fits = |worker: &&Worker| {
        allowed(worker)
            && worker.takes_work(now)
            && demand.reservations.allow(&worker.entry.instance, &demand.first)
            && fits(worker, demand, taken)
            && keeps_promises(worker, demand, taken, now)
    };
    let mut candidates: Vec<&Worker> = workers.values().filter(fits).collect();
    if let Some(rack) = &demand.candidate.step.affinity {
        let near: Vec<&Worker> = candidates.iter().copied().filter(|worker| worker.has_label(rack)).collect();
        if !near.is_empty() {
            candidates = near;
        } else if demand.near_only {
            return None;
        }
    }
    let proven: Vec<&Worker> = candidates
        .iter()
        .copied()
        .filter(|worker| !worker.health.on_trial() && !demand.avoid.contains(&worker.entry.instance))
        .collect();
    if !proven.is_empty() {
        candidates = proven;
    } else {
        // On trial a worker gets one run at a time.
        candidates.retain(|worker| !worker.health.on_trial() || worker.runs.is_empty());
    }
    let busy = |worker: &Worker| {
        let more = taken.resources.get(&worker.entry.instance).copied().unwrap_or_default();
        worker.used.plus(&more).plus(&demand.candidate.step.resources).share_of(&worker.entry.capacity)
    };
    let wide =
        candidates.iter().any(|w| demand.candidate.step.resources.share_of(&w.entry.capacity) >= WIDE_SHARE);
    let chosen = if wide || demand.candidate.step.resources.gpu > 0 {
        candidates.into_iter().max_by(|a, b| busy(a).total_cmp(&busy(b)))
    } else {
        let two: Vec<&Worker> = candidates.choose_multiple(random, 2).copied().collect();
        two.into_iter().min_by(|a, b| busy(a).total_cmp(&busy(b)))
    };
    chosen.map(|worker| worker.entry.instance.clone())
}

fn fits(worker: &Worker, demand: &Demand, taken: &Taken) -> bool {
    let instance = &worker.entry.instance;
    let step = demand.candidate.step;
    let more = taken.resources.get(instance).copied().unwrap_or_default();
    step.resources.fits(&worker.room().minus(&more))
        && worker.room().cpu >= more.cpu + step.resources.cpu
        && worker.has_labels(&step.requirements)
        && (step.anti_affinity == 0 || siblings(worker, demand, taken) < step.anti_affinity)
        && !worker.runs.contains_key(&demand.first)
}

fn keeps_promises(worker: &Worker, demand: &Demand, taken: &Taken, now: Millis) -> bool {
    let more = taken.resources.get(&worker.entry.instance).copied().unwrap_or_default();
    demand.backfill.allows(worker, &demand.candidate, &more, now)
}

/// Tasks of the same step and time on this worker.
fn siblings(worker: &Worker, demand: &Demand, taken: &Taken) -> u32 {
    let from = TaskId { index: 0, ..demand.first };
    let to = TaskId { index: u32::MAX, ..demand.first };
    let there = worker.runs.range(from..=to).count() as u32;
    there + taken.tasks.get(&worker.entry.instance).copied().unwrap_or(0)
}
