//! Handles workers' replies to calls.
//!
//! Orders that follow from a reply are only marked as due here; `on_timeout` sends them.
use crate::{
    call_table::{CallPurpose, InFlightCall},
    calls::{Listing, Output, RefusalReason, WorkerOrder, WorkerReply},
    run::{Run, RunPhase, StartOutcome},
    scheduler::Scheduler,
    start_backoff::RejectedBy,
    worker::Worker,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis, RunCompletion, RunId, RunStart, TaskId};
use std::collections::HashSet;

/// Maximum number of completions in one listing; a listing with this many may be incomplete.
const MAX_LISTED_COMPLETIONS: usize = 500;
/// A stop that was acknowledged is not repeated for the duration of two long polls plus this time. By then the long
/// poll in flight has returned and another one has been replied to, which shows whether the run has ended.
const STOP_CONFIRMATION_MS: Millis = 500;
/// Delay before the lease of a worker that did not reply to a call is renewed.
const RENEWAL_RETRY_MS: Millis = 30;
const ORPHAN_STOP_TIMEOUT_MS: Millis = 400;

/// A call whose reply has arrived.
struct RepliedCall {
    id: u64,
    call: InFlightCall,
    now: Millis,
}

/// The run that a replied order was for.
#[derive(Clone, Copy)]
struct OrderedRun {
    task: TaskId,
    run: RunId,
}

impl Scheduler {
    /// Handles the reply to a call; only the first reply to a call has an effect.
    pub fn handle_reply(&mut self, now: Millis, state: &State, call: u64, reply: WorkerReply) {
        let Some(in_flight) = self.calls.remove(call) else {
            return;
        };
        self.now = now;
        let elapsed_ms = now.saturating_sub(in_flight.sent_at);
        self.calls
            .record_response_time(&in_flight.purpose, &reply, elapsed_ms);
        if !self.table.workers.contains_key(&in_flight.incarnation) {
            return;
        }
        match reply {
            WorkerReply::OtherIncarnation => self.end_incarnation(&in_flight.incarnation, state),
            WorkerReply::Refused {
                reason: RefusalReason::StaleToken,
                ..
            } => self.depose(&in_flight.incarnation),
            reply => {
                let replied = RepliedCall {
                    id: call,
                    call: in_flight,
                    now,
                };
                self.handle_worker_reply(&replied, reply);
            }
        }
    }

    /// Handles a reply of an incarnation that has not ended and has not rejected this scheduler's token.
    fn handle_worker_reply(&mut self, replied: &RepliedCall, reply: WorkerReply) {
        let incarnation = &replied.call.incarnation;
        self.table.lease_schedule.mark_updated(incarnation);
        self.update_responsiveness(replied, &reply);
        match replied.call.purpose {
            CallPurpose::LeaseRenewal { .. } | CallPurpose::HealthCheck => {
                self.handle_lease_reply(replied, reply);
            }
            CallPurpose::Start {
                task,
                run,
                deadline_ms,
            } => {
                let ordered = OrderedRun { task, run };
                self.handle_start_reply(incarnation, ordered, deadline_ms, &reply, replied.now);
            }
            CallPurpose::Stop { task, run } => {
                let ordered = OrderedRun { task, run };
                self.handle_stop_reply(incarnation, ordered, &reply, replied.now);
            }
            CallPurpose::StopOrphan => {}
        }
    }

    /// Updates the clock reading and the responsiveness of a worker from any reply or timeout.
    fn update_responsiveness(&mut self, replied: &RepliedCall, reply: &WorkerReply) {
        let InFlightCall {
            incarnation,
            purpose,
            sent_at,
        } = &replied.call;
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        if worker.lease.in_flight == Some(replied.id) {
            worker.lease.in_flight = None;
        }
        match reply {
            WorkerReply::TimedOut => {
                // A healthy worker may miss a single order, so only unanswered renewals and health checks are counted.
                worker.unanswered_renewals += u32::from(purpose.lists_runs());
                worker.lease.renew_at = replied.now + RENEWAL_RETRY_MS;
                if purpose.is_order() && worker.suspected_since.is_none() {
                    worker.suspected_since = Some(replied.now);
                    self.send_health_check(incarnation);
                }
            }
            WorkerReply::Done { clock_ms, .. } | WorkerReply::Refused { clock_ms, .. } => {
                worker.read_clock(*clock_ms, replied.now);
                if worker
                    .suspected_since
                    .is_some_and(|since| *sent_at >= since)
                {
                    worker.suspected_since = None;
                    self.planner.request_round();
                }
                if purpose.lists_runs() && worker.unanswered_renewals > 0 {
                    worker.unanswered_renewals = 0;
                    self.planner.request_round();
                }
            }
            WorkerReply::Unhealthy | WorkerReply::Malformed | WorkerReply::OtherIncarnation => {}
        }
    }

    fn handle_lease_reply(&mut self, replied: &RepliedCall, reply: WorkerReply) {
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(worker) = self.table.workers.get_mut(&replied.call.incarnation) else {
            return;
        };
        let WorkerReply::Done {
            clock_ms: Some(clock),
            listing: Some(listing),
        } = reply
        else {
            return;
        };
        if !worker.has_responded {
            worker.has_responded = true;
            // An earlier scheduler may have granted it a lease of the maximum duration.
            if !worker.runs.is_empty() {
                worker.lease_granted_until = worker.lease_granted_until.max(clock + max_lease_ms);
            }
            self.planner.request_round();
        }
        worker.lease.renew_at = replied.now;
        self.handle_listing(&replied.call, clock, &listing, replied.now);
    }

    fn handle_listing(&mut self, call: &InFlightCall, clock: u64, listing: &Listing, now: Millis) {
        let Some(worker) = self.table.workers.get_mut(&call.incarnation) else {
            return;
        };
        let orphaned_runs = record_running(worker, listing, now);
        if let Some(command) = propose_completions(worker, listing) {
            self.outputs.push(Output::Propose(command));
        }
        let lost = missing_runs(worker, call.sent_at, clock, listing);
        if !lost.is_empty() {
            self.propose_loss(lost);
        }
        for OrderedRun { task, run } in orphaned_runs {
            self.send_call(
                &call.incarnation,
                CallPurpose::StopOrphan,
                WorkerOrder::Stop { task, run },
                ORPHAN_STOP_TIMEOUT_MS,
            );
        }
    }

    fn handle_start_reply(
        &mut self,
        incarnation: &str,
        ordered: OrderedRun,
        deadline_ms: u64,
        reply: &WorkerReply,
        now: Millis,
    ) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.run_mut(&ordered.task, ordered.run) else {
            return;
        };
        run.handle_order_reply(now);
        let outcome = run.handle_start_reply(reply, deadline_ms, now);
        let start = run.to_start(ordered.task, incarnation);
        match reply {
            WorkerReply::Unhealthy => worker.health.eject(now),
            WorkerReply::Malformed => self.handle_rejected_start(ordered.task, incarnation, now),
            WorkerReply::Done { .. } => self.planner.record_successful_start(ordered.task.job),
            _ => {}
        }
        match outcome {
            StartOutcome::Resolved => {}
            StartOutcome::Retry => {
                self.table.mark_order_due(incarnation);
            }
            StartOutcome::NeverBegan => self.propose_loss(vec![start]),
        }
    }

    /// Handles a start that a worker has rejected as invalid: its job backs off. It counts against the worker only as
    /// long as no other worker rejects the job.
    fn handle_rejected_start(&mut self, task: TaskId, incarnation: &str, now: Millis) {
        let rejected_by = self.planner.record_rejected_start(task, incarnation, now);
        if rejected_by == RejectedBy::OneWorker {
            self.record_worker_failure(task.job, incarnation, now);
        }
        let Some(rejected) = self.planner.start_backoff.of(task.job) else {
            return;
        };
        if rejected.attempts.is_power_of_two() {
            self.outputs.push(Output::Log(format!(
                "workers reject the starts of a job job={} worker={incarnation} attempts={} retry_in_ms={}",
                task.job,
                rejected.attempts,
                rejected.retry_at.saturating_sub(now)
            )));
        }
    }

    fn handle_stop_reply(
        &mut self,
        incarnation: &str,
        ordered: OrderedRun,
        reply: &WorkerReply,
        now: Millis,
    ) {
        let long_poll_ms = self.lease_timing.long_poll_ms();
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.run_mut(&ordered.task, ordered.run) else {
            return;
        };
        run.handle_order_reply(now);
        if matches!(reply, WorkerReply::Done { .. }) {
            // The worker refuses a start of the run that arrives after the stop.
            run.start_valid_until = 0;
            run.next_stop_at = Some(now + 2 * long_poll_ms + STOP_CONFIRMATION_MS);
        }
        worker.lease.renew_at = worker.lease.renew_at.min(now);
    }
}

/// Records the runs that a worker lists as running. Returns the listed runs that are not tracked on this worker.
fn record_running(worker: &mut Worker, listing: &Listing, now: Millis) -> Vec<OrderedRun> {
    let mut orphaned_runs = Vec::new();
    for listed in &listing.running {
        match worker.run_mut(&listed.task, listed.run) {
            Some(run) => run.handle_listed(listed, now),
            None => orphaned_runs.push(OrderedRun {
                task: listed.task,
                run: listed.run,
            }),
        }
    }
    orphaned_runs
}

/// Returns a command that records the listed completions, if some have not been proposed yet.
fn propose_completions(worker: &mut Worker, listing: &Listing) -> Option<Command> {
    let last = listing
        .completed
        .iter()
        .map(|completion| completion.sequence)
        .max()?;
    if last <= worker.proposed_completion {
        return None;
    }
    let completions = listing
        .completed
        .iter()
        .filter(|completion| completion.sequence > worker.acknowledged_completion)
        .map(|completion| RunCompletion {
            task: completion.task,
            run: completion.run,
            kind: completion.kind,
            checkpoint: completion.checkpoint.clone(),
        })
        .collect();
    worker.proposed_completion = last;
    Some(Command::RecordCompletions {
        incarnation: worker.entry.incarnation.clone(),
        acknowledged_completion: last,
        completions,
    })
}

/// Returns the runs that are missing from a listing that was requested after the reply to their last order. They are
/// known not to be running.
fn missing_runs(worker: &Worker, sent_at: Millis, clock: u64, listing: &Listing) -> Vec<RunStart> {
    if listing.completed.len() >= MAX_LISTED_COMPLETIONS {
        return Vec::new();
    }
    let must_be_listed = |run: &Run| {
        let is_stopped = run.next_stop_at.is_some()
            && run.start_attempts > 0
            && run.phase != RunPhase::LossProposed;
        (run.phase == RunPhase::Started || is_stopped)
            && run.in_flight_orders == 0
            && sent_at > run.last_reply_at
            && clock > run.start_valid_until
    };
    let running = listing.running.iter().map(|run| (run.task, run.run));
    let completed = listing.completed.iter().map(|run| (run.task, run.run));
    let listed: HashSet<(TaskId, RunId)> = running.chain(completed).collect();
    worker
        .runs
        .iter()
        .filter(|(task, run)| must_be_listed(run) && !listed.contains(&(**task, run.id)))
        .map(|(task, run)| run.to_lost(*task, &worker.entry.incarnation))
        .collect()
}
