//! Keeps small tasks from starving large ones: a task that could not be placed reserves capacity on the worker where it
//! fits first, and less urgent tasks are placed there only where they do not delay it (EASY backfilling).
//!
//! Reservations are forecasts and bind nobody but this module's caller. Source: Lifka, "The ANL/IBM SP Scheduling
//! System", 1995, here with more than one reservation at a time.
use crate::{
    queue::Urgency,
    run::Run,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, StepSpec};
use std::collections::BTreeMap;

/// How long a run that is being stopped is expected to take up its capacity.
const STOPPING_MS: Millis = 300;
/// Reservations are renewed at most this often ...
const REFRESH_INTERVAL_MS: Millis = 40;
/// ... and less often where that visits many workers: a millisecond later for each so many visits.
const WORKER_VISITS_PER_MS: u64 = 100;
/// Tasks that have reservations at a time, at most: for later ones a forecast says little.
const MAX_RESERVATION_OWNERS: usize = 40;
/// A run that has outlived its estimate is expected to go on for one part in so many of the time that it has run.
const OVERTIME_DIVISOR: u64 = 8;

/// Capacity on a worker that a queued task is to get.
#[derive(Clone, Debug)]
struct Reservation {
    owner: Urgency,
    resources: Resources,
    /// When the runs that take it up should have completed.
    available_at: Millis,
}

/// When the runs on a worker should complete, and what each then frees, the earliest first.
type FreedCapacity = Vec<(Millis, Resources)>;

/// The reservations of queued tasks, by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backfill {
    reservations: BTreeMap<String, Vec<Reservation>>,
    /// The expected completions on each worker, as far as they were needed since the last refresh.
    freed: BTreeMap<String, FreedCapacity>,
    /// How many tasks have reservations.
    owner_count: usize,
    /// When they were last renewed, and how many visits to workers that took.
    refreshed_at: Millis,
    worker_visits: u64,
    /// Reservations are being made.
    refreshing: bool,
}

/// A task that needs capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub step: &'a StepSpec,
    pub urgency: &'a Urgency,
    /// How many tasks need capacity at the same time.
    pub count: u32,
    /// How many times as long it takes away from its data.
    pub far_factor: f64,
    /// Its job's tasks run until the job is cancelled.
    pub long_running: bool,
}

impl Candidate<'_> {
    fn duration_ms(&self, worker: &Worker) -> Millis {
        let away = self
            .step
            .affinity
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let factor = if away { self.far_factor } else { 1.0 };
        (self.step.estimated_ms as f64 * factor) as Millis
    }
}

impl Backfill {
    /// Begins a round of planning: from time to time all reservations are dropped, to be made anew in it.
    pub(crate) fn begin_planning_round(&mut self, now: Millis) {
        let pause = REFRESH_INTERVAL_MS.max(self.worker_visits / WORKER_VISITS_PER_MS);
        self.refreshing = now >= self.refreshed_at + pause;
        if self.refreshing {
            self.refreshed_at = now;
            self.worker_visits = 0;
            self.reservations.clear();
            self.freed.clear();
            self.owner_count = 0;
        }
    }

    /// Whether another task may reserve capacity in this round.
    pub(crate) fn accepts_more(&self) -> bool {
        self.refreshing && self.owner_count < MAX_RESERVATION_OWNERS
    }

    /// Drops the reservations of a task that was placed.
    pub(crate) fn release(&mut self, owner: &Urgency) {
        if self.owner_count > 0 {
            self.drop_reservations_of(owner);
        }
    }

    fn drop_reservations_of(&mut self, owner: &Urgency) {
        for reservations in self.reservations.values_mut() {
            reservations.retain(|reservation| reservation.owner != *owner);
        }
    }

    /// Reserves the capacity that a task, or all tasks of a gang, gets first. A task that fits now waits for something
    /// else, and keeps no worker from others.
    pub(crate) fn reserve(&mut self, workers: &Workers, candidate: &Candidate<'_>, now: Millis) {
        let mut waits_for_capacity = false;
        for _ in 0..candidate.count {
            let Some((available_at, incarnation)) = self.earliest(workers, candidate, now) else {
                break;
            };
            waits_for_capacity |= available_at > now;
            let owner = *candidate.urgency;
            let reservation = Reservation {
                owner,
                resources: candidate.step.resources,
                available_at,
            };
            self.reservations
                .entry(incarnation.to_owned())
                .or_default()
                .push(reservation);
        }
        if waits_for_capacity {
            self.owner_count += 1;
        } else {
            self.drop_reservations_of(candidate.urgency);
        }
    }

    /// The worker on which one task fits first, and when.
    fn earliest<'w>(
        &mut self,
        workers: &'w Workers,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> Option<(Millis, &'w str)> {
        self.worker_visits += workers.len() as u64;
        let step = candidate.step;
        let suits = |worker: &Worker| {
            worker.is_schedulable(now)
                && !worker.health.is_on_probation()
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
                Some((self.fits_at(worker, step, now)?, incarnation.as_str()))
            })
            .min()
    }

    /// When a task should fit on a worker beside all that is reserved there; `None`: not before a run is stopped.
    fn fits_at(&mut self, worker: &Worker, step: &StepSpec, now: Millis) -> Option<Millis> {
        let reserved = self
            .reservations
            .get(&worker.entry.incarnation)
            .map_or(&[][..], Vec::as_slice);
        let wanted = reserved.iter().fold(step.resources, |sum, reservation| {
            sum.saturating_add(&reservation.resources)
        });
        if !wanted.fits_in(&worker.entry.capacity) {
            return None;
        }
        let mut used = worker.used.saturating_add(&wanted);
        if used.fits_in(&worker.entry.capacity) {
            return Some(now);
        }
        let incarnation = &worker.entry.incarnation;
        if !self.freed.contains_key(incarnation) {
            self.freed
                .insert(incarnation.clone(), freed_capacity(worker, now));
        }
        let freed = self.freed.get(incarnation).map_or(&[][..], Vec::as_slice);
        for (completion_at, freed) in freed {
            used = used.saturating_sub(freed);
            if used.fits_in(&worker.entry.capacity) {
                return Some(*completion_at);
            }
        }
        None
    }

    /// Whether a task may be placed on a worker that has capacity for it, beside `taken` more: it delays no task that is
    /// more urgent.
    pub(crate) fn allows_backfill(
        &self,
        worker: &Worker,
        candidate: &Candidate<'_>,
        taken: &Resources,
        now: Millis,
    ) -> bool {
        let Some(reservations) = self.reservations.get(&worker.entry.incarnation) else {
            return true;
        };
        let completion_at = if candidate.long_running {
            Millis::MAX
        } else {
            now + candidate.duration_ms(worker)
        };
        let delayed = |reservation: &Reservation| {
            reservation.owner < *candidate.urgency
                && completion_at > reservation.available_at
                && !fits_alongside(worker, reservations, reservation, candidate, taken, now)
        };
        !reservations.iter().any(delayed)
    }
}

/// Whether a task leaves the capacity of a reservation free by when that is available.
fn fits_alongside(
    worker: &Worker,
    reservations: &[Reservation],
    reservation: &Reservation,
    candidate: &Candidate<'_>,
    taken: &Resources,
    now: Millis,
) -> bool {
    let reserved = reservations
        .iter()
        .filter(|other| other.owner < *candidate.urgency);
    let wanted = reserved.fold(
        candidate.step.resources.saturating_add(taken),
        |sum, reservation| sum.saturating_add(&reservation.resources),
    );
    let still_running = |run: &&Run| {
        expected_completion_at(run, now)
            .is_none_or(|completion_at| completion_at > reservation.available_at)
    };
    let used = worker
        .runs
        .values()
        .filter(still_running)
        .fold(wanted, |sum, run| sum.saturating_add(&run.resources));
    used.fits_in(&worker.entry.capacity)
}

fn freed_capacity(worker: &Worker, now: Millis) -> FreedCapacity {
    let runs = worker.runs.values();
    let mut freed: FreedCapacity = runs
        .filter_map(|run| Some((expected_completion_at(run, now)?, run.resources)))
        .collect();
    freed.sort_unstable_by_key(|(completion_at, _)| *completion_at);
    freed
}

/// When a run should complete; `None`: only when it is stopped.
fn expected_completion_at(run: &Run, now: Millis) -> Option<Millis> {
    if run.next_stop_at.is_some() {
        return Some(now + STOPPING_MS);
    }
    if run.long_running {
        return None;
    }
    let overtime = now.saturating_sub(run.started_at) / OVERTIME_DIVISOR;
    Some(now + run.remaining_ms(now).max(overtime))
}
