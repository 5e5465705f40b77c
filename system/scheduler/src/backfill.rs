//! Keeps small tasks from starving large ones: a task that found no place is promised the room on the worker where it
//! fits first, and less urgent tasks go there only where that does not delay it (EASY backfilling).
use crate::{
    queue::Urgency,
    worker::{remaining_ms, Run, Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, StepSpec};
use std::collections::BTreeMap;

/// How long a run that is being stopped still takes up its room.
const STOPPING_MS: Millis = 300;
/// Promises are made anew at most this often ...
const REFRESH_EVERY_MS: Millis = 40;
/// ... and less often where making them means to look at many workers: once in a millisecond for so many looks.
const LOOKS_PER_MS: u64 = 100;
/// At most so many tasks are promised room at a time: for later ones a forecast says little.
const MOST_OWNERS: usize = 40;
/// A run that has outlived its estimate is expected to go on for this part of the time that it has run.
const OVERTIME_PART: u64 = 8;

/// Room on a worker that a waiting task is to get.
#[derive(Clone, Debug)]
struct Promise {
    owner: Urgency,
    resources: Resources,
    /// When the runs that take up the room should have ended.
    from: Millis,
}

/// When the runs on a worker should end, and what each then leaves free, the earliest first.
type Ends = Vec<(Millis, Resources)>;

/// The room that waiting tasks are to get, by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backfill {
    promises: BTreeMap<String, Vec<Promise>>,
    /// The ends on each worker as far as they were asked for since the last refresh.
    ends: BTreeMap<String, Ends>,
    /// How many tasks have a promise.
    owners: usize,
    /// When they were last made, and how many workers were looked at for that.
    refreshed_at: Millis,
    looks: u64,
    /// Promises are being made.
    refreshing: bool,
}

/// A task that asks for room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub step: &'a StepSpec,
    pub urgency: &'a Urgency,
    /// How many tasks need room at the same time.
    pub count: u32,
    /// How much longer it takes away from its data.
    pub far_factor: f64,
    /// Its job's tasks run until the job is cancelled.
    pub lasting: bool,
}

impl Candidate<'_> {
    fn duration_ms(&self, worker: &Worker) -> Millis {
        let far = self
            .step
            .affinity
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let factor = if far { self.far_factor } else { 1.0 };
        (self.step.estimated_ms as f64 * factor) as Millis
    }
}

impl Backfill {
    /// Begins a round of planning: from time to time all promises are dropped, to be made anew in it.
    pub(crate) fn begin_round(&mut self, now: Millis) {
        let pause = REFRESH_EVERY_MS.max(self.looks / LOOKS_PER_MS);
        self.refreshing = now >= self.refreshed_at + pause;
        if self.refreshing {
            self.refreshed_at = now;
            self.looks = 0;
            self.promises.clear();
            self.ends.clear();
            self.owners = 0;
        }
    }

    /// Whether another task may be promised room in this round.
    pub(crate) fn open(&self) -> bool {
        self.refreshing && self.owners < MOST_OWNERS
    }

    /// Drops what was promised to a task that has found a place.
    pub(crate) fn release(&mut self, owner: &Urgency) {
        if self.owners > 0 {
            self.withdraw(owner);
        }
    }

    fn withdraw(&mut self, owner: &Urgency) {
        for promises in self.promises.values_mut() {
            promises.retain(|promise| promise.owner != *owner);
        }
    }

    /// Promises a task, or all tasks of a gang, the room that it gets first. A task that has room now waits for
    /// something else, and keeps no worker from others.
    pub(crate) fn promise(&mut self, workers: &Workers, candidate: &Candidate<'_>, now: Millis) {
        let mut waits_for_room = false;
        for _ in 0..candidate.count {
            let Some((from, incarnation)) = self.earliest(workers, candidate, now) else {
                break;
            };
            waits_for_room |= from > now;
            let owner = *candidate.urgency;
            let promise = Promise {
                owner,
                resources: candidate.step.resources,
                from,
            };
            self.promises
                .entry(incarnation.to_owned())
                .or_default()
                .push(promise);
        }
        if waits_for_room {
            self.owners += 1;
        } else {
            self.withdraw(candidate.urgency);
        }
    }

    /// The worker that has room for one task first, and when.
    fn earliest<'w>(
        &mut self,
        workers: &'w Workers,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> Option<(Millis, &'w str)> {
        self.looks += workers.len() as u64;
        let step = candidate.step;
        let suits = |worker: &Worker| {
            worker.takes_work(now)
                && !worker.health.on_trial()
                && worker.has_labels(&step.requirements)
                && step
                    .affinity
                    .as_ref()
                    .is_none_or(|rack| worker.has_label(rack))
        };
        workers
            .iter()
            .filter(|(_, worker)| suits(worker))
            .filter_map(|(incarnation, worker)| {
                Some((self.free_at(worker, step, now)?, incarnation.as_str()))
            })
            .min()
    }

    /// When a worker should have room for a task beside all that was promised there.
    fn free_at(&mut self, worker: &Worker, step: &StepSpec, now: Millis) -> Option<Millis> {
        let promised = self
            .promises
            .get(&worker.entry.incarnation)
            .map_or(&[][..], Vec::as_slice);
        let wanted = promised
            .iter()
            .fold(step.resources, |sum, promise| sum.plus(&promise.resources));
        if !wanted.fits(&worker.entry.capacity) {
            return None;
        }
        let mut used = worker.used.plus(&wanted);
        if used.fits(&worker.entry.capacity) {
            return Some(now);
        }
        let incarnation = &worker.entry.incarnation;
        if !self.ends.contains_key(incarnation) {
            self.ends
                .insert(incarnation.clone(), expected_ends(worker, now));
        }
        let ends = self.ends.get(incarnation).map_or(&[][..], Vec::as_slice);
        for (end, freed) in ends {
            used = used.minus(freed);
            if used.fits(&worker.entry.capacity) {
                return Some(*end);
            }
        }
        None
    }

    /// Whether a task may be placed on a worker that has room for it, beside `taken` more: it delays no task that is
    /// more urgent.
    pub(crate) fn allows(
        &self,
        worker: &Worker,
        candidate: &Candidate<'_>,
        taken: &Resources,
        now: Millis,
    ) -> bool {
        let Some(promises) = self.promises.get(&worker.entry.incarnation) else {
            return true;
        };
        let end = if candidate.lasting {
            Millis::MAX
        } else {
            now + candidate.duration_ms(worker)
        };
        let delayed = |promise: &Promise| {
            promise.owner < *candidate.urgency
                && end > promise.from
                && !fits_beside(worker, promises, promise, candidate, taken, now)
        };
        !promises.iter().any(delayed)
    }
}

/// Whether a task still leaves the room of a promise when that is due.
fn fits_beside(
    worker: &Worker,
    promises: &[Promise],
    due: &Promise,
    candidate: &Candidate<'_>,
    taken: &Resources,
    now: Millis,
) -> bool {
    let promised = promises
        .iter()
        .filter(|other| other.owner < *candidate.urgency);
    let wanted = promised.fold(candidate.step.resources.plus(taken), |sum, promise| {
        sum.plus(&promise.resources)
    });
    let goes_on = |run: &&Run| expected_end(run, now).is_none_or(|end| end > due.from);
    let used = worker
        .runs
        .values()
        .filter(goes_on)
        .fold(wanted, |sum, run| sum.plus(&run.resources));
    used.fits(&worker.entry.capacity)
}

fn expected_ends(worker: &Worker, now: Millis) -> Ends {
    let runs = worker.runs.values();
    let mut ends: Ends = runs
        .filter_map(|run| Some((expected_end(run, now)?, run.resources)))
        .collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    ends
}

/// When a run should end; `None`: only when it is stopped.
fn expected_end(run: &Run, now: Millis) -> Option<Millis> {
    if run.stop_due.is_some() {
        return Some(now + STOPPING_MS);
    }
    if run.lasting {
        return None;
    }
    let overtime = now.saturating_sub(run.started_at) / OVERTIME_PART;
    Some(now + remaining_ms(run, now).max(overtime))
}
