//! Takes workers' answers.
use crate::{
    calls::{Listing, Output, RefusalReason, WorkerOrder, WorkerReply},
    scheduler::{CallPurpose, OpenCall, Scheduler},
    worker::{Progress, RunPhase, Worker},
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis, RunCompletion, RunId, RunStart, TaskId};

/// Time until a start that a worker turned down for its health or clock is sent again.
const RETRY_MS: Millis = 60;
/// A worker lists at most this many ends at once; with as many the listing may not be whole.
const MOST_ENDS_LISTED: usize = 500;
/// A stop that was answered has its effect without being repeated. In this time, beyond that for which two holds wait,
/// the one that is open comes back and another one is answered, which shows whether the run is there.
const STOP_SETTLES_MS: Millis = 500;
/// Time until a worker that left a call unanswered is looked at again.
const LOOK_AGAIN_MS: Millis = 30;
const STRAY_STOP_TIMEOUT_MS: Millis = 400;

impl Scheduler {
    /// Takes the answer to a call.
    pub fn reply(&mut self, now: Millis, state: &State, call: u64, reply: WorkerReply) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let OpenCall {
            incarnation,
            purpose,
            sent_at,
        } = open;
        self.now = now;
        self.note_answer_time(&purpose, &reply, now.saturating_sub(sent_at));
        if !self.workers.contains_key(&incarnation) {
            return;
        }
        if reply == WorkerReply::OtherLife {
            self.life_is_over(&incarnation, state);
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
        self.hold_news.insert(incarnation.clone());
        self.note_contact(&incarnation, call, &purpose, sent_at, &reply, now);
        match purpose {
            CallPurpose::Hold { .. } | CallPurpose::Probe => {
                self.hold_answered(&incarnation, sent_at, reply, now)
            }
            CallPurpose::Start {
                task,
                run,
                deadline_ms,
            } => {
                self.start_answered(&incarnation, task, run, deadline_ms, reply, now);
            }
            CallPurpose::Stop { task, run } => {
                self.stop_answered(&incarnation, task, run, &reply, now)
            }
            CallPurpose::StopStray => {}
        }
    }

    /// Learns how long answers take, from calls that workers answer at once.
    fn note_answer_time(&mut self, purpose: &CallPurpose, reply: &WorkerReply, after: Millis) {
        if matches!(purpose, CallPurpose::Hold { wait_ms } if *wait_ms > 0) {
            return;
        }
        match reply {
            WorkerReply::Unanswered => self.response_times.unanswered(),
            _ => self.response_times.answered(after),
        }
    }

    /// What any answer, or none, says of the worker.
    fn note_contact(
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
        if worker.hold.open == Some(call) {
            worker.hold.open = None;
        }
        let held = matches!(purpose, CallPurpose::Hold { .. } | CallPurpose::Probe);
        let ordered = matches!(
            purpose,
            CallPurpose::Start { .. } | CallPurpose::Stop { .. }
        );
        match reply {
            WorkerReply::Unanswered => {
                // A single order may go unanswered on a worker that is well; holds decide.
                worker.unanswered += u32::from(held);
                worker.hold.due = now + LOOK_AGAIN_MS;
                let doubt = ordered && worker.doubted_at.is_none();
                if doubt {
                    worker.doubted_at = Some(now);
                    self.probe(incarnation);
                }
            }
            WorkerReply::Done { clock_ms, .. } | WorkerReply::Refused { clock_ms, .. } => {
                worker.read_clock(*clock_ms, now);
                if worker.doubted_at.is_some_and(|since| sent_at >= since) {
                    worker.doubted_at = None;
                    self.replan = true;
                }
                if held && worker.unanswered > 0 {
                    worker.unanswered = 0;
                    self.replan = true;
                }
            }
            WorkerReply::Unhealthy | WorkerReply::Rejected | WorkerReply::OtherLife => {}
        }
    }

    fn hold_answered(
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
        if !worker.greeted {
            worker.greeted = true;
            if !worker.runs.is_empty() {
                worker.granted_until = worker.granted_until.max(clock + max_hold_ms);
            }
            self.replan = true;
        }
        worker.hold.due = now;
        self.take_listing(incarnation, sent_at, clock, &listing, now);
    }

    fn take_listing(
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
        let mut strays: Vec<(TaskId, RunId)> = Vec::new();
        for listed in &listing.running {
            match worker
                .runs
                .get_mut(&listed.task)
                .filter(|run| run.run == listed.run)
            {
                Some(run) => {
                    if matches!(run.phase, RunPhase::Starting | RunPhase::Recorded { .. })
                        && run.tries > 0
                    {
                        run.phase = RunPhase::Started;
                        run.started_at = now;
                    }
                    run.progress.note(listed.percent, now);
                    if !listed.checkpoint.is_empty() {
                        run.saved.clone_from(&listed.checkpoint);
                    }
                }
                None => strays.push((listed.task, listed.run)),
            }
        }
        let ends: Vec<RunCompletion> = listing
            .ended
            .iter()
            .filter(|end| end.number > worker.last_seen)
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
            .filter(|&n| n > worker.proposed_seen)
        {
            worker.proposed_seen = last;
            let incarnation = incarnation.to_owned();
            self.out.push(Output::Propose(Command::RecordCompletions {
                incarnation,
                last_seen: last,
                ends,
            }));
        }
        let lost = missing(worker, sent_at, clock, listing);
        if !lost.is_empty() {
            self.lose(lost);
        }
        for (task, run) in strays {
            let order = WorkerOrder::Stop { task, run };
            self.call(
                incarnation,
                CallPurpose::StopStray,
                order,
                STRAY_STOP_TIMEOUT_MS,
            );
        }
    }

    fn start_answered(
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
        run.open_calls = run.open_calls.saturating_sub(1);
        run.resolved_at = now;
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
                run.may_begin_until = 0;
            }
            WorkerReply::Unanswered => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Recorded { not_before: now };
                }
                self.fresh.insert(incarnation.to_owned());
            }
            WorkerReply::Refused {
                reason: RefusalReason::Late,
                ..
            } => {
                run.phase = RunPhase::Recorded {
                    not_before: now + RETRY_MS,
                };
            }
            // It ended there, or was stopped: the next listing says so.
            WorkerReply::Refused {
                reason: RefusalReason::Old,
                ..
            } => {
                run.phase = RunPhase::Started;
                run.may_begin_until = 0;
            }
            WorkerReply::Refused {
                reason: RefusalReason::Room,
                ..
            } => {
                // An earlier try that was not answered may still come when there is room.
                lost = run.may_begin_until <= deadline_ms && run.tries == 1;
                if !lost {
                    run.stop_due = Some(now);
                }
            }
            WorkerReply::Unhealthy | WorkerReply::Rejected => {
                lost = run.tries == 1;
                if !lost {
                    run.stop_due = Some(now);
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
            self.lose(vec![start]);
        }
    }

    fn stop_answered(
        &mut self,
        incarnation: &str,
        task: TaskId,
        number: RunId,
        reply: &WorkerReply,
        now: Millis,
    ) {
        let usual_wait_ms = self.hold_waits.wait_ms();
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.run == number) else {
            return;
        };
        run.open_calls = run.open_calls.saturating_sub(1);
        run.resolved_at = now;
        if matches!(reply, WorkerReply::Done { .. }) {
            // A start of it that comes after the stop is turned down.
            run.may_begin_until = 0;
            run.stop_due = Some(now + 2 * usual_wait_ms + STOP_SETTLES_MS);
        }
        worker.hold.due = worker.hold.due.min(now);
    }
}

/// Runs that a listing, asked for after their last order was answered, does not show: they are surely not there.
fn missing(worker: &Worker, sent_at: Millis, clock: u64, listing: &Listing) -> Vec<RunStart> {
    if listing.ended.len() >= MOST_ENDS_LISTED {
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
            let stopped = run.stop_due.is_some() && run.tries > 0 && run.phase != RunPhase::Losing;
            (run.phase == RunPhase::Started || stopped)
                && run.open_calls == 0
                && sent_at > run.resolved_at
                && clock > run.may_begin_until
                && !shown(task, run.run)
        })
        .map(|(task, run)| RunStart {
            task: *task,
            run: run.run,
            incarnation: worker.entry.incarnation.clone(),
            checkpoint: run.saved.clone(),
        })
        .collect()
}
