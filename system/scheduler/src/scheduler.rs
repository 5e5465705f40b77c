//! The scheduler's state and the ways in and out of it.
use crate::{
    backfill::Backfill,
    calls::{Output, WorkerCall, WorkerOrder},
    health::FailureRate,
    lease_timing::LeaseTiming,
    nominations::Nominations,
    queue::{Queue, Urgency, URGENT_PRIORITY},
    response_times::ResponseTimes,
    settings::SchedulerSettings,
    worker::Workers,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{FencingToken, JobId, LogPosition, Millis, RunId, TaskId, WallMillis};
use rand::{rngs::StdRng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// What a call under way was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    Start {
        task: TaskId,
        run: RunId,
        deadline_ms: u64,
    },
    Stop {
        task: TaskId,
        run: RunId,
    },
    /// A stop of a run that is on no record.
    StopStray,
    LeaseRenewal {
        /// How long its answer may wait for an end.
        wait_ms: u64,
    },
    /// A look beside a hold that is under way, at a worker that has left an order unanswered.
    HealthCheck,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlightCall {
    pub incarnation: String,
    pub purpose: CallPurpose,
    pub sent_at: Millis,
}

/// Figures on a scheduler, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers known.
    pub workers: usize,
    /// Workers that don't answer.
    pub silent: usize,
    /// Runs on record.
    pub runs: usize,
    /// Tasks and gangs that wait for a place.
    pub waiting: usize,
    /// Those of them that are of the most urgent priority.
    #[serde(default)]
    pub waiting_urgent: usize,
}

/// Places and starts the tasks of one service.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) service: String,
    pub(crate) token: FencingToken,
    pub(crate) settings: SchedulerSettings,
    pub(crate) random: StdRng,
    /// The last entry that the state held when it was last taken up whole.
    pub(crate) snapshot_position: LogPosition,
    pub(crate) workers: Workers,
    /// The names of all workers, as they were a moment ago.
    pub(crate) worker_names: Vec<String>,
    pub(crate) queue: Queue,
    pub(crate) nominations: Nominations,
    pub(crate) backfill: Backfill,
    /// Tasks with a run that is proposed and not yet in the log.
    pub(crate) proposed: HashSet<TaskId>,
    /// Workers that have a run whose start may be sent now.
    pub(crate) workers_with_orders: BTreeSet<String>,
    /// Workers of which there was news, so that a hold may be due there.
    pub(crate) lease_updates: BTreeSet<String>,
    /// When all workers are next searched for holds that are due.
    pub(crate) next_lease_scan: Millis,
    /// Workers that are left alone since that was last told, and when it was.
    pub(crate) unreported_ejections: BTreeSet<String>,
    pub(crate) ejections_reported_at: Millis,
    /// Workers on which a task has failed.
    pub(crate) failed_on: HashMap<TaskId, Vec<String>>,
    /// Repeated jobs by when their next time falls due.
    pub(crate) scheduled_jobs: BTreeSet<(WallMillis, JobId)>,
    pub(crate) proposed_occurrences: HashSet<(JobId, u32)>,
    /// Ended jobs by when they ended.
    pub(crate) completed_jobs: BTreeSet<(WallMillis, JobId)>,
    pub(crate) in_flight_calls: BTreeMap<u64, InFlightCall>,
    pub(crate) response_times: ResponseTimes,
    pub(crate) next_call: u64,
    /// The steady clock at the last input.
    pub(crate) now: Millis,
    /// The time of day when time last passed.
    pub(crate) wall: WallMillis,
    pub(crate) taken_over_at: Millis,
    /// Something has changed that may let a task be placed.
    pub(crate) needs_planning: bool,
    /// No round of planning before this time.
    pub(crate) next_planning_at: Millis,
    /// Where the last round of planning ended, if it did not look at all that waits.
    pub(crate) planning_cursor: Option<Urgency>,
    pub(crate) next_check_at: Millis,
    pub(crate) lease_timing: LeaseTiming,
    pub(crate) failure_rate: FailureRate,
    /// A worker has seen a higher token: nothing more is called or ordered with this one.
    pub(crate) deposed: bool,
    pub(crate) outputs: Vec<Output>,
}

impl Scheduler {
    /// A scheduler whose role was just taken over.
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
            settings,
            random: StdRng::seed_from_u64(seed),
            snapshot_position: LogPosition::default(),
            workers: Workers::new(),
            worker_names: Vec::new(),
            queue: Queue::default(),
            nominations: Nominations::default(),
            backfill: Backfill::default(),
            proposed: HashSet::new(),
            workers_with_orders: BTreeSet::new(),
            lease_updates: BTreeSet::new(),
            unreported_ejections: BTreeSet::new(),
            ejections_reported_at: 0,
            next_lease_scan: now,
            failed_on: HashMap::new(),
            scheduled_jobs: BTreeSet::new(),
            proposed_occurrences: HashSet::new(),
            completed_jobs: BTreeSet::new(),
            in_flight_calls: BTreeMap::new(),
            response_times: ResponseTimes::default(),
            next_call: 0,
            now,
            wall: WallMillis::default(),
            taken_over_at: now,
            needs_planning: true,
            next_planning_at: now,
            planning_cursor: None,
            next_check_at: now,
            lease_timing: LeaseTiming::default(),
            failure_rate: FailureRate::default(),
            deposed: false,
            outputs: Vec::new(),
        };
        scheduler.resume(now, state);
        scheduler
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The fencing token of the role.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether a worker has refused it for a higher token: it does nothing any more.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Gives the role up at once, with all that was not handed on yet.
    pub(crate) fn depose(&mut self, refused_by: &str) {
        if self.deposed {
            return;
        }
        self.deposed = true;
        self.drop_outputs();
        let line = format!(
            "{refused_by} has seen a higher token than {}: the role is given up",
            self.token
        );
        self.outputs.push(Output::Log(line));
    }

    /// Figures for operators.
    pub fn summary(&self) -> Summary {
        Summary {
            workers: self.workers.len(),
            silent: self
                .workers
                .values()
                .filter(|worker| worker.is_unresponsive())
                .count(),
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            waiting: self.queue.len(),
            waiting_urgent: self
                .queue
                .iter()
                .filter(|(key, _)| key.priority == URGENT_PRIORITY)
                .count(),
        }
    }

    /// Takes what it wants done.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When all that other holders of the role granted has surely run out.
    pub(crate) fn previous_leases_expire_at(&self) -> Millis {
        let hold = self.settings.max_hold_ms + self.settings.max_hold_ms / 25;
        self.taken_over_at + self.settings.lease_ms + hold
    }

    /// Sends an order to a worker.
    pub(crate) fn call(
        &mut self,
        incarnation: &str,
        purpose: CallPurpose,
        order: WorkerOrder,
        timeout_ms: Millis,
    ) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        let Some(worker) = self.workers.get(incarnation).filter(|_| !self.deposed) else {
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
        self.in_flight_calls.insert(
            id,
            InFlightCall {
                incarnation: incarnation.to_owned(),
                purpose,
                sent_at,
            },
        );
        id
    }

    /// Says which workers are left alone, once for many.
    fn report_ejections(&mut self, now: Millis) {
        if self.unreported_ejections.is_empty()
            || now < self.ejections_reported_at + EJECTION_REPORT_INTERVAL_MS
        {
            return;
        }
        self.ejections_reported_at = now;
        let untold = std::mem::take(&mut self.unreported_ejections);
        let named: Vec<&str> = untold
            .iter()
            .take(MAX_REPORTED_WORKERS)
            .map(String::as_str)
            .collect();
        let more = untold.len() - named.len();
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        let line = format!(
            "workers left alone, since their runs fail: {}{more}",
            named.join(", ")
        );
        self.outputs.push(Output::Log(line));
    }

    fn refresh_worker_names(&mut self) {
        if !self.workers.keys().eq(self.worker_names.iter()) {
            self.worker_names = self.workers.keys().cloned().collect();
        }
    }

    /// A round looks at all that waits, so with much waiting there is a pause before the next one.
    fn planning_pause(&self) -> Millis {
        (self.queue.len() as u64 / QUEUED_PER_PAUSE_MS).min(MAX_PLANNING_PAUSE_MS)
    }

    /// Does what is due. To be called after all other inputs, and every few hundredths of a second.
    pub fn run(&mut self, now: Millis, wall: WallMillis, state: &State) {
        if self.deposed {
            return;
        }
        self.now = now;
        self.wall = wall;
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL_MS;
            self.check_workers(now, state);
            self.report_ejections(now);
            self.refresh_worker_names();
            self.open_due_occurrences(wall, state);
            self.forget_completed_jobs(wall);
            for job in self.queue.outdated(wall) {
                self.refresh_queue(job, now, state);
            }
            // Time alone may let a task be placed: a worker's ejection ends, or a wait for a near one.
            self.needs_planning |= self.queue.len() > 0;
        }
        self.send_due_orders(now, state);
        self.renew_leases(now);
        if self.needs_planning && now >= self.next_planning_at {
            self.needs_planning = false;
            self.plan(now, state);
            self.next_planning_at = now + self.planning_pause();
        }
    }
}

/// Tasks left waiting for each millisecond of pause between two rounds of planning.
const QUEUED_PER_PAUSE_MS: u64 = 16;
/// Longest pause between two rounds of planning.
const MAX_PLANNING_PAUSE_MS: Millis = 20;

/// Time between two lines on workers that are left alone.
const EJECTION_REPORT_INTERVAL_MS: Millis = 1000;
/// Workers named in such a line.
const MAX_REPORTED_WORKERS: usize = 5;

/// How often everything is looked through for what is due.
const CHECK_INTERVAL_MS: Millis = 50;
