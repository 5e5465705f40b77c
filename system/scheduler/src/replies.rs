//! Takes workers' answers.
use crate::{
    calls::{Listing, Output, RefusalReason, WorkerOrder, WorkerReply},
    scheduler::{CallPurpose, InFlightCall, Scheduler},
    worker::{Progress, RunPhase, Worker},
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis, RunCompletion, RunId, RunStart, TaskId};

/// Time until a start that a worker turned down for its health or clock is sent again.
const START_RETRY_MS: Millis = 60;
/// A worker lists at most this many ends at once; with as many the listing may not be whole.
const MAX_LISTED_COMPLETIONS: usize = 500;
/// A stop that was answered has its effect without being repeated. In this time, beyond that for which two holds wait,
/// the one that is open comes back and another one is answered, which shows whether the run is there.
const STOP_CONFIRMATION_MS: Millis = 500;
/// Time until a worker that left a call unanswered is looked at again.
const RENEWAL_RETRY_MS: Millis = 30;
const STRAY_STOP_TIMEOUT_MS: Millis = 400;

impl Scheduler {
    /// Takes the answer to a call.
    pub fn reply(&mut self, now: Millis, state: &State, call: u64, reply: WorkerReply) {
        let Some(open) = self.in_flight_calls.remove(&call) else {
            return;
        };
        let InFlightCall {
            incarnation,
            purpose,
            sent_at,
        } = open;
        self.now = now;
        self.record_response_time(&purpose, &reply, now.saturating_sub(sent_at));
        if !self.workers.contains_key(&incarnation) {
            return;
        }
        if reply == WorkerReply::OtherLife {
            self.end_incarnation(&incarnation, state);
            return;
        }
        if matches!(
            reply,
            WorkerReply::Refused {
                reason: RefusalReason::RoleToken,
                ..
            }
        ) {
            self.depose(&incarnation);
            return;
        }
        self.lease_updates.insert(incarnation.clone());
        self.record_contact(&incarnation, call, &purpose, sent_at, &reply, now);
        match purpose {
            CallPurpose::LeaseRenewal { .. } | CallPurpose::HealthCheck => {
                self.handle_lease_reply(&incarnation, sent_at, reply, now)
            }
            CallPurpose::Start {
                task,
                run,
                deadline_ms,
            } => {
                self.handle_start_reply(&incarnation, task, run, deadline_ms, reply, now);
            }
            CallPurpose::Stop { task, run } => {
                self.handle_stop_reply(&incarnation, task, run, &reply, now)
            }
            CallPurpose::StopStray => {}
        }
    }

    /// Learns how long answers take, from calls that workers answer at once.
    fn record_response_time(&mut self, purpose: &CallPurpose, reply: &WorkerReply, after: Millis) {
        if matches!(purpose, CallPurpose::LeaseRenewal { wait_ms } if *wait_ms > 0) {
            return;
        }
        match reply {
            WorkerReply::Unanswered => self.response_times.unanswered(),
            _ => self.response_times.answered(after),
        }
    }

    /// What any answer, or none, says of the worker.
    fn record_contact(
        &mut self,
        incarnation: &str,
        call: u64,
        purpose: &CallPurpose,
        sent_at: Millis,
        reply: &WorkerReply,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if worker.lease.in_flight == Some(call) {
            worker.lease.in_flight = None;
        }
        let held = matches!(
            purpose,
            CallPurpose::LeaseRenewal { .. } | CallPurpose::HealthCheck
        );
        let ordered = matches!(
            purpose,
            CallPurpose::Start { .. } | CallPurpose::Stop { .. }
        );
        match reply {
            WorkerReply::Unanswered => {
                // A single order may go unanswered on a worker that is well; holds decide.
                worker.unanswered_renewals += u32::from(held);
                worker.lease.renew_at = now + RENEWAL_RETRY_MS;
                let doubt = ordered && worker.suspected_since.is_none();
                if doubt {
                    worker.suspected_since = Some(now);
                    self.send_health_check(incarnation);
                }
            }
            WorkerReply::Done { clock_ms, .. } | WorkerReply::Refused { clock_ms, .. } => {
                worker.read_clock(*clock_ms, now);
                if worker.suspected_since.is_some_and(|since| sent_at >= since) {
                    worker.suspected_since = None;
                    self.needs_planning = true;
                }
                if held && worker.unanswered_renewals > 0 {
                    worker.unanswered_renewals = 0;
                    self.needs_planning = true;
                }
            }
            WorkerReply::Unhealthy | WorkerReply::Rejected | WorkerReply::OtherLife => {}
        }
    }

    fn handle_lease_reply(
        &mut self,
        incarnation: &str,
        sent_at: Millis,
        reply: WorkerReply,
        now: Millis,
    ) {
        let max_hold_ms = self.settings.max_hold_ms;
        let Some(worker) = self.workers.get_mut(incarnation) else {
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
            if !worker.runs.is_empty() {
                worker.lease_granted_until = worker.lease_granted_until.max(clock + max_hold_ms);
            }
            self.needs_planning = true;
        }
        worker.lease.renew_at = now;
        self.handle_listing(incarnation, sent_at, clock, &listing, now);
    }

    fn handle_listing(
        &mut self,
        incarnation: &str,
        sent_at: Millis,
        clock: u64,
        listing: &Listing,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let mut stray_runs: Vec<(TaskId, RunId)> = Vec::new();
        for listed in &listing.running {
            match worker
                .runs
                .get_mut(&listed.task)
                .filter(|run| run.run == listed.run)
            {
                Some(run) => {
                    if matches!(run.phase, RunPhase::Starting | RunPhase::Recorded { .. })
                        && run.start_attempts > 0
                    {
                        run.phase = RunPhase::Started;
                        run.started_at = now;
                    }
                    run.progress.note(listed.percent, now);
                    if !listed.checkpoint.is_empty() {
                        run.latest_checkpoint.clone_from(&listed.checkpoint);
                    }
                }
                None => stray_runs.push((listed.task, listed.run)),
            }
        }
        let ends: Vec<RunCompletion> = listing
            .ended
            .iter()
            .filter(|end| end.number > worker.acknowledged_completion)
            .map(|end| RunCompletion {
                task: end.task,
                run: end.run,
                kind: end.kind,
                checkpoint: end.checkpoint.clone(),
            })
            .collect();
        if let Some(last) = listing
            .ended
            .iter()
            .map(|end| end.number)
            .max()
            .filter(|&n| n > worker.proposed_completion)
        {
            worker.proposed_completion = last;
            let incarnation = incarnation.to_owned();
            self.outputs
                .push(Output::Propose(Command::RecordCompletions {
                    incarnation,
                    last_seen: last,
                    ends,
                }));
        }
        let lost = missing_runs(worker, sent_at, clock, listing);
        if !lost.is_empty() {
            self.propose_loss(lost);
        }
        for (task, run) in stray_runs {
            let order = WorkerOrder::Stop { task, run };
            self.call(
                incarnation,
                CallPurpose::StopStray,
                order,
                STRAY_STOP_TIMEOUT_MS,
            );
        }
    }

    fn handle_start_reply(
        &mut self,
        incarnation: &str,
        task: TaskId,
        number: RunId,
        deadline_ms: u64,
        reply: WorkerReply,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.run == number) else {
            return;
        };
        run.in_flight_orders = run.in_flight_orders.saturating_sub(1);
        run.last_reply_at = now;
        let mut lost = false;
        match reply {
            WorkerReply::Done { .. } => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Started;
                    run.started_at = now;
                    run.progress = Progress {
                        percent: 0,
                        since: now,
                        seen: now,
                    };
                }
                run.start_valid_until = 0;
            }
            WorkerReply::Unanswered => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Recorded { not_before: now };
                }
                self.workers_with_orders.insert(incarnation.to_owned());
            }
            WorkerReply::Refused {
                reason: RefusalReason::Late,
                ..
            } => {
                run.phase = RunPhase::Recorded {
                    not_before: now + START_RETRY_MS,
                };
            }
            // It ended there, or was stopped: the next listing says so.
            WorkerReply::Refused {
                reason: RefusalReason::Old,
                ..
            } => {
                run.phase = RunPhase::Started;
                run.start_valid_until = 0;
            }
            WorkerReply::Refused {
                reason: RefusalReason::Room,
                ..
            } => {
                // An earlier try that was not answered may still come when there is room.
                lost = run.start_valid_until <= deadline_ms && run.start_attempts == 1;
                if !lost {
                    run.next_stop_at = Some(now);
                }
            }
            WorkerReply::Unhealthy | WorkerReply::Rejected => {
                lost = run.start_attempts == 1;
                if !lost {
                    run.next_stop_at = Some(now);
                }
                worker.health.eject(now);
            }
            // Neither comes here: the one has given the role up, with the other the worker's life is over.
            WorkerReply::Refused {
                reason: RefusalReason::RoleToken,
                ..
            }
            | WorkerReply::OtherLife => {}
        }
        if lost {
            let checkpoint = run.checkpoint.clone();
            let start = RunStart {
                task,
                run: number,
                incarnation: incarnation.to_owned(),
                checkpoint,
            };
            self.propose_loss(vec![start]);
        }
    }

    fn handle_stop_reply(
        &mut self,
        incarnation: &str,
        task: TaskId,
        number: RunId,
        reply: &WorkerReply,
        now: Millis,
    ) {
        let long_poll_ms = self.lease_timing.long_poll_ms();
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.run == number) else {
            return;
        };
        run.in_flight_orders = run.in_flight_orders.saturating_sub(1);
        run.last_reply_at = now;
        if matches!(reply, WorkerReply::Done { .. }) {
            // A start of it that comes after the stop is turned down.
            run.start_valid_until = 0;
            run.next_stop_at = Some(now + 2 * long_poll_ms + STOP_CONFIRMATION_MS);
        }
        worker.lease.renew_at = worker.lease.renew_at.min(now);
    }
}

/// Runs that a listing, asked for after their last order was answered, does not show: they are surely not there.
fn missing_runs(worker: &Worker, sent_at: Millis, clock: u64, listing: &Listing) -> Vec<RunStart> {
    if listing.ended.len() >= MAX_LISTED_COMPLETIONS {
        return Vec::new();
    }
    let shown = |task: &TaskId, run: RunId| {
        listing
            .running
            .iter()
            .any(|listed| listed.task == *task && listed.run == run)
            || listing
                .ended
                .iter()
                .any(|end| end.task == *task && end.run == run)
    };
    worker
        .runs
        .iter()
        .filter(|(task, run)| {
            let stopped = run.next_stop_at.is_some()
                && run.start_attempts > 0
                && run.phase != RunPhase::LossProposed;
            (run.phase == RunPhase::Started || stopped)
                && run.in_flight_orders == 0
                && sent_at > run.last_reply_at
                && clock > run.start_valid_until
                && !shown(task, run.run)
        })
        .map(|(task, run)| RunStart {
            task: *task,
            run: run.run,
            incarnation: worker.entry.incarnation.clone(),
            checkpoint: run.latest_checkpoint.clone(),
        })
        .collect()
}
