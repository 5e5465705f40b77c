//! An emulated worker that follows the worker protocol: runs, a lease, fencing tokens and completions. It does no real
//! work and has no timers; the fleet and the demo drive it through calls and `on_timeout`.
mod active_run;
mod run_events;

pub(crate) use run_events::{checkpoint_owner, first_task_of_step};
pub use run_events::{RunCompletion, RunEvent, Work};

use active_run::ActiveRun;
use magpiegap_protocol::{CompletionKind, FencingToken, Resources, RunId, TaskId, WorkerEntry};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use std::collections::BTreeMap;

/// Settings of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Whether it refuses runs that exceed its capacity; otherwise it starts every run.
    pub enforces_capacity: bool,
    /// Offset of its clock from true time, in milliseconds.
    pub clock_offset_ms: u64,
    /// Rate of its clock, in thousandths of true time.
    pub clock_rate_permille: u64,
    /// Maximum lease that it grants, in milliseconds.
    pub max_lease_ms: u64,
}

/// A gang member that runs on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangMember {
    pub task: TaskId,
    pub run: RunId,
    pub is_working: bool,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry in the platform's list.
    pub entry: WorkerEntry,
    settings: WorkerSettings,
    /// The highest fencing token received in a call.
    token: FencingToken,
    /// When the lease expires, by the worker's clock.
    lease_until: u64,
    runs: BTreeMap<TaskId, ActiveRun>,
    /// The completions that have not been acknowledged.
    completions: Vec<ListedCompletion>,
    last_sequence: u64,
    /// The last completion at the most recent lease expiry. Callers treat completions up to this one as lost, even if
    /// they acknowledge them later.
    expired_sequence: u64,
    /// The highest run of each task that has ended or was stopped on this worker.
    last_runs: BTreeMap<TaskId, RunId>,
    run_events: Vec<RunEvent>,
}

/// An order to start a task.
#[derive(Clone, Copy)]
struct StartOrder<'a> {
    task: TaskId,
    run: RunId,
    /// By the worker's clock.
    deadline_ms: u64,
    checkpoint: &'a str,
}

impl Worker {
    /// Creates a worker that has just started.
    pub fn new(entry: WorkerEntry, settings: WorkerSettings) -> Worker {
        Worker {
            entry,
            settings,
            token: FencingToken(0),
            lease_until: 0,
            runs: BTreeMap::new(),
            completions: Vec::new(),
            last_sequence: 0,
            expired_sequence: 0,
            last_runs: BTreeMap::new(),
            run_events: Vec::new(),
        }
    }

    /// Executes a call at true time `now`, in milliseconds. `work` is the parsed work of a start order; a start order
    /// without it is answered as malformed.
    pub fn handle_call(&mut self, now: u64, call: &WorkerCall, work: Option<Work>) -> WorkerReply {
        if call.incarnation != self.entry.incarnation {
            return WorkerReply::OtherIncarnation;
        }
        self.on_timeout(now);
        if call.token < self.token {
            return self.refuse(now, RefusalReason::StaleToken);
        }
        self.token = call.token;
        match &call.order {
            WorkerOrder::Start {
                task,
                run,
                deadline_ms,
                checkpoint,
                ..
            } => {
                let order = StartOrder {
                    task: *task,
                    run: *run,
                    deadline_ms: *deadline_ms,
                    checkpoint,
                };
                self.start(now, order, work)
            }
            WorkerOrder::Stop { task, run } => {
                self.stop(now, *task, *run);
                self.done(now)
            }
            WorkerOrder::RenewLease {
                deadline_ms,
                acknowledged_completion,
                ..
            } => {
                self.extend_lease(now, deadline_ms.unwrap_or(0));
                self.acknowledge(*acknowledged_completion);
                WorkerReply::Done {
                    clock_ms: Some(self.clock(now)),
                    listing: Some(self.listing(now)),
                }
            }
        }
    }

    /// Delays all runs, as if they had made no progress for this time.
    pub(crate) fn delay_runs(&mut self, by_ms: u64) {
        for active in self.runs.values_mut() {
            active.delay(by_ms);
        }
    }

    /// Ends the runs that have finished, or all runs if the lease has expired.
    pub fn on_timeout(&mut self, now: u64) {
        let finished: Vec<(TaskId, CompletionKind)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_finished(now))
            .map(|(task, run)| (*task, run.kind()))
            .collect();
        for (task, kind) in finished {
            self.end(now, task, kind);
        }
        if self.clock(now) > self.lease_until {
            let expired: Vec<TaskId> = self.runs.keys().copied().collect();
            for task in expired {
                self.end(now, task, CompletionKind::LeaseExpired);
            }
            self.expired_sequence = self.last_sequence;
        }
    }

    /// Whether a lease renewal that acknowledges completions up to this one would be answered immediately.
    pub fn has_unacknowledged_completion(&self, acknowledged_completion: u64) -> bool {
        self.completions
            .iter()
            .any(|completion| completion.sequence > acknowledged_completion)
    }

    /// Returns and clears the events since the last poll.
    pub fn poll_events(&mut self) -> Vec<RunEvent> {
        std::mem::take(&mut self.run_events)
    }

    /// The gang members that run on this worker.
    pub(crate) fn gang_members(&self) -> impl Iterator<Item = GangMember> + '_ {
        self.runs
            .iter()
            .filter(|(_, active)| active.is_gang_member())
            .map(|(task, active)| GangMember {
                task: *task,
                run: active.run(),
                is_working: active.is_gang_working(),
            })
    }

    /// Starts the work of a gang member, once all members are running.
    pub(crate) fn begin_gang_work(&mut self, now: u64, task: TaskId) {
        if let Some(active) = self.runs.get_mut(&task) {
            active.begin_gang_work(now);
        }
    }

    /// Ends a member of an incomplete gang if the gang had already started work or the member's wait has timed out.
    pub(crate) fn end_incomplete_gang(&mut self, now: u64, task: TaskId, gang_timeout_ms: u64) {
        let Some(active) = self.runs.get(&task) else {
            return;
        };
        if !active.is_gang_member() {
            return;
        }
        if active.is_gang_working() {
            self.end(now, task, CompletionKind::GangEnded);
        } else if now >= active.started_at() + gang_timeout_ms {
            self.end(now, task, CompletionKind::GangTimedOut);
        }
    }

    /// The worker's clock at true time `now`.
    fn clock(&self, now: u64) -> u64 {
        self.settings.clock_offset_ms + now * self.settings.clock_rate_permille / 1000
    }

    fn refuse(&self, now: u64, reason: RefusalReason) -> WorkerReply {
        WorkerReply::Refused {
            clock_ms: Some(self.clock(now)),
            reason,
        }
    }

    fn done(&self, now: u64) -> WorkerReply {
        WorkerReply::Done {
            clock_ms: Some(self.clock(now)),
            listing: None,
        }
    }

    /// Capacity that no run occupies.
    pub(crate) fn free_capacity(&self) -> Resources {
        let used = self
            .runs
            .values()
            .fold(Resources::default(), |sum, active| {
                sum.saturating_add(&active.resources())
            });
        self.entry.capacity.saturating_sub(&used)
    }

    fn extend_lease(&mut self, now: u64, deadline_ms: u64) {
        let max = self.clock(now) + self.settings.max_lease_ms;
        self.lease_until = self.lease_until.max(deadline_ms.min(max));
    }

    /// Drops the completions that the caller has recorded.
    fn acknowledge(&mut self, acknowledged_completion: u64) {
        let (acknowledged, pending): (Vec<ListedCompletion>, Vec<ListedCompletion>) =
            std::mem::take(&mut self.completions)
                .into_iter()
                .partition(|completion| completion.sequence <= acknowledged_completion);
        self.completions = pending;
        let in_time: Vec<RunCompletion> = acknowledged
            .iter()
            .filter(|completion| completion.sequence > self.expired_sequence)
            .map(|completion| RunCompletion {
                task: completion.task,
                run: completion.run,
                kind: completion.kind,
            })
            .collect();
        if !in_time.is_empty() {
            self.run_events.push(RunEvent::Acknowledged(in_time));
        }
    }

    fn start(&mut self, now: u64, order: StartOrder<'_>, work: Option<Work>) -> WorkerReply {
        let StartOrder { task, run, .. } = order;
        if self.clock(now) > order.deadline_ms {
            return self.refuse(now, RefusalReason::DeadlinePassed);
        }
        self.extend_lease(now, order.deadline_ms);
        if let Some(active) = self.runs.get(&task) {
            return if active.run() == run {
                self.done(now)
            } else {
                self.refuse(now, RefusalReason::Superseded)
            };
        }
        if self
            .last_runs
            .get(&task)
            .is_some_and(|last_run| *last_run >= run)
        {
            return self.refuse(now, RefusalReason::Superseded);
        }
        let Some(work) = work else {
            return WorkerReply::Malformed;
        };
        let fits = work.resources.fits_in(&self.free_capacity());
        if self.settings.enforces_capacity && !fits {
            return self.refuse(now, RefusalReason::NoCapacity);
        }
        let active = ActiveRun::new(now, run, order.checkpoint, &work);
        self.runs.insert(task, active);
        self.run_events.push(RunEvent::Started {
            task,
            run,
            checkpoint: order.checkpoint.to_owned(),
            over_capacity: !fits,
        });
        self.done(now)
    }

    fn stop(&mut self, now: u64, task: TaskId, run: RunId) {
        let last_run = self.last_runs.entry(task).or_default();
        *last_run = (*last_run).max(run);
        let is_active = self
            .runs
            .get(&task)
            .is_some_and(|active| active.run() == run);
        if is_active {
            self.end(now, task, CompletionKind::Stopped);
        }
    }

    fn end(&mut self, now: u64, task: TaskId, kind: CompletionKind) {
        let Some(active) = self.runs.remove(&task) else {
            return;
        };
        let run = active.run();
        self.last_sequence += 1;
        self.last_runs.insert(task, run);
        self.completions.push(ListedCompletion {
            sequence: self.last_sequence,
            task,
            run,
            kind,
            checkpoint: active.checkpoint(now, task),
        });
        self.run_events
            .push(RunEvent::Completed(RunCompletion { task, run, kind }));
    }

    fn listing(&self, now: u64) -> Listing {
        let listed = |(task, active): (&TaskId, &ActiveRun)| ListedRun {
            task: *task,
            run: active.run(),
            checkpoint: active.checkpoint(now, *task),
            percent: active.percent(now),
        };
        Listing {
            running: self.runs.iter().map(listed).collect(),
            completed: self.completions.clone(),
        }
    }
}
