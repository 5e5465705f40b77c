//! A worker, by the pages' word: runs, holds, fencing tokens, ends, late orders.
use magpiegap_protocol::{CompletionKind, FencingToken, Resources, RunId, TaskId, WorkerEntry};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use std::collections::BTreeMap;

/// A run going on.
#[derive(Clone, Debug)]
struct Running {
    run: RunId,
    resources: Resources,
    started: u64,
    finishes: u64,
    how: CompletionKind,
    /// What was done before, in hundredths.
    saved_percent: u64,
    /// It has a checkpoint to leave behind.
    checkpoints: bool,
    gang: Option<Gang>,
}

/// A member of a gang.
#[derive(Clone, Copy, Debug)]
struct Gang {
    duration_ms: u64,
    /// Since when all are together and work.
    together: Option<u64>,
}

/// What starting a task means to a worker; told by the fleet, as a real worker learns it from the text.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// What it takes up.
    pub resources: Resources,
    /// How long it takes.
    pub duration_ms: u64,
    /// How it ends.
    pub how: CompletionKind,
    /// It checkpoints its progress.
    pub checkpoints: bool,
    /// It works only together with the others of its step.
    pub gang: bool,
}

/// An end that a caller has taken note of before the hold ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotedEnd {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: CompletionKind,
}

/// Something that a worker has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// A run has begun.
    Started {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The checkpoint that it goes on from; empty: none.
        checkpoint: String,
        /// The worker has now more to do than it has room for.
        over_capacity: bool,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// How.
        how: CompletionKind,
    },
    /// Ends were taken note of by the caller.
    Noted(Vec<NotedEnd>),
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// As the platform lists it.
    pub entry: WorkerEntry,
    /// It refuses what does not fit.
    guards: bool,
    clock_offset: u64,
    /// Thousandths: how fast its clock runs.
    clock_rate: u64,
    token: FencingToken,
    hold_until: u64,
    max_hold_ms: u64,
    runs: BTreeMap<TaskId, Running>,
    ended: Vec<ListedCompletion>,
    number: u64,
    /// The last end before the hold ran out: a caller that takes note of it later takes it for lost.
    lapsed_up_to: u64,
    /// The highest run of each task that has ended or was stopped here.
    over: BTreeMap<TaskId, RunId>,
    pub(crate) deeds: Vec<Deed>,
}

impl Worker {
    /// A worker that has just started. Its clock is off by `clock_offset` milliseconds and runs at `clock_rate`
    /// thousandths of true time.
    pub fn new(
        entry: WorkerEntry,
        guards: bool,
        clock_offset: u64,
        clock_rate: u64,
        max_hold_ms: u64,
    ) -> Worker {
        Worker {
            entry,
            guards,
            clock_offset,
            clock_rate,
            token: FencingToken(0),
            hold_until: 0,
            max_hold_ms,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            lapsed_up_to: 0,
            over: BTreeMap::new(),
            deeds: Vec::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        self.clock_offset + now * self.clock_rate / 1000
    }

    fn used(&self) -> Resources {
        self.runs
            .values()
            .fold(Resources::default(), |sum, running| {
                sum.add(&running.resources)
            })
    }

    fn end(&mut self, now: u64, task: TaskId, how: CompletionKind) {
        let Some(running) = self.runs.remove(&task) else {
            return;
        };
        self.number += 1;
        self.over.insert(task, running.run);
        let checkpoint = running.checkpoint(now, task);
        let end = ListedCompletion {
            sequence: self.number,
            task,
            run: running.run,
            kind: how,
            checkpoint,
        };
        self.ended.push(end);
        self.deeds.push(Deed::Ended {
            task,
            run: running.run,
            how,
        });
    }

    /// Ends what has finished or is held no longer.
    pub fn pass_time(&mut self, now: u64) {
        let clock = self.clock(now);
        let finished: Vec<(TaskId, CompletionKind)> = self
            .runs
            .iter()
            .filter(|(_, running)| now >= running.finishes)
            .map(|(task, running)| (*task, running.how))
            .collect();
        for (task, how) in finished {
            self.end(now, task, how);
        }
        if clock > self.hold_until {
            let lapsed: Vec<TaskId> = self.runs.keys().copied().collect();
            for task in lapsed {
                self.end(now, task, CompletionKind::LeaseExpired);
            }
            self.lapsed_up_to = self.number;
        }
    }

    /// Whether a hold with these terms would be answered now.
    pub fn has_news(&self, acknowledged_completion: u64) -> bool {
        self.ended
            .iter()
            .any(|end| end.sequence > acknowledged_completion)
    }

    /// Takes what it has done since this was last asked.
    pub fn take_deeds(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// Carries out an order.
    pub fn take(&mut self, now: u64, call: &WorkerCall, work: Option<Work>) -> WorkerReply {
        if call.incarnation != self.entry.incarnation {
            return WorkerReply::OtherIncarnation;
        }
        self.pass_time(now);
        let clock_ms = Some(self.clock(now));
        if call.token < self.token {
            return WorkerReply::Refused {
                clock_ms,
                reason: RefusalReason::StaleToken,
            };
        }
        self.token = call.token;
        match &call.order {
            WorkerOrder::Start {
                task,
                run,
                deadline_ms,
                checkpoint,
                ..
            } => self.start(now, *task, *run, *deadline_ms, checkpoint, work),
            WorkerOrder::Stop { task, run } => {
                self.stop(now, *task, *run);
                WorkerReply::Done {
                    clock_ms,
                    listing: None,
                }
            }
            WorkerOrder::RenewLease {
                deadline_ms,
                acknowledged_completion,
                ..
            } => {
                self.extend(now, deadline_ms.unwrap_or(0));
                let (noted, kept) = std::mem::take(&mut self.ended)
                    .into_iter()
                    .partition(|end| end.sequence <= *acknowledged_completion);
                self.ended = kept;
                self.note(noted);
                WorkerReply::Done {
                    clock_ms,
                    listing: Some(self.listing(now)),
                }
            }
        }
    }

    fn note(&mut self, ends: Vec<ListedCompletion>) {
        let in_time = ends
            .into_iter()
            .filter(|end| end.sequence > self.lapsed_up_to);
        let noted: Vec<NotedEnd> = in_time
            .map(|end| NotedEnd {
                task: end.task,
                run: end.run,
                how: end.kind,
            })
            .collect();
        if !noted.is_empty() {
            self.deeds.push(Deed::Noted(noted));
        }
    }

    fn extend(&mut self, now: u64, deadline_ms: u64) {
        let most = self.clock(now) + self.max_hold_ms;
        self.hold_until = self.hold_until.max(deadline_ms.min(most));
    }

    fn start(
        &mut self,
        now: u64,
        task: TaskId,
        run: RunId,
        deadline_ms: u64,
        checkpoint: &str,
        work: Option<Work>,
    ) -> WorkerReply {
        let clock_ms = Some(self.clock(now));
        let refused = |reason| WorkerReply::Refused { clock_ms, reason };
        if self.clock(now) > deadline_ms {
            return refused(RefusalReason::DeadlinePassed);
        }
        self.extend(now, deadline_ms);
        if let Some(running) = self.runs.get(&task) {
            return if running.run == run {
                WorkerReply::Done {
                    clock_ms,
                    listing: None,
                }
            } else {
                refused(RefusalReason::Superseded)
            };
        }
        if self.over.get(&task).is_some_and(|over| *over >= run) {
            return refused(RefusalReason::Superseded);
        }
        let Some(work) = work else {
            return WorkerReply::Unreadable;
        };
        let room = self.entry.capacity.saturating_sub(&self.used());
        let fits = work.resources.fits_in(&room);
        if self.guards && !fits {
            return refused(RefusalReason::NoCapacity);
        }
        self.runs
            .insert(task, Running::new(now, run, checkpoint, &work));
        let checkpoint = checkpoint.to_owned();
        self.deeds.push(Deed::Started {
            task,
            run,
            checkpoint,
            over_capacity: !fits,
        });
        WorkerReply::Done {
            clock_ms,
            listing: None,
        }
    }

    fn stop(&mut self, now: u64, task: TaskId, run: RunId) {
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run);
        if self
            .runs
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            self.end(now, task, CompletionKind::Stopped);
        }
    }

    fn listing(&self, now: u64) -> Listing {
        let listed = |(task, running): (&TaskId, &Running)| ListedRun {
            task: *task,
            run: running.run,
            checkpoint: running.checkpoint(now, *task),
            percent: running.percent(now),
        };
        Listing {
            running: self.runs.iter().map(listed).collect(),
            completed: self.ended.clone(),
        }
    }

    /// The gangs that have members here: their step and run, and whether they work.
    pub(crate) fn gangs(&self) -> impl Iterator<Item = (TaskId, RunId, bool)> + '_ {
        let member = |(task, running): (&TaskId, &Running)| {
            running
                .gang
                .map(|gang| (*task, running.run, gang.together.is_some()))
        };
        self.runs.iter().filter_map(member)
    }

    /// All members of a gang's run are there: this one begins to work.
    pub(crate) fn begin_together(&mut self, now: u64, task: TaskId) {
        let Some(running) = self.runs.get_mut(&task) else {
            return;
        };
        let Some(gang) = running.gang.as_mut() else {
            return;
        };
        gang.together = Some(now);
        running.started = now;
        running.finishes = now + gang.duration_ms * (100 - running.saved_percent) / 100;
    }

    /// Ends members of gangs that have waited in vain, and one whose other members are not there any more.
    pub(crate) fn part(&mut self, now: u64, task: TaskId, gang_ms: u64) {
        let Some(running) = self.runs.get(&task) else {
            return;
        };
        let Some(gang) = running.gang else { return };
        if gang.together.is_some() {
            self.end(now, task, CompletionKind::GangEnded);
        } else if now >= running.started + gang_ms {
            self.end(now, task, CompletionKind::GangTimedOut);
        }
    }
}

impl Running {
    fn new(now: u64, run: RunId, checkpoint: &str, work: &Work) -> Running {
        let saved_percent = checkpoint
            .rsplit_once('@')
            .and_then(|(_, percent)| percent.parse().ok())
            .unwrap_or(0);
        let gang = work.gang.then_some(Gang {
            duration_ms: work.duration_ms,
            together: None,
        });
        let left_ms = work.duration_ms * (100 - saved_percent) / 100;
        Running {
            run,
            resources: work.resources,
            started: now,
            finishes: if work.gang { u64::MAX } else { now + left_ms },
            how: work.how,
            saved_percent,
            checkpoints: work.checkpoints,
            gang,
        }
    }

    /// How much of the task is done, in hundredths.
    fn percent(&self, now: u64) -> u64 {
        if self.finishes == u64::MAX {
            return self.saved_percent;
        }
        let whole = self.finishes.saturating_sub(self.started).max(1);
        let part = now.saturating_sub(self.started).min(whole);
        (self.saved_percent + (100 - self.saved_percent) * part / whole).min(99)
    }

    /// Whose progress it is, and how much: members of a gang share it.
    fn checkpoint(&self, now: u64, task: TaskId) -> String {
        match (self.checkpoints, self.percent(now)) {
            (false, _) | (_, 0) => String::new(),
            (true, percent) => format!("{}@{percent}", checkpoint_owner(task, self.gang.is_some())),
        }
    }
}

/// The name under which a task's checkpoints go: members of a gang share theirs.
pub(crate) fn checkpoint_owner(task: TaskId, gang: bool) -> TaskId {
    TaskId {
        index: if gang { 0 } else { task.index },
        ..task
    }
}
