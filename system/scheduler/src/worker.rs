//! The scheduler's view of one incarnation of a worker: its capacity, runs, clock and lease.
use crate::{health::Health, run::Run};
use magpiegap_protocol::{
    Availability, Millis, Resources, RunId, RunStart, StepSpec, TaskId, WorkerEntry,
};
use std::collections::BTreeMap;

/// Minimum rate of a worker's clock relative to the scheduler's clock.
const MIN_CLOCK_RATE: f64 = 0.975;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The time on the worker's clock, in milliseconds.
    pub worker_ms: u64,
    /// When the reply with the reading arrived.
    pub received_at: Millis,
}

/// The renewals of a worker's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseRenewal {
    /// The call id of the renewal in flight.
    pub in_flight: Option<u64>,
    /// When the next renewal is due.
    pub renew_at: Millis,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is draining: it accepts no new runs and departs once its runs have stopped.
    pub draining: bool,
    /// The earliest time of its departure, while it is draining.
    pub departs_at: Option<Millis>,
    pub used: Resources,
    pub runs: BTreeMap<TaskId, Run>,
    pub clock: Option<ClockReading>,
    /// Whether it has replied to this scheduler.
    pub has_responded: bool,
    /// On the worker's clock: the latest deadline in any order sent to it.
    pub lease_granted_until: u64,
    /// On the scheduler's clock: when all leases granted by earlier schedulers have expired.
    pub previous_leases_expire_at: Millis,
    pub lease: LeaseRenewal,
    /// Completions up to this sequence number are in the log.
    pub acknowledged_completion: u64,
    /// Completions up to this sequence number are in the log or proposed for it.
    pub proposed_completion: u64,
    /// When an order first timed out; no new runs are placed here until a later call is replied to.
    pub suspected_since: Option<Millis>,
    /// Number of consecutive renewals that timed out.
    pub unanswered_renewals: u32,
    pub health: Health,
}

/// The workers of a service, by incarnation.
pub(crate) type Workers = BTreeMap<String, Worker>;

impl Worker {
    pub(crate) fn new(
        entry: WorkerEntry,
        now: Millis,
        previous_leases_expire_at: Millis,
    ) -> Worker {
        Worker {
            draining: entry.availability == Availability::Draining,
            departs_at: entry.remaining_ms.map(|remaining_ms| now + remaining_ms),
            entry,
            listed: true,
            used: Resources::default(),
            runs: BTreeMap::new(),
            clock: None,
            has_responded: false,
            lease_granted_until: 0,
            previous_leases_expire_at,
            lease: LeaseRenewal {
                in_flight: None,
                renew_at: now,
            },
            acknowledged_completion: 0,
            proposed_completion: 0,
            suspected_since: None,
            unanswered_renewals: 0,
            health: Health::default(),
        }
    }

    /// Creates a worker that the log refers to but the platform does not list.
    pub(crate) fn unlisted(
        incarnation: &str,
        now: Millis,
        previous_leases_expire_at: Millis,
    ) -> Worker {
        let entry = WorkerEntry {
            incarnation: incarnation.to_owned(),
            ..WorkerEntry::default()
        };
        Worker {
            listed: false,
            ..Worker::new(entry, now, previous_leases_expire_at)
        }
    }

    pub(crate) fn free_capacity(&self) -> Resources {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Whether the resources fit into its free capacity.
    pub(crate) fn has_capacity_for(&self, resources: &Resources) -> bool {
        resources
            .saturating_add(&self.used)
            .fits_in(&self.entry.capacity)
    }

    /// Whether it has missed too many consecutive renewals to be sent orders.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unanswered_renewals >= 2
    }

    /// Whether it has replied to this scheduler and to all recent calls.
    pub(crate) fn is_responsive(&self) -> bool {
        self.has_responded && self.unanswered_renewals == 0 && self.suspected_since.is_none()
    }

    /// Whether new runs may be placed here.
    pub(crate) fn is_schedulable(&self, now: Millis) -> bool {
        self.is_responsive() && self.listed && !self.draining && self.health.is_schedulable(now)
    }

    /// Whether it is on probation and may take no more runs, beside `planned` ones: it gets one at a time. Runs from
    /// before its ejection do not count, since they may go on for any time.
    pub(crate) fn is_limited_by_probation(&self, planned: u32, now: Millis) -> bool {
        let ejected_until = self.health.ejected_until();
        let is_probation_run = |run: &Run| run.started_at >= ejected_until;
        self.health.is_on_probation(now)
            && (planned > 0 || self.runs.values().any(is_probation_run))
    }

    /// Whether a long-running run that works since its last failure shows that it has recovered. Such a run is not
    /// expected to complete.
    pub(crate) fn has_recovered(&self) -> bool {
        let last_failure_at = self.health.last_failure_at();
        let shows_recovery = |run: &Run| run.started_at > last_failure_at && run.is_established();
        self.health.has_failures() && self.runs.values().any(shows_recovery)
    }

    /// Returns the run of a task if it has this id.
    pub(crate) fn run_mut(&mut self, task: &TaskId, id: RunId) -> Option<&mut Run> {
        self.runs.get_mut(task).filter(|run| run.id == id)
    }

    /// All its runs as named in a proposal of their loss, with their newest known checkpoints.
    pub(crate) fn lost_runs(&self) -> Vec<RunStart> {
        self.runs
            .iter()
            .map(|(task, run)| run.to_lost(*task, &self.entry.incarnation))
            .collect()
    }

    /// Whether the anti-affinity of a task's step allows one more of its tasks here, beside the runs and `planned` ones.
    pub(crate) fn allows_sibling(
        &self,
        task: TaskId,
        step: &StepSpec,
        planned: impl FnOnce() -> u32,
    ) -> bool {
        let max_siblings = step.anti_affinity;
        if max_siblings == 0 {
            return true;
        }
        let running = self.runs.range(task.siblings()).count() as u32;
        running + planned() < max_siblings
    }

    /// Adds a run and allocates its capacity.
    pub(crate) fn add_run(&mut self, task: TaskId, run: Run) {
        if let Some(old) = self.runs.insert(task, run.clone()) {
            self.used = self.used.saturating_sub(&old.resources);
        }
        self.used = self.used.saturating_add(&run.resources);
    }

    pub(crate) fn remove_run(&mut self, task: &TaskId, run: RunId) -> Option<Run> {
        if self.runs.get(task)?.id != run {
            return None;
        }
        let removed = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&removed.resources);
        Some(removed)
    }

    /// Upper bound of the time that the worker's clock shows now; `None` if it was never read.
    pub(crate) fn max_clock(&self, now: Millis) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.worker_ms + now.saturating_sub(reading.received_at))
    }

    /// Lower bound of the time that the worker's clock shows now; `None` if it was never read.
    pub(crate) fn min_clock(&self, now: Millis) -> Option<u64> {
        let reading = self.clock?;
        let elapsed = now.saturating_sub(reading.received_at) as f64 * MIN_CLOCK_RATE;
        Some(reading.worker_ms + elapsed as u64)
    }

    /// Whether every lease ever granted to it has expired, so that no run can be active there.
    pub(crate) fn all_leases_expired(&self, now: Millis) -> bool {
        if !self.has_responded && now < self.previous_leases_expire_at {
            return false;
        }
        match self.min_clock(now) {
            Some(clock) => clock > self.lease_granted_until,
            None => now >= self.previous_leases_expire_at,
        }
    }

    /// Updates the clock reading from a reply.
    pub(crate) fn read_clock(&mut self, worker_ms: Option<u64>, now: Millis) {
        let Some(worker_ms) = worker_ms else { return };
        // Replies may arrive out of order; an older reading must not set the clock back.
        let is_newer = self.min_clock(now).is_none_or(|known| worker_ms >= known);
        if is_newer {
            self.clock = Some(ClockReading {
                worker_ms,
                received_at: now,
            });
        }
    }

    pub(crate) fn has_labels(&self, required: &[String]) -> bool {
        required.iter().all(|label| self.has_label(label))
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|other| other == label)
    }

    /// The rack label, which the platform lists last, after the kind of the worker.
    pub(crate) fn rack(&self) -> &str {
        self.entry.labels.last().map_or("", String::as_str)
    }
}
