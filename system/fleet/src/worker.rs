//! A worker, by the pages' word: runs, holds, fencing tokens, ends, late orders.
use magpiegap_protocol::{EndKind, Resources, RunId, TaskId, WorkerEntry};
use magpiegap_scheduler::{
    ListedEnd, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use std::collections::BTreeMap;

/// A run going on.
#[derive(Clone, Debug)]
struct Running {
    run: RunId,
    resources: Resources,
    started: u64,
    finishes: u64,
    how: EndKind,
}

/// What starting a task means to a worker; told by the fleet, as a real worker learns it from the text.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// What it takes up.
    pub resources: Resources,
    /// How long it takes.
    pub duration_ms: u64,
    /// How it ends.
    pub how: EndKind,
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
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// How.
        how: EndKind,
    },
    /// Ends were taken note of by the caller.
    Noted {
        /// Up to this number.
        last_seen: u64,
    },
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// As the platform lists it.
    pub entry: WorkerEntry,
    clock_offset: u64,
    /// Thousandths: how fast its clock runs.
    clock_rate: u64,
    token: u64,
    hold_until: u64,
    max_hold_ms: u64,
    runs: BTreeMap<TaskId, Running>,
    ended: Vec<ListedEnd>,
    number: u64,
    /// The highest run of each task that has ended or was stopped here.
    over: BTreeMap<TaskId, RunId>,
    pub(crate) deeds: Vec<Deed>,
}

impl Worker {
    /// A worker that has just started. Its clock is off by `clock_offset` milliseconds and runs at `clock_rate`
    /// thousandths of true time.
    pub fn new(entry: WorkerEntry, clock_offset: u64, clock_rate: u64, max_hold_ms: u64) -> Worker {
        Worker {
            entry,
            clock_offset,
            clock_rate,
            token: 0,
            hold_until: 0,
            max_hold_ms,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            over: BTreeMap::new(),
            deeds: Vec::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        self.clock_offset + now * self.clock_rate / 1000
    }

    fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, running| sum.plus(&running.resources))
    }

    fn end(&mut self, task: TaskId, how: EndKind) {
        let Some(running) = self.runs.remove(&task) else { return };
        self.number += 1;
        self.over.insert(task, running.run);
        let end =
            ListedEnd { number: self.number, task, run: running.run, kind: how, checkpoint: String::new() };
        self.ended.push(end);
        self.deeds.push(Deed::Ended { task, run: running.run, how });
    }

    /// Ends what has finished or is held no longer.
    pub fn pass_time(&mut self, now: u64) {
        let clock = self.clock(now);
        let finished: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter(|(_, running)| now >= running.finishes)
            .map(|(task, running)| (*task, running.how))
            .collect();
        for (task, how) in finished {
            self.end(task, how);
        }
        if clock > self.hold_until {
            let lapsed: Vec<TaskId> = self.runs.keys().copied().collect();
            for task in lapsed {
                self.end(task, EndKind::Lapsed);
            }
        }
    }

    /// Whether a hold with these terms would be answered now.
    pub fn has_news(&self, last_seen: u64) -> bool {
        self.ended.iter().any(|end| end.number > last_seen)
    }

    /// Takes what it has done since this was last asked.
    pub fn take_deeds(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// Carries out an order.
    pub fn take(&mut self, now: u64, call: &WorkerCall, work: Option<Work>) -> WorkerReply {
        if call.instance != self.entry.instance {
            return WorkerReply::OtherLife;
        }
        self.pass_time(now);
        let clock_ms = Some(self.clock(now));
        if call.token < self.token {
            return WorkerReply::Refused { clock_ms, reason: RefusalReason::Fence };
        }
        self.token = call.token;
        match &call.order {
            WorkerOrder::Start { task, run, deadline_ms, .. } => {
                self.start(now, *task, *run, *deadline_ms, work)
            }
            WorkerOrder::Stop { task, run } => {
                self.stop(*task, *run);
                WorkerReply::Done { clock_ms, listing: None }
            }
            WorkerOrder::Hold { deadline_ms, last_seen, .. } => {
                self.extend(now, deadline_ms.unwrap_or(0));
                if self.ended.iter().any(|end| end.number <= *last_seen) {
                    self.deeds.push(Deed::Noted { last_seen: *last_seen });
                }
                self.ended.retain(|end| end.number > *last_seen);
                WorkerReply::Done { clock_ms, listing: Some(self.listing(now)) }
            }
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
        work: Option<Work>,
    ) -> WorkerReply {
        let clock_ms = Some(self.clock(now));
        let refused = |reason| WorkerReply::Refused { clock_ms, reason };
        if self.clock(now) > deadline_ms {
            return refused(RefusalReason::Late);
        }
        self.extend(now, deadline_ms);
        if let Some(running) = self.runs.get(&task) {
            return if running.run == run {
                WorkerReply::Done { clock_ms, listing: None }
            } else {
                refused(RefusalReason::Old)
            };
        }
        if self.over.get(&task).is_some_and(|over| *over >= run) {
            return refused(RefusalReason::Old);
        }
        let Some(work) = work else { return WorkerReply::Rejected };
        let room = self.entry.capacity.minus(&self.used());
        if !work.resources.fits(&room) {
            return refused(RefusalReason::Room);
        }
        let finishes = now + work.duration_ms;
        let running = Running { run, resources: work.resources, started: now, finishes, how: work.how };
        self.runs.insert(task, running);
        self.deeds.push(Deed::Started { task, run });
        WorkerReply::Done { clock_ms, listing: None }
    }

    fn stop(&mut self, task: TaskId, run: RunId) {
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run);
        if self.runs.get(&task).is_some_and(|running| running.run == run) {
            self.end(task, EndKind::Stopped);
        }
    }

    fn listing(&self, now: u64) -> Listing {
        let listed = |(task, running): (&TaskId, &Running)| {
            let whole = running.finishes.saturating_sub(running.started).max(1);
            let percent = (now.saturating_sub(running.started) * 100 / whole).min(99);
            ListedRun { task: *task, run: running.run, checkpoint: String::new(), percent }
        };
        Listing { running: self.runs.iter().map(listed).collect(), ended: self.ended.clone() }
    }
}
