//! EASY backfilling: a task that cannot be placed reserves capacity on the worker where it is expected to fit first,
//! and less urgent tasks are placed there only if they do not delay it. This keeps small tasks from starving large
//! ones.
//!
//! Reservations are forecasts; only the planner observes them. Source: Lifka, "The ANL/IBM SP Scheduling System", 1995,
//! extended to more than one reservation at a time.
use crate::{
    queue::Urgency,
    run::Run,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, Resources, StepSpec};
use std::collections::BTreeMap;

/// Expected time until a run that is being stopped releases its capacity.
const STOP_DURATION_MS: Millis = 300;
/// Minimum time between two recomputations of the reservations.
const REFRESH_INTERVAL_MS: Millis = 40;
/// The interval is at least one millisecond per this many workers examined in the last recomputation, to bound its
/// cost.
const EXAMINED_WORKERS_PER_MS: u64 = 100;
/// Maximum number of tasks with reservations; forecasts for tasks further back in the queue are too inaccurate to help.
const MAX_RESERVATION_OWNERS: usize = 40;
/// Assumed duration of a task without an estimate: it must not pass for one that takes no time.
const UNESTIMATED_DURATION_MS: Millis = 10_000;
/// A run that exceeds its estimate is expected to run on for its elapsed time divided by this.
const OVERTIME_DIVISOR: u64 = 8;

/// Capacity on a worker that is reserved for a queued task.
#[derive(Clone, Debug)]
struct Reservation {
    owner: Urgency,
    resources: Resources,
    /// When the owner is expected to start: the runs that now use this capacity, and that of the other tasks of a gang,
    /// are expected to have completed by then.
    available_at: Millis,
}

/// Expected completion times of the runs on a worker, in ascending order, with the resources that each run frees.
type FreedCapacity = Vec<(Millis, Resources)>;

/// Reservations of queued tasks, by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backfill {
    reservations: BTreeMap<String, Vec<Reservation>>,
    /// Expected completions per worker, computed on demand since the last refresh.
    freed: BTreeMap<String, FreedCapacity>,
    /// Number of tasks with reservations.
    owner_count: usize,
    /// When the reservations were last recomputed.
    refreshed_at: Millis,
    examined_workers: u64,
    /// Reservations are being recomputed in the current planning round.
    refreshing: bool,
}

/// A task or gang that needs capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub step: &'a StepSpec,
    pub urgency: &'a Urgency,
    /// Number of tasks that must be placed together.
    pub count: u32,
    /// Factor by which the task takes longer when it runs away from its data.
    pub remote_factor: f64,
    /// The tasks run until their job is cancelled.
    pub long_running: bool,
}

impl Candidate<'_> {
    fn duration_ms(&self, worker: &Worker) -> Millis {
        let is_remote = self
            .step
            .affinity
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let factor = if is_remote { self.remote_factor } else { 1.0 };
        (expected_duration_ms(self.step) as f64 * factor) as Millis
    }
}

/// How long a task is expected to take, by the client's estimate if there is one.
pub(crate) fn expected_duration_ms(step: &StepSpec) -> Millis {
    match step.estimated_ms {
        0 => UNESTIMATED_DURATION_MS,
        estimated_ms => estimated_ms,
    }
}

impl Backfill {
    /// Begins a planning round. If the refresh interval has passed, drops all reservations so that this round
    /// recomputes them.
    pub(crate) fn begin_planning_round(&mut self, now: Millis) {
        let interval = REFRESH_INTERVAL_MS.max(self.examined_workers / EXAMINED_WORKERS_PER_MS);
        self.refreshing = now >= self.refreshed_at + interval;
        if self.refreshing {
            self.refreshed_at = now;
            self.examined_workers = 0;
            self.reservations.clear();
            self.freed.clear();
            self.owner_count = 0;
        }
    }

    /// Whether another task may reserve capacity in this round.
    pub(crate) fn accepts_more(&self) -> bool {
        self.refreshing && self.owner_count < MAX_RESERVATION_OWNERS
    }

    /// Drops the reservations of a task that has been placed.
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

    /// Reserves the earliest available capacity for a task, or for all tasks of a gang from when the last of them fits.
    /// A gang that does not fit as a whole reserves nothing, nor does a task that already fits on workers: it is waiting
    /// for something other than capacity.
    pub(crate) fn reserve(&mut self, workers: &Workers, candidate: &Candidate<'_>, now: Millis) {
        match self.reserve_earliest(workers, candidate, now) {
            Some(available_at) if available_at > now => {
                if candidate.count > 1 {
                    self.begin_reservations_at(candidate.urgency, available_at);
                }
                self.owner_count += 1;
            }
            _ => self.drop_reservations_of(candidate.urgency),
        }
    }

    /// Reserves capacity for each task of a candidate on the worker where it fits first. Returns the time at which all
    /// fit; `None` if they never do, with the reservations made until then left in place.
    fn reserve_earliest(
        &mut self,
        workers: &Workers,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> Option<Millis> {
        let mut all_available_at = now;
        for _ in 0..candidate.count {
            let (available_at, incarnation) = self.earliest_fit(workers, candidate, now)?;
            all_available_at = all_available_at.max(available_at);
            let reservation = Reservation {
                owner: *candidate.urgency,
                resources: candidate.step.resources,
                available_at,
            };
            self.reservations
                .entry(incarnation.to_owned())
                .or_default()
                .push(reservation);
        }
        Some(all_available_at)
    }

    /// Sets the time from which the reservations of a task or gang are needed.
    fn begin_reservations_at(&mut self, owner: &Urgency, available_at: Millis) {
        let reservations = self.reservations.values_mut().flatten();
        for reservation in reservations.filter(|reservation| reservation.owner == *owner) {
            reservation.available_at = available_at;
        }
    }

    /// The worker on which one task is expected to fit first, and the time at which it does.
    fn earliest_fit<'w>(
        &mut self,
        workers: &'w Workers,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> Option<(Millis, &'w str)> {
        self.examined_workers += workers.len() as u64;
        let step = candidate.step;
        let is_eligible = |worker: &Worker| {
            worker.is_schedulable(now)
                && !worker.health.is_on_probation(now)
                && worker.has_labels(&step.requirements)
                && step
                    .affinity
                    .as_ref()
                    .is_none_or(|rack| worker.has_label(rack))
        };
        let mut earliest: Option<(Millis, &str)> = None;
        for (incarnation, worker) in workers {
            let reserved = || self.reserved_siblings(worker, candidate.urgency);
            if !is_eligible(worker)
                || !worker.allows_sibling(candidate.urgency.task, step, reserved)
            {
                continue;
            }
            let Some(available_at) = self.fits_at(worker, step, now) else {
                continue;
            };
            let fit = (available_at, incarnation.as_str());
            if earliest.is_none_or(|earliest| fit < earliest) {
                earliest = Some(fit);
            }
        }
        earliest
    }

    /// Number of a task's reservations on a worker.
    fn reserved_siblings(&self, worker: &Worker, owner: &Urgency) -> u32 {
        let reserved = self.reservations.get(&worker.entry.incarnation);
        let is_own = |reservation: &&Reservation| reservation.owner == *owner;
        reserved.into_iter().flatten().filter(is_own).count() as u32
    }

    /// When a task is expected to fit on a worker in addition to all its reservations; `None` if that takes stopping a
    /// run.
    fn fits_at(&mut self, worker: &Worker, step: &StepSpec, now: Millis) -> Option<Millis> {
        let reserved = self
            .reservations
            .get(&worker.entry.incarnation)
            .map_or(&[][..], Vec::as_slice);
        let required = reserved.iter().fold(step.resources, |sum, reservation| {
            sum.saturating_add(&reservation.resources)
        });
        if !required.fits_in(&worker.entry.capacity) {
            return None;
        }
        let mut used = worker.used.saturating_add(&required);
        if used.fits_in(&worker.entry.capacity) {
            return Some(now);
        }
        let incarnation = &worker.entry.incarnation;
        if !self.freed.contains_key(incarnation) {
            self.freed
                .insert(incarnation.clone(), freed_capacity(worker, now));
        }
        let freed = self.freed.get(incarnation).map_or(&[][..], Vec::as_slice);
        for (completion_at, resources) in freed {
            used = used.saturating_sub(resources);
            if used.fits_in(&worker.entry.capacity) {
                return Some(*completion_at);
            }
        }
        None
    }

    /// Whether a task may be placed on a worker without delaying a more urgent task. The worker has enough free
    /// capacity; `allocated` is what this search has already allocated on it.
    pub(crate) fn allows_backfill(
        &self,
        worker: &Worker,
        candidate: &Candidate<'_>,
        allocated: &Resources,
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
        let is_delayed = |reservation: &Reservation| {
            reservation.owner < *candidate.urgency
                && completion_at > reservation.available_at
                && !fits_alongside(worker, reservations, reservation, candidate, allocated, now)
        };
        !reservations.iter().any(is_delayed)
    }
}

/// Whether the capacity of a reservation is free when the reservation becomes available, even with the task running.
fn fits_alongside(
    worker: &Worker,
    reservations: &[Reservation],
    reservation: &Reservation,
    candidate: &Candidate<'_>,
    allocated: &Resources,
    now: Millis,
) -> bool {
    let reserved = reservations
        .iter()
        .filter(|other| other.owner < *candidate.urgency);
    let required = reserved.fold(
        candidate.step.resources.saturating_add(allocated),
        |sum, reservation| sum.saturating_add(&reservation.resources),
    );
    let is_still_running = |run: &&Run| {
        expected_completion_at(run, now)
            .is_none_or(|completion_at| completion_at > reservation.available_at)
    };
    let used = worker
        .runs
        .values()
        .filter(is_still_running)
        .fold(required, |sum, run| sum.saturating_add(&run.resources));
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

/// When a run is expected to complete; `None` if it runs until it is stopped.
fn expected_completion_at(run: &Run, now: Millis) -> Option<Millis> {
    if run.next_stop_at.is_some() {
        return Some(now + STOP_DURATION_MS);
    }
    if run.long_running {
        return None;
    }
    let overtime = now.saturating_sub(run.started_at) / OVERTIME_DIVISOR;
    Some(now + run.remaining_ms(now).max(overtime))
}
