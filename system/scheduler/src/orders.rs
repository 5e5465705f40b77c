//! Sends orders to start and stop runs, and proposes the loss of runs that are known not to be running.
use crate::{
    call_table::CallPurpose,
    calls::{Output, WorkerOrder},
    run::{Run, RunPhase},
    scheduler::Scheduler,
    worker::Worker,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis, RunStart, TaskId};

/// How long a start order stays valid, on the worker's clock.
const START_VALID_MS: u64 = 1500;
/// Retry interval for stop orders of the same run.
const STOP_RETRY_MS: Millis = 300;
/// Maximum number of start orders sent for a run before it is stopped.
const MAX_START_ATTEMPTS: u32 = 8;

/// The action that is due for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DueOrder {
    Nothing,
    Start,
    Stop,
    /// The start was never sent and must not be sent any more, so the run cannot be running.
    ProposeLoss,
}

impl DueOrder {
    fn of(run: &Run, worker: &Worker, now: Millis) -> DueOrder {
        let is_reachable = worker.has_responded && !worker.is_unresponsive();
        let accepts_starts = is_reachable && worker.listed && !worker.draining;
        let is_unsent = matches!(run.phase, RunPhase::Recorded { .. }) && run.start_attempts == 0;
        if is_unsent && (run.next_stop_at.is_some() || !accepts_starts) {
            return DueOrder::ProposeLoss;
        }
        if !is_reachable || run.in_flight_orders > 0 || run.phase == RunPhase::LossProposed {
            return DueOrder::Nothing;
        }
        let is_retry = matches!(run.phase, RunPhase::Recorded { .. });
        if is_retry && !accepts_starts && run.next_stop_at.is_none() {
            // An earlier start was not replied to. It must not be repeated, and may still take effect.
            return DueOrder::Stop;
        }
        match (run.next_stop_at, run.phase) {
            (Some(stop_at), _) if now >= stop_at => DueOrder::Stop,
            (None, RunPhase::Recorded { not_before }) if now >= not_before => DueOrder::Start,
            _ => DueOrder::Nothing,
        }
    }
}

impl Scheduler {
    /// Sends the due start and stop orders to the workers marked by `mark_order_due`.
    pub(crate) fn send_due_orders(&mut self, now: Millis, state: &State) {
        for incarnation in self.table.take_workers_with_orders() {
            self.send_orders(&incarnation, now, state);
        }
    }

    /// Sends the due start and stop orders to one worker.
    pub(crate) fn send_orders(&mut self, incarnation: &str, now: Millis, state: &State) {
        let Some(worker) = self.table.workers.get(incarnation) else {
            return;
        };
        let mut lost = Vec::new();
        let mut due: Vec<(TaskId, DueOrder)> = Vec::new();
        for (task, run) in &worker.runs {
            match DueOrder::of(run, worker, now) {
                DueOrder::Nothing => {}
                DueOrder::ProposeLoss => lost.push(run.to_start(*task, incarnation)),
                order => due.push((*task, order)),
            }
        }
        for (task, order) in due {
            match order {
                DueOrder::Start => self.send_start(incarnation, task, state, now),
                DueOrder::Stop => self.send_stop(incarnation, task, now),
                DueOrder::Nothing | DueOrder::ProposeLoss => {}
            }
        }
        if !lost.is_empty() {
            self.propose_loss(lost);
        }
    }

    /// Proposes the loss of runs that are known not to be running.
    pub(crate) fn propose_loss(&mut self, lost: Vec<RunStart>) {
        for start in &lost {
            // Prevents a second proposal before the log has decided on this one.
            let worker = self.table.workers.get_mut(&start.incarnation);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&start.task)) {
                run.phase = RunPhase::LossProposed;
            }
        }
        self.outputs
            .push(Output::Propose(Command::MarkRunsLost { runs: lost }));
    }

    /// Proposes the loss of all runs of a worker; every lease ever granted to it must have expired.
    pub(crate) fn propose_loss_of_expired_runs(&mut self, incarnation: &str) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let lost = worker.lost_runs();
        for run in worker.runs.values_mut() {
            if run.phase != RunPhase::Proposed {
                run.phase = RunPhase::LossProposed;
            }
        }
        self.outputs.push(Output::Log(format!(
            "all leases on worker expired, proposing loss of its runs worker={incarnation} runs={}",
            lost.len()
        )));
        self.outputs
            .push(Output::Propose(Command::MarkRunsLost { runs: lost }));
    }

    fn send_start(&mut self, incarnation: &str, task: TaskId, state: &State, now: Millis) {
        let Some(job) = state.jobs.get(&task.job) else {
            return;
        };
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let Some(clock) = worker.max_clock(now) else {
            return;
        };
        let deadline_ms = clock + START_VALID_MS;
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        run.start_attempts += 1;
        if run.start_attempts > MAX_START_ATTEMPTS {
            run.next_stop_at = Some(now);
            return;
        }
        run.phase = RunPhase::Starting;
        run.in_flight_orders += 1;
        run.start_valid_until = run.start_valid_until.max(deadline_ms);
        worker.lease_granted_until = worker.lease_granted_until.max(deadline_ms);
        let purpose = CallPurpose::Start {
            task,
            run: run.id,
            deadline_ms,
        };
        let order = WorkerOrder::Start {
            task,
            run: run.id,
            spec: job.submission.spec.spec.clone(),
            deadline_ms,
            checkpoint: run.checkpoint.clone(),
        };
        self.send_call(incarnation, purpose, order, self.calls.timeout_ms());
    }

    fn send_stop(&mut self, incarnation: &str, task: TaskId, now: Millis) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        run.next_stop_at = Some(now + STOP_RETRY_MS);
        run.in_flight_orders += 1;
        let run = run.id;
        self.send_call(
            incarnation,
            CallPurpose::Stop { task, run },
            WorkerOrder::Stop { task, run },
            self.calls.timeout_ms(),
        );
    }
}
