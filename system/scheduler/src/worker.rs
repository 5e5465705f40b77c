//! What the scheduler knows of one life of a worker.
use crate::health::Health;
use magpiegap_protocol::{Availability, Millis, Resources, RunId, TaskId, WorkerEntry};
use std::collections::BTreeMap;

/// The slowest that a worker's clock may run beside ours.
const MIN_CLOCK_RATE: f64 = 0.975;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// What the clock showed, in milliseconds.
    pub worker_ms: u64,
    /// When the answer that said so came.
    pub received_at: Millis,
}

/// How far a run has come, as far as the scheduler knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Proposed for the log.
    Proposed,
    /// In the log; its start is still to be sent, not before this time.
    Recorded { not_before: Millis },
    /// Its start was sent and has not been answered.
    Starting,
    /// It was started, or may have been by an earlier holder of the role.
    Started,
    /// It is surely not going on, and proposed for the log to be taken off the record.
    LossProposed,
}

/// A run's progress, as far as its worker has listed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// In hundredths.
    pub percent: u64,
    /// When it was first listed there.
    pub since: Millis,
    /// When it was last listed there.
    pub seen: Millis,
}

impl Progress {
    /// Takes note of a listing.
    pub(crate) fn note(&mut self, percent: u64, now: Millis) {
        if percent != self.percent {
            *self = Progress {
                percent,
                since: now,
                seen: now,
            };
        }
        self.seen = now;
    }

    /// How long it has surely stood still.
    pub(crate) fn stalled_ms(&self) -> Millis {
        self.seen.saturating_sub(self.since)
    }
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub run: RunId,
    pub resources: Resources,
    pub priority: u32,
    pub phase: RunPhase,
    /// The checkpoint that it was started from.
    pub checkpoint: String,
    /// The newest checkpoint that the worker has listed.
    pub latest_checkpoint: String,
    pub progress: Progress,
    /// It keeps its progress when it is stopped.
    pub checkpoints: bool,
    /// It ends only when its job is cancelled.
    pub long_running: bool,
    /// It works only together with others.
    pub gang: bool,
    /// When it was started.
    pub started_at: Millis,
    /// How long it should take, by the client's guess.
    pub estimated_ms: u64,
    /// It is to be stopped; the next order to do so is due at this time.
    pub next_stop_at: Option<Millis>,
    /// Orders for it that are under way.
    pub in_flight_orders: u32,
    /// When the last order for it was answered; a listing asked for before says nothing of it.
    pub last_reply_at: Millis,
    /// On the worker's clock: until when a start that was not answered may still take effect.
    pub start_valid_until: u64,
    /// How often its start was sent.
    pub start_attempts: u32,
}

/// The state of the hold on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseRenewal {
    /// The call under way.
    pub in_flight: Option<u64>,
    /// When the next one is due.
    pub renew_at: Millis,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    /// The platform still lists it.
    pub listed: bool,
    /// It is being emptied.
    pub draining: bool,
    /// When it goes at the earliest, while it is being emptied.
    pub departs_at: Option<Millis>,
    pub used: Resources,
    pub runs: BTreeMap<TaskId, Run>,
    pub clock: Option<ClockReading>,
    /// It has answered under this scheduler's token.
    pub has_responded: bool,
    /// On the worker's clock: the latest deadline in any order ever sent to it.
    pub lease_granted_until: u64,
    /// On our clock: when all that others granted has surely run out.
    pub previous_leases_expire_at: Millis,
    pub lease: LeaseRenewal,
    /// Ends up to this number are in the log.
    pub acknowledged_completion: u64,
    /// Ends up to this number are proposed for the log.
    pub proposed_completion: u64,
    /// When an order was first not answered; until a later call is answered it gets no new work.
    pub suspected_since: Option<Millis>,
    /// Holds in a row that were not answered.
    pub unanswered_renewals: u32,
    pub health: Health,
}

/// The workers of a service, by the name of their life.
pub(crate) type Workers = BTreeMap<String, Worker>;

impl Worker {
    pub(crate) fn new(
        entry: WorkerEntry,
        now: Millis,
        previous_leases_expire_at: Millis,
    ) -> Worker {
        Worker {
            draining: entry.availability == Availability::Draining,
            departs_at: entry.remaining_ms.map(|left| now + left),
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

    /// Resources that no run takes up.
    pub(crate) fn free_capacity(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether this much fits beside its runs.
    pub(crate) fn has_capacity_for(&self, resources: &Resources) -> bool {
        resources.plus(&self.used).fits(&self.entry.capacity)
    }

    /// Whether it has left too many calls unanswered to be given more work.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unanswered_renewals >= 2
    }

    /// Whether it has answered under this scheduler's token, and all calls since.
    pub(crate) fn is_responsive(&self) -> bool {
        self.has_responded && self.unanswered_renewals == 0 && self.suspected_since.is_none()
    }

    /// Whether new runs may be placed here.
    pub(crate) fn is_schedulable(&self, now: Millis) -> bool {
        self.is_responsive() && self.listed && !self.draining && self.health.is_schedulable(now)
    }

    pub(crate) fn add_run(&mut self, task: TaskId, run: Run) {
        if let Some(old) = self.runs.insert(task, run.clone()) {
            self.used = self.used.minus(&old.resources);
        }
        self.used = self.used.plus(&run.resources);
    }

    pub(crate) fn remove_run(&mut self, task: &TaskId, run: RunId) -> Option<Run> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(task)?;
        self.used = self.used.minus(&removed.resources);
        Some(removed)
    }

    /// The latest that the worker's clock can show now; `None` while it was never read.
    pub(crate) fn max_clock(&self, now: Millis) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.worker_ms + now.saturating_sub(reading.received_at))
    }

    /// The earliest that the worker's clock can show now.
    pub(crate) fn min_clock(&self, now: Millis) -> Option<u64> {
        let reading = self.clock?;
        let passed = now.saturating_sub(reading.received_at) as f64 * MIN_CLOCK_RATE;
        Some(reading.worker_ms + passed as u64)
    }

    /// Whether every hold ever granted to it has surely run out, so that nothing runs there any more.
    pub(crate) fn all_leases_expired(&self, now: Millis) -> bool {
        if !self.has_responded && now < self.previous_leases_expire_at {
            return false;
        }
        match self.min_clock(now) {
            Some(clock) => clock > self.lease_granted_until,
            None => now >= self.previous_leases_expire_at,
        }
    }

    /// Takes a reading of the clock from an answer.
    pub(crate) fn read_clock(&mut self, worker_ms: Option<u64>, now: Millis) {
        let Some(worker_ms) = worker_ms else { return };
        // Answers may overtake each other: an older reading would set the clock back.
        let newer = self.min_clock(now).is_none_or(|known| worker_ms >= known);
        if newer {
            self.clock = Some(ClockReading {
                worker_ms,
                received_at: now,
            });
        }
    }

    /// Whether the worker has all of these labels.
    pub(crate) fn has_labels(&self, wanted: &[String]) -> bool {
        wanted.iter().all(|label| self.has_label(label))
    }

    /// Whether the worker has this label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// The rack: the last label, as the platform lists the kind first.
    pub(crate) fn rack(&self) -> &str {
        self.entry.labels.last().map_or("", String::as_str)
    }
}

/// About how long a run still takes, by its progress or else by the client's guess.
pub(crate) fn remaining_ms(run: &Run, now: Millis) -> Millis {
    const MIN_RELIABLE_PERCENT: u64 = 10;
    let passed = now.saturating_sub(run.started_at);
    let percent = run.progress.percent;
    if percent >= MIN_RELIABLE_PERCENT {
        return passed * (100 - percent.min(100)) / percent;
    }
    run.estimated_ms.saturating_sub(passed)
}
