//! The scheduler's state and the ways in and out of it.
use crate::{
    backfill::Backfill,
    calls::{Output, WorkerCall, WorkerOrder},
    health::FailureShare,
    hold_waits::HoldWaits,
    queue::{Queue, Urgency, URGENT_PRIORITY},
    reservations::Reservations,
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
    Hold {
        /// How long its answer may wait for an end.
        wait_ms: u64,
    },
    /// A look beside a hold that is under way, at a worker that has left an order unanswered.
    Probe,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenCall {
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
    pub(crate) known_until: LogPosition,
    pub(crate) workers: Workers,
    /// The names of all workers, as they were a moment ago.
    pub(crate) names: Vec<String>,
    pub(crate) queue: Queue,
    pub(crate) reservations: Reservations,
    pub(crate) backfill: Backfill,
    /// Tasks with a run that is proposed and not yet in the log.
    pub(crate) proposed: HashSet<TaskId>,
    /// Workers that have a run whose start may be sent now.
    pub(crate) fresh: BTreeSet<String>,
    /// Workers of which there was news, so that a hold may be due there.
    pub(crate) hold_news: BTreeSet<String>,
    /// When all workers are next searched for holds that are due.
    pub(crate) next_hold_search: Millis,
    /// Workers that are left alone since that was last told, and when it was.
    pub(crate) left_alone_untold: BTreeSet<String>,
    pub(crate) left_alone_told_at: Millis,
    /// Workers on which a task has failed.
    pub(crate) failed_on: HashMap<TaskId, Vec<String>>,
    /// Repeated jobs by when their next time falls due.
    pub(crate) timed: BTreeSet<(WallMillis, JobId)>,
    pub(crate) times_proposed: HashSet<(JobId, u32)>,
    /// Ended jobs by when they ended.
    pub(crate) ended: BTreeSet<(WallMillis, JobId)>,
    pub(crate) calls: BTreeMap<u64, OpenCall>,
    pub(crate) response_times: ResponseTimes,
    pub(crate) next_call: u64,
    /// The steady clock at the last input.
    pub(crate) now: Millis,
    /// The time of day when time last passed.
    pub(crate) wall: WallMillis,
    pub(crate) taken_over_at: Millis,
    /// Something has changed that may let a task be placed.
    pub(crate) replan: bool,
    /// No round of planning before this time.
    pub(crate) next_plan: Millis,
    /// Where the last round of planning ended, if it did not look at all that waits.
    pub(crate) plan_next: Option<Urgency>,
    pub(crate) next_check: Millis,
    pub(crate) hold_waits: HoldWaits,
    pub(crate) failure_share: FailureShare,
    /// A worker has seen a higher token: nothing more is called or ordered with this one.
    pub(crate) deposed: bool,
    pub(crate) out: Vec<Output>,
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
            known_until: LogPosition::default(),
            workers: Workers::new(),
            names: Vec::new(),
            queue: Queue::default(),
            reservations: Reservations::default(),
            backfill: Backfill::default(),
            proposed: HashSet::new(),
            fresh: BTreeSet::new(),
            hold_news: BTreeSet::new(),
            left_alone_untold: BTreeSet::new(),
            left_alone_told_at: 0,
            next_hold_search: now,
            failed_on: HashMap::new(),
            timed: BTreeSet::new(),
            times_proposed: HashSet::new(),
            ended: BTreeSet::new(),
            calls: BTreeMap::new(),
            response_times: ResponseTimes::default(),
            next_call: 0,
            now,
            wall: WallMillis::default(),
            taken_over_at: now,
            replan: true,
            next_plan: now,
            plan_next: None,
            next_check: now,
            hold_waits: HoldWaits::default(),
            failure_share: FailureShare::default(),
            deposed: false,
            out: Vec::new(),
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
        self.out.push(Output::Log(line));
    }

    /// Figures for operators.
    pub fn summary(&self) -> Summary {
        Summary {
            workers: self.workers.len(),
            silent: self
                .workers
                .values()
                .filter(|worker| worker.silent())
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
        std::mem::take(&mut self.out)
    }

    /// When all that other holders of the role granted has surely run out.
    pub(crate) fn others_lapse_at(&self) -> Millis {
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
        self.out.push(Output::Call(WorkerCall {
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
            OpenCall {
                incarnation: incarnation.to_owned(),
                purpose,
                sent_at,
            },
        );
        id
    }

    /// Says which workers are left alone, once for many.
    fn tell_left_alone(&mut self, now: Millis) {
        if self.left_alone_untold.is_empty()
            || now < self.left_alone_told_at + TELL_LEFT_ALONE_EVERY_MS
        {
            return;
        }
        self.left_alone_told_at = now;
        let untold = std::mem::take(&mut self.left_alone_untold);
        let named: Vec<&str> = untold.iter().take(MOST_NAMED).map(String::as_str).collect();
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
        self.out.push(Output::Log(line));
    }

    fn refresh_names(&mut self) {
        if !self.workers.keys().eq(self.names.iter()) {
            self.names = self.workers.keys().cloned().collect();
        }
    }

    /// A round looks at all that waits, so with much waiting there is a pause before the next one.
    fn pause_after_plan(&self) -> Millis {
        (self.queue.len() as u64 / WAITING_PER_PAUSE_MS).min(MOST_PLAN_PAUSE_MS)
    }

    /// Does what is due. To be called after all other inputs, and every few hundredths of a second.
    pub fn run(&mut self, now: Millis, wall: WallMillis, state: &State) {
        if self.deposed {
            return;
        }
        self.now = now;
        self.wall = wall;
        if now >= self.next_check {
            self.next_check = now + CHECK_EVERY_MS;
            self.check_workers(now, state);
            self.tell_left_alone(now);
            self.refresh_names();
            self.open_times(wall, state);
            self.forget_jobs(wall);
            for job in self.queue.outdated(wall) {
                self.refresh_queue(job, now, state);
            }
            // Time alone may let a task be placed: a worker's ejection ends, or a wait for a near one.
            self.replan |= self.queue.len() > 0;
        }
        self.send_starts(now, state);
        self.renew_holds(now);
        if self.replan && now >= self.next_plan {
            self.replan = false;
            self.plan(now, state);
            self.next_plan = now + self.pause_after_plan();
        }
    }
}

/// Tasks left waiting for each millisecond of pause between two rounds of planning.
const WAITING_PER_PAUSE_MS: u64 = 16;
/// Longest pause between two rounds of planning.
const MOST_PLAN_PAUSE_MS: Millis = 20;

/// Time between two lines on workers that are left alone.
const TELL_LEFT_ALONE_EVERY_MS: Millis = 1000;
/// Workers named in such a line.
const MOST_NAMED: usize = 5;

/// How often everything is looked through for what is due.
const CHECK_EVERY_MS: Millis = 50;
