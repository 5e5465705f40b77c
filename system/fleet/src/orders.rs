//! Carries orders to the workers, and their answers back.
use crate::{
    events::{Caller, Event},
    fleet::{Fleet, MAX_ATTEMPTS, STEP_MS},
    node::EPOCH_MS,
    oracle::Start,
    worker::{checkpoint_owner, Deed, Work},
};
use magpiegap_protocol::{CompletionKind, RunId, TaskId, WallMillis};
use magpiegap_scheduler::{WorkerCall, WorkerOrder, WorkerReply};
use rand::Rng;

/// How long a run of a task works that lasts until it is stopped.
const LASTING_MS: u64 = 1_000_000_000;

impl Fleet {
    pub(crate) fn call_worker(&mut self, from: Caller, call: WorkerCall) {
        if let WorkerOrder::Start { task, .. } = call.order {
            self.oracle.ordered(self.now, task);
        }
        let unanswered = Event::Reply {
            to: from.clone(),
            call: call.id,
            reply: WorkerReply::TimedOut,
        };
        self.schedule(call.timeout_ms, unanswered);
        let Some(worker) = self.workers.iter().position(|worker| {
            worker
                .as_ref()
                .is_some_and(|worker| worker.entry.address == call.address)
        }) else {
            return;
        };
        if self.random.gen_range(0..100) < self.late_percent {
            // Most dangerous are those that come while they are still valid, after newer ones.
            let most = if self.random.gen_bool(0.5) {
                1500
            } else {
                12_000
            };
            let delay = self.random.gen_range(50..most);
            self.schedule(
                delay,
                Event::Order {
                    worker,
                    from: None,
                    call,
                },
            );
            return;
        }
        let delay = self.random.gen_range(1..6);
        self.schedule(
            delay,
            Event::Order {
                worker,
                from: Some(from),
                call,
            },
        );
    }

    pub(crate) fn order(&mut self, number: usize, from: Option<Caller>, call: WorkerCall) {
        // An order that is carried out late was taken in before any cut.
        let cut = self
            .workers_cut
            .get(&number)
            .copied()
            .filter(|_| from.is_some());
        if cut == Some(false) {
            return;
        }
        let work = self.work(&call);
        let now = self.now;
        let Some(worker) = self.workers[number].as_mut() else {
            return;
        };
        let reply = worker.take(now, &call, work);
        self.note_deeds(number);
        let Some(from) = from.filter(|_| cut.is_none()) else {
            return;
        };
        if let WorkerOrder::RenewLease {
            acknowledged_completion,
            long_poll_ms: wait_ms,
            ..
        } = call.order
        {
            let news = self.workers[number]
                .as_ref()
                .is_none_or(|worker| worker.has_news(acknowledged_completion));
            if wait_ms > 0 && !news && matches!(reply, WorkerReply::Done { .. }) {
                self.schedule(
                    STEP_MS,
                    Event::Waiting {
                        worker: number,
                        from,
                        call,
                        until: now + wait_ms,
                    },
                );
                return;
            }
        }
        let delay = self.random.gen_range(1..6);
        self.schedule(
            delay,
            Event::Reply {
                to: from,
                call: call.id,
                reply,
            },
        );
    }

    pub(crate) fn wait_on(&mut self, number: usize, from: Caller, call: WorkerCall, until: u64) {
        let WorkerOrder::RenewLease {
            acknowledged_completion,
            ..
        } = call.order
        else {
            return;
        };
        let Some(worker) = self.workers[number].as_mut() else {
            return;
        };
        if !worker.has_news(acknowledged_completion) && self.now < until {
            self.schedule(
                STEP_MS,
                Event::Waiting {
                    worker: number,
                    from,
                    call,
                    until,
                },
            );
            return;
        }
        let look = WorkerCall {
            order: WorkerOrder::RenewLease {
                deadline_ms: None,
                acknowledged_completion,
                long_poll_ms: 0,
            },
            ..call
        };
        let reply = worker.take(self.now, &look, None);
        self.note_deeds(number);
        if !self.workers_cut.contains_key(&number) {
            self.schedule(
                1,
                Event::Reply {
                    to: from,
                    call: look.id,
                    reply,
                },
            );
        }
    }

    /// What a start means: how long the task works and how it ends.
    pub(crate) fn work(&self, call: &WorkerCall) -> Option<Work> {
        let WorkerOrder::Start { task, run, .. } = &call.order else {
            return None;
        };
        let step = self.specs.get(&task.job)?.steps.get(task.step as usize)?;
        let lasting = self
            .specs
            .get(&task.job)
            .is_some_and(|spec| spec.long_running);
        let owner = checkpoint_owner(*task, step.gang);
        let fails = self.fails(owner, *run);
        let how = if fails {
            CompletionKind::Failed
        } else {
            CompletionKind::Done
        };
        let duration_ms = match step.estimated_ms {
            _ if lasting && !fails => LASTING_MS,
            // Of a gang that fails one member does, and the others end when it does.
            estimated if fails && owner != *task => 2 * estimated + 1000,
            estimated => estimated,
        };
        Some(Work {
            resources: step.resources,
            duration_ms,
            how,
            checkpoints: step.checkpoints,
            gang: step.gang,
        })
    }

    /// Whether a run fails: as good as by chance, and the same each time that it is asked.
    pub(crate) fn fails(&self, task: TaskId, run: RunId) -> bool {
        let mixed = task.job.0
            ^ (u64::from(task.index) << 20)
            ^ (u64::from(task.step) << 40)
            ^ u64::from(run);
        mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff
            < self.settings.failing_percent * 0xffff / 100
    }

    pub(crate) fn pass_time_of_workers(&mut self) {
        for number in 0..self.workers.len() {
            if let Some(worker) = self.workers[number].as_mut() {
                worker.pass_time(self.now);
            }
        }
        self.pass_time_of_gangs();
        for number in 0..self.workers.len() {
            self.note_deeds(number);
        }
    }

    pub(crate) fn note_deeds(&mut self, number: usize) {
        let Some(worker) = self.workers[number].as_mut() else {
            return;
        };
        let deeds = worker.take_deeds();
        let entry = &worker.entry;
        let (at, wall) = (self.now, EPOCH_MS + self.now);
        let specs = &self.specs;
        let is_gang = |task: TaskId| {
            let step = specs
                .get(&task.job)
                .and_then(|spec| spec.steps.get(task.step as usize));
            step.is_some_and(|step| step.gang)
        };
        for deed in deeds {
            match deed {
                Deed::Started {
                    task,
                    run,
                    ref checkpoint,
                    over_capacity,
                } => {
                    let start = Start {
                        at,
                        wall: WallMillis(wall),
                        worker: entry,
                        task,
                        run,
                        checkpoint,
                        over_capacity,
                    };
                    if let Some(spec) = specs.get(&task.job) {
                        self.oracle.started(&start, spec, MAX_ATTEMPTS);
                    }
                }
                Deed::Ended { task, run, how } => {
                    self.oracle
                        .ended(&entry.incarnation, task, run, how, is_gang(task));
                }
                Deed::Noted(ends) => self.oracle.noted(at, &entry.incarnation, &ends, is_gang),
            }
        }
    }
}
