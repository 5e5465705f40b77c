//! The scheduler: owns the state of its modules, handles time and collects outputs.
use crate::{
    call_table::{CallPurpose, CallTable, InFlightCall},
    calls::{Output, WorkerCall, WorkerOrder},
    changed_jobs::ChangedJobs,
    ejection_report::EjectionReport,
    health::FailureRate,
    job_timers::JobTimers,
    lease_timing::LeaseTiming,
    planner::Planner,
    queue::URGENT_PRIORITY,
    run_table::RunTable,
    settings::SchedulerSettings,
};
use magpiegap_jobs::{Job, State};
use magpiegap_protocol::{Command, FencingToken, LogPosition, Millis, Submission, WallMillis};
use serde::{Deserialize, Serialize};

/// Interval between checks of all workers, jobs and forecasts.
const CHECK_INTERVAL_MS: Millis = 50;
/// On a worker with a slow clock a lease may last longer than granted, by its duration divided by this.
const CLOCK_DRIFT_DIVISOR: u64 = 25;

/// Scheduler statistics for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerSummary {
    /// Known workers.
    pub workers: usize,
    /// Unresponsive workers.
    #[serde(rename = "silent")]
    pub unresponsive: usize,
    /// Tracked runs.
    pub runs: usize,
    /// Queued tasks and gangs.
    #[serde(rename = "waiting")]
    pub queued: usize,
    /// Queued tasks and gangs of the most urgent priority.
    #[serde(default, rename = "waiting_urgent")]
    pub queued_urgent: usize,
    /// Jobs whose starts workers reject as invalid.
    #[serde(default)]
    pub rejected_jobs: usize,
}

/// Places and starts the tasks of one service.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) service: String,
    pub(crate) token: FencingToken,
    pub(crate) settings: SchedulerSettings,
    /// Position of the last entry included when the state was last read in full.
    pub(crate) snapshot_position: LogPosition,
    pub(crate) table: RunTable,
    pub(crate) ejection_report: EjectionReport,
    pub(crate) job_timers: JobTimers,
    pub(crate) changed_jobs: ChangedJobs,
    pub(crate) calls: CallTable,
    /// Monotonic time of the last input.
    pub(crate) now: Millis,
    /// Wall-clock time of the last call of `on_timeout`.
    pub(crate) wall: WallMillis,
    pub(crate) taken_over_at: Millis,
    pub(crate) planner: Planner,
    pub(crate) next_check_at: Millis,
    pub(crate) lease_timing: LeaseTiming,
    pub(crate) failure_rate: FailureRate,
    /// A worker has seen a higher fencing token: no calls or proposals are made any more.
    pub(crate) deposed: bool,
    pub(crate) outputs: Vec<Output>,
}

impl Scheduler {
    /// Creates the scheduler of a role that was just taken over; `seed` seeds its random choices.
    pub fn new(
        service: &str,
        token: FencingToken,
        settings: SchedulerSettings,
        now: Millis,
        state: &State,
        seed: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            service: service.to_owned(),
            token,
            snapshot_position: LogPosition::default(),
            table: RunTable::new(now),
            ejection_report: EjectionReport::default(),
            job_timers: JobTimers::default(),
            changed_jobs: ChangedJobs::default(),
            calls: CallTable::default(),
            now,
            wall: WallMillis::default(),
            taken_over_at: now,
            planner: Planner::new(now, settings.remote_factor, seed),
            settings,
            next_check_at: now,
            lease_timing: LeaseTiming::default(),
            failure_rate: FailureRate::default(),
            deposed: false,
            outputs: Vec::new(),
        };
        scheduler.reload_state(now, state);
        scheduler
    }

    /// The service whose workers it schedules.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The fencing token of the role.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether a worker has refused its token because it has seen a higher one. A deposed scheduler is inactive.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Gives up the role immediately and drops the outputs that were not polled.
    pub(crate) fn depose(&mut self, refused_by: &str) {
        if self.deposed {
            return;
        }
        self.deposed = true;
        self.drop_outputs();
        let line = format!(
            "worker has seen higher fencing token, giving up role worker={refused_by} token={}",
            self.token
        );
        self.outputs.push(Output::Log(line));
    }

    /// Number of queued tasks and gangs examined since it was created: a measure of its work that does not depend on the
    /// machine.
    pub fn examined_units(&self) -> u64 {
        self.planner.examined_units
    }

    /// Returns statistics for operators.
    pub fn summary(&self) -> SchedulerSummary {
        SchedulerSummary {
            workers: self.table.workers.len(),
            unresponsive: self.table.unresponsive_workers(),
            runs: self.table.runs(),
            rejected_jobs: self.planner.start_backoff.len(),
            queued: self.planner.queue.len(),
            queued_urgent: self
                .planner
                .queue
                .iter()
                .filter(|(key, _)| key.priority == URGENT_PRIORITY)
                .count(),
        }
    }

    /// Returns a command that accepts a job, and starts its first tasks if there is capacity and no more urgent task is
    /// queued.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Command {
        let job = Job::new(submission.clone());
        let runs = self.planner.place_submitted(&mut self.table, &job, now);
        Command::SubmitJob {
            submission: Box::new(submission),
            runs,
        }
    }

    /// Returns the outputs since the last call, in the order in which they must be carried out.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When all leases granted by earlier owners of the role have expired, even on workers with slow clocks.
    pub(crate) fn previous_leases_expire_at(&self) -> Millis {
        let max_lease_ms = self.settings.max_lease_ms;
        let max_lease_with_drift_ms = max_lease_ms + max_lease_ms / CLOCK_DRIFT_DIVISOR;
        self.taken_over_at + self.settings.role_lease_ms + max_lease_with_drift_ms
    }

    /// Sends an order to a worker and returns the id of the call. A deposed scheduler sends nothing.
    pub(crate) fn send_call(
        &mut self,
        incarnation: &str,
        purpose: CallPurpose,
        order: WorkerOrder,
        timeout_ms: Millis,
    ) -> u64 {
        let id = self.calls.next_id();
        let Some(worker) = self
            .table
            .workers
            .get(incarnation)
            .filter(|_| !self.deposed)
        else {
            return id;
        };
        self.outputs.push(Output::Call(WorkerCall {
            id,
            address: worker.entry.address.clone(),
            incarnation: incarnation.to_owned(),
            token: self.token,
            order,
            timeout_ms,
        }));
        let sent_at = self.now;
        self.calls.insert(
            id,
            InFlightCall {
                incarnation: incarnation.to_owned(),
                purpose,
                sent_at,
            },
        );
        id
    }

    /// Performs all work that is due at `now`. Must be called after each other input, and at least every 50 ms.
    pub fn on_timeout(&mut self, now: Millis, wall: WallMillis, state: &State) {
        if self.deposed {
            return;
        }
        self.now = now;
        self.wall = wall;
        for job in self.changed_jobs.take_due(now) {
            self.reconcile_job(job, now, state);
        }
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL_MS;
            self.check_workers(now, state);
            if let Some(line) = self.ejection_report.poll_line(now) {
                self.outputs.push(Output::Log(line));
            }
            self.planner.refresh_worker_names(&self.table.workers);
            self.open_due_occurrences(wall, state);
            self.remove_completed_jobs(wall);
            for job in self.planner.queue.outdated(wall) {
                self.refresh_queue(job, now, state);
            }
            // A task may become placeable by time alone, when an ejection or a wait for locality ends.
            if self.planner.queue.len() > 0 {
                self.planner.request_round();
            }
        }
        self.send_due_orders(now, state);
        self.renew_leases(now);
        let runs = self.planner.poll_round(&mut self.table, now, state);
        if !runs.is_empty() {
            self.outputs
                .push(Output::Propose(Command::StartRuns { runs }));
        }
    }
}
