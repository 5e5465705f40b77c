//! Delivers calls to workers and their replies, advances workers in time, and reports run events to the oracle.
use super::{find_step, Fleet, MAX_ATTEMPTS, STEP_MS};
use crate::{
    events::{Caller, Event},
    faults::WorkerPartitionScope,
    oracle::Start,
    worker::{checkpoint_owner, RunEvent, Work},
};
use magpiegap_protocol::{CompletionKind, RunId, TaskId};
use magpiegap_scheduler::{WorkerCall, WorkerOrder, WorkerReply};
use rand::Rng;

/// Duration of a run that is to last until it is stopped, in milliseconds.
const LONG_RUNNING_MS: u64 = 1_000_000_000;
/// Minimum delay of a delayed call, in milliseconds.
const MIN_DELAY_MS: u64 = 50;
/// Maximum delay of calls that are still valid when they arrive, in milliseconds.
const MAX_VALID_DELAY_MS: u64 = 1500;
/// Maximum delay of other calls, in milliseconds.
const MAX_DELAY_MS: u64 = 12_000;

impl Fleet {
    /// Sends a call to a worker. The caller receives a reply or a timeout within the call's timeout.
    pub(super) fn call_worker(&mut self, caller: Caller, call: WorkerCall) {
        if let WorkerOrder::Start { task, .. } = call.order {
            self.oracle.start_ordered(self.now, task);
        }
        let timed_out = Event::WorkerReply {
            caller: caller.clone(),
            call: call.id,
            reply: WorkerReply::TimedOut,
        };
        self.schedule(call.timeout_ms, timed_out);
        let Some(worker) = self.find_worker(&call.address) else {
            return;
        };
        if self.random.gen_range(0..100) < self.active_faults.delayed_order_percent() {
            let delay_ms = self.order_delay_ms();
            let event = Event::WorkerCall {
                worker,
                caller: None,
                call,
            };
            self.schedule(delay_ms, event);
            return;
        }
        let delay_ms = self.network_delay_ms();
        let event = Event::WorkerCall {
            worker,
            caller: Some(caller),
            call,
        };
        self.schedule(delay_ms, event);
    }

    fn find_worker(&self, address: &str) -> Option<usize> {
        self.workers.iter().position(|worker| {
            worker
                .as_ref()
                .is_some_and(|worker| worker.entry.address == address)
        })
    }

    /// Draws the delay of a delayed call. Half of the delays are short enough that the call arrives after newer calls
    /// while it is still valid, which is the most dangerous case.
    fn order_delay_ms(&mut self) -> u64 {
        let max_ms = if self.random.gen_bool(0.5) {
            MAX_VALID_DELAY_MS
        } else {
            MAX_DELAY_MS
        };
        self.random.gen_range(MIN_DELAY_MS..max_ms)
    }

    /// Draws the one-way network delay to or from a worker.
    fn network_delay_ms(&mut self) -> u64 {
        self.random.gen_range(1..6)
    }

    /// Executes a call that has reached a worker, and sends or defers the reply.
    pub(super) fn handle_worker_call(
        &mut self,
        number: usize,
        caller: Option<Caller>,
        call: WorkerCall,
    ) {
        // A delayed call, which has no caller, was received before the partition.
        let partition = match caller {
            Some(_) => self.active_faults.worker_partition(number),
            None => None,
        };
        if partition == Some(WorkerPartitionScope::Calls) {
            return;
        }
        let work = self.find_work(number, &call);
        let now = self.now;
        let Some(worker) = self.workers[number].as_mut() else {
            return;
        };
        let reply = worker.handle_call(now, &call, work);
        let long_poll_ms = match reply {
            WorkerReply::Done { .. } => long_poll_ms(&call, |acknowledged| {
                worker.has_unacknowledged_completion(acknowledged)
            }),
            _ => None,
        };
        self.record_run_events(number);
        let Some(caller) = caller.filter(|_| partition.is_none()) else {
            return;
        };
        if let Some(long_poll_ms) = long_poll_ms {
            let event = Event::LongPoll {
                worker: number,
                caller,
                call,
                until: now + long_poll_ms,
            };
            self.schedule(STEP_MS, event);
            return;
        }
        let delay_ms = self.network_delay_ms();
        let event = Event::WorkerReply {
            caller,
            call: call.id,
            reply,
        };
        self.schedule(delay_ms, event);
    }

    /// Answers a long poll if there is a completion or it has timed out; otherwise checks again at the next step.
    pub(super) fn handle_long_poll(
        &mut self,
        number: usize,
        caller: Caller,
        call: WorkerCall,
        until: u64,
    ) {
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
        if !worker.has_unacknowledged_completion(acknowledged_completion) && self.now < until {
            let event = Event::LongPoll {
                worker: number,
                caller,
                call,
                until,
            };
            self.schedule(STEP_MS, event);
            return;
        }
        // The lease was renewed when the call arrived; only the listing is refreshed.
        let order = WorkerOrder::RenewLease {
            deadline_ms: None,
            acknowledged_completion,
            long_poll_ms: 0,
        };
        let refreshed = WorkerCall { order, ..call };
        let reply = worker.handle_call(self.now, &refreshed, None);
        self.record_run_events(number);
        if self.active_faults.worker_partition(number).is_none() {
            let event = Event::WorkerReply {
                caller,
                call: refreshed.id,
                reply,
            };
            self.schedule(1, event);
        }
    }

    /// Returns the work of a start order on a worker: its duration and how it ends. `None` if the worker cannot parse it.
    fn find_work(&self, number: usize, call: &WorkerCall) -> Option<Work> {
        let WorkerOrder::Start { task, run, .. } = &call.order else {
            return None;
        };
        if self.malformed_jobs.contains(&task.job) {
            return None;
        }
        let step = find_step(&self.specs, task)?;
        let is_long_running = self
            .specs
            .get(&task.job)
            .is_some_and(|spec| spec.long_running);
        let owner = checkpoint_owner(*task, step);
        let fails = self.active_faults.is_worker_failing(number) || self.run_fails(owner, *run);
        let kind = if fails {
            CompletionKind::Failed
        } else {
            CompletionKind::Done
        };
        let true_ms = self.task_durations.get(&task.job).copied();
        let duration_ms = match true_ms.unwrap_or(step.estimated_ms) {
            _ if is_long_running && !fails => LONG_RUNNING_MS,
            // In a failing gang only the first member fails. The others run longer, and end because of the failure.
            duration_ms if fails && owner != *task => 2 * duration_ms + 1000,
            duration_ms => duration_ms,
        };
        Some(Work {
            resources: step.resources,
            duration_ms,
            kind,
            checkpoints: step.checkpoints,
            gang: step.gang,
        })
    }

    /// Whether a run fails; a pseudo-random function of the task and run, so repeated calls give the same result.
    fn run_fails(&self, task: TaskId, run: RunId) -> bool {
        let hash = task.job.0
            ^ (u64::from(task.index) << 20)
            ^ (u64::from(task.step) << 40)
            ^ (u64::from(task.occurrence) << 52)
            ^ u64::from(run);
        hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff
            < self.settings.run_failure_percent * 0xffff / 100
    }

    /// Advances all workers to the current time.
    pub(super) fn run_workers(&mut self) {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let Some(worker) = worker else { continue };
            if self.active_faults.is_worker_stalled(number) {
                worker.delay_runs(STEP_MS);
            }
            worker.on_timeout(self.now);
        }
        self.run_gangs();
        for number in 0..self.workers.len() {
            self.record_run_events(number);
        }
    }

    /// Reports a worker's run events to the oracle.
    fn record_run_events(&mut self, number: usize) {
        let wall = self.wall();
        let Some(worker) = self.workers[number].as_mut() else {
            return;
        };
        let run_events = worker.poll_events();
        let entry = &worker.entry;
        let specs = &self.specs;
        let owner_of = |task: TaskId| match find_step(specs, &task) {
            Some(step) => checkpoint_owner(task, step),
            None => task,
        };
        for run_event in &run_events {
            match run_event {
                RunEvent::Started {
                    task,
                    run,
                    checkpoint,
                    over_capacity,
                } => {
                    *self.runs_started.entry(task.job).or_default() += 1;
                    let start = Start {
                        at: self.now,
                        wall,
                        worker: entry,
                        task: *task,
                        run: *run,
                        checkpoint,
                        over_capacity: *over_capacity,
                    };
                    if let Some(spec) = specs.get(&task.job) {
                        self.oracle.run_started(&start, spec, MAX_ATTEMPTS);
                    }
                }
                RunEvent::Completed(completion) => {
                    let owner = owner_of(completion.task);
                    if let Some(spec) = specs.get(&completion.task.job) {
                        self.oracle
                            .check_stop(self.now, completion, spec, MAX_ATTEMPTS);
                    }
                    self.oracle
                        .run_completed(&entry.incarnation, completion, owner);
                }
                RunEvent::Acknowledged(completions) => {
                    self.oracle.completions_acknowledged(
                        self.now,
                        &entry.incarnation,
                        completions,
                        owner_of,
                    );
                }
            }
        }
    }
}

/// How long a lease renewal waits for a completion, or `None` if it is answered immediately.
fn long_poll_ms(call: &WorkerCall, has_completion: impl FnOnce(u64) -> bool) -> Option<u64> {
    match call.order {
        WorkerOrder::RenewLease {
            acknowledged_completion,
            long_poll_ms,
            ..
        } if long_poll_ms > 0 && !has_completion(acknowledged_completion) => Some(long_poll_ms),
        _ => None,
    }
}
