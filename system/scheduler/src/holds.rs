//! Keeps the holds on workers, and notices those that fall silent, stand still or go.
use crate::{
    calls::{Output, WorkerOrder},
    hold_waits::HoldWaits,
    scheduler::{CallPurpose, Scheduler},
    worker::{remaining_ms, Run, RunPhase, Worker},
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis, TaskId};

/// Longest time that a hold's answer may wait where a run makes no progress.
const SUSPICIOUS_WAIT_MS: u64 = 150;
/// Longest time between two searches through all workers for holds that are due.
const HOLD_SEARCH_EVERY_MS: Millis = 50;
/// Time between two looks at a worker that does not answer.
const PROBE_EVERY_MS: Millis = 400;
/// A run whose progress stands still for less than this is never taken for stuck.
const STUCK_LEAST_MS: Millis = 300;
/// What a long run may stand still beyond a twentieth of its estimate.
const STUCK_LONG_MS: Millis = 1600;

impl Scheduler {
    /// Adapts how long holds wait to the number of workers that have runs.
    fn adapt_waits(&mut self) {
        let busy = self
            .workers
            .values()
            .filter(|worker| !worker.runs.is_empty())
            .count();
        self.hold_waits = HoldWaits::of_busy_workers(busy);
    }

    /// Sends the holds that are due. All workers are searched when one may be due by time alone; meanwhile only those of
    /// which there was news are looked at.
    pub(crate) fn renew_holds(&mut self, now: Millis) {
        let news = std::mem::take(&mut self.hold_news);
        let mut due = Vec::new();
        let mut next_search = now + HOLD_SEARCH_EVERY_MS;
        let mut look = |incarnation: &String, worker: &Worker| match next_hold(worker) {
            Some(at) if now >= at => due.push(incarnation.clone()),
            Some(at) => next_search = next_search.min(at),
            None => {}
        };
        if now >= self.next_hold_search {
            self.workers
                .iter()
                .for_each(|(incarnation, worker)| look(incarnation, worker));
            self.next_hold_search = next_search;
        } else {
            let known = news
                .iter()
                .filter_map(|incarnation| Some((incarnation, self.workers.get(incarnation)?)));
            known.for_each(|(incarnation, worker)| look(incarnation, worker));
            self.next_hold_search = self.next_hold_search.min(next_search);
        }
        for incarnation in due {
            self.send_hold(&incarnation, now);
        }
    }

    fn send_hold(&mut self, incarnation: &str, now: Millis) {
        let hold_ms = self.hold_waits.hold_ms(self.settings.max_hold_ms);
        let usual_wait_ms = self.hold_waits.wait_ms();
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        // A worker that does not answer is granted no more time: its runs are to end.
        let grant = worker.greeted && worker.unanswered == 0;
        let deadline_ms = worker
            .clock_now(now)
            .filter(|_| grant)
            .map(|clock| clock + hold_ms);
        worker.granted_until = worker.granted_until.max(deadline_ms.unwrap_or(0));
        let suspicious = worker.runs.values().any(|run| makes_no_progress(run, now));
        let wait_ms = match grant {
            true if suspicious => SUSPICIOUS_WAIT_MS,
            true => usual_wait_ms,
            false => 0,
        };
        worker.hold.due = now + PROBE_EVERY_MS;
        let order = WorkerOrder::Hold {
            deadline_ms,
            last_seen: worker.last_seen,
            wait_ms,
        };
        let id = self.call(
            incarnation,
            CallPurpose::Hold { wait_ms },
            order,
            wait_ms + self.response_times.wait_ms(),
        );
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.hold.open = Some(id);
        }
    }

    /// Looks at a worker that has left an order unanswered.
    pub(crate) fn probe(&mut self, incarnation: &str) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let order = WorkerOrder::Hold {
            deadline_ms: None,
            last_seen: worker.last_seen,
            wait_ms: 0,
        };
        self.call(
            incarnation,
            CallPurpose::Probe,
            order,
            self.response_times.wait_ms(),
        );
    }

    /// Looks through all workers for what is due.
    pub(crate) fn check_workers(&mut self, now: Millis, state: &State) {
        self.adapt_waits();
        let instances: Vec<String> = self.workers.keys().cloned().collect();
        for incarnation in instances {
            self.check_worker(&incarnation, now, state);
        }
    }

    fn check_worker(&mut self, incarnation: &str, now: Millis, state: &State) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        if worker.runs.is_empty() {
            let over = !worker.listed && worker.hold.open.is_none();
            if over && (worker.silent() || worker.entry.address.is_empty()) {
                self.forget_worker(incarnation, state);
            }
            return;
        }
        let pending = worker
            .runs
            .values()
            .all(|run| matches!(run.phase, RunPhase::Proposed | RunPhase::Losing));
        let out_of_reach = worker.silent() || worker.entry.address.is_empty() || !worker.listed;
        if out_of_reach && !pending && worker.surely_lapsed(now) {
            self.lose_lapsed(incarnation);
            return;
        }
        self.leave_draining(incarnation, now);
        self.send_orders(incarnation, now, state);
        self.check_progress(incarnation, now);
    }

    fn forget_worker(&mut self, incarnation: &str, state: &State) {
        if state.workers.contains_key(incarnation) {
            let incarnation = incarnation.to_owned();
            self.out.push(Output::Propose(Command::LoseIncarnation {
                incarnation,
                ended: true,
            }));
        }
        self.workers.remove(incarnation);
    }

    /// Stops runs that won't be done before their worker goes, so that they are started elsewhere at once.
    fn leave_draining(&mut self, incarnation: &str, now: Millis) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(gone_at) = worker.gone_at.filter(|_| worker.draining) else {
            return;
        };
        let left = gone_at.saturating_sub(now);
        for run in worker.runs.values_mut() {
            let running = run.phase == RunPhase::Started && run.stop_due.is_none();
            if running && (run.lasting || remaining_ms(run, now) > left) {
                run.stop_due = Some(now);
                self.fresh.insert(incarnation.to_owned());
            }
        }
    }

    /// Stops runs that stand still, so that they are started elsewhere.
    fn check_progress(&mut self, incarnation: &str, now: Millis) {
        let gang_ms = self.settings.gang_ms;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let stuck: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| {
                run.phase == RunPhase::Started && run.stop_due.is_none() && is_stuck(run, gang_ms)
            })
            .map(|(task, _)| *task)
            .collect();
        if stuck.is_empty() || worker.unanswered > 0 {
            return;
        }
        for task in &stuck {
            if let Some(run) = worker.runs.get_mut(task) {
                run.stop_due = Some(now);
            }
        }
        worker.health.eject(now);
        self.fresh.insert(incarnation.to_owned());
        self.out.push(Output::Log(format!(
            "{} runs on {incarnation} stand still and are moved",
            stuck.len()
        )));
    }
}

/// When the next hold on a worker is to be sent; `None`: not before there is news of it.
fn next_hold(worker: &Worker) -> Option<Millis> {
    let unsure = !worker.greeted || worker.unanswered > 0 || worker.doubted_at.is_some();
    let wanted = !worker.runs.is_empty() || unsure;
    let noted = worker.proposed_seen == worker.last_seen;
    let reachable = !worker.entry.address.is_empty();
    (wanted && noted && reachable && worker.hold.open.is_none()).then_some(worker.hold.due)
}

/// Whether a run should have moved on since it was started or last listed with other progress.
fn makes_no_progress(run: &Run, now: Millis) -> bool {
    let still = now.saturating_sub(run.progress.since);
    run.phase == RunPhase::Started
        && !run.lasting
        && !run.gang
        && still > SUSPICIOUS_WAIT_MS
        && still > run.estimated_ms / 5
}

/// Whether a run has been listed with the same progress for too long.
fn is_stuck(run: &Run, gang_ms: Millis) -> bool {
    let waits = if run.gang && run.progress.percent == 0 {
        gang_ms
    } else {
        0
    };
    // Even on a worker that is ten times too slow progress rises by a hundredth in a tenth of the estimate.
    let patience = (run.estimated_ms / 5)
        .min(STUCK_LONG_MS + run.estimated_ms / 20)
        .max(STUCK_LEAST_MS);
    !run.lasting && run.progress.percent < 100 && run.progress.still_ms() > patience + waits
}
