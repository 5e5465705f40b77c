//! One attempt of a task on a worker, as far as the scheduler knows it.
//!
//! It holds no reference to its worker and sends nothing: it says what follows from a reply or a listing.
use crate::calls::{ListedRun, RefusalReason, WorkerReply};
use magpiegap_jobs::Job;
use magpiegap_protocol::{Millis, Resources, RunId, RunStart, StepSpec, TaskId};

/// Time until a start that a worker refused as late is sent again.
const START_RETRY_MS: Millis = 60;
/// From this progress on the remaining time is derived from it and not from the estimate.
const MIN_RELIABLE_PERCENT: u64 = 10;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Proposed for the log.
    Proposed,
    /// In the log; its start is still to be sent, not before this time.
    Recorded { not_before: Millis },
    /// Its start was sent and has no reply yet.
    Starting,
    /// It was started, or may have been by an earlier scheduler of the service.
    Started,
    /// It is surely not running, and its loss is proposed for the log.
    LossProposed,
}

/// A run's progress as its worker has listed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    pub percent: u64,
    /// When it was first listed with this percentage.
    pub since: Millis,
    /// When it was last listed with this percentage.
    last_listed_at: Millis,
}

impl Progress {
    fn new(percent: u64, now: Millis) -> Progress {
        Progress {
            percent,
            since: now,
            last_listed_at: now,
        }
    }

    fn record(&mut self, percent: u64, now: Millis) {
        if percent != self.percent {
            *self = Progress::new(percent, now);
        }
        self.last_listed_at = now;
    }

    /// For how long it has surely not changed, in milliseconds.
    pub(crate) fn stalled_ms(&self) -> Millis {
        self.last_listed_at.saturating_sub(self.since)
    }
}

/// What follows from the reply to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// Nothing: the run is started, is tried again later, or the next listing says what became of it.
    Resolved,
    /// The start is sent again as soon as it may be.
    Retry,
    /// The run surely never began.
    NeverBegan,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub id: RunId,
    pub resources: Resources,
    pub priority: u32,
    pub phase: RunPhase,
    /// The checkpoint that it was started from; empty: none.
    pub checkpoint: String,
    /// The newest checkpoint that the worker has listed.
    pub latest_checkpoint: String,
    pub progress: Progress,
    /// It keeps its progress when it is stopped.
    pub checkpoints: bool,
    /// It completes only when its job is cancelled.
    pub long_running: bool,
    /// It works only together with the other members of its gang.
    pub gang: bool,
    pub started_at: Millis,
    /// How long it should take, by the client's estimate.
    pub estimated_ms: u64,
    /// It is to be stopped; the next order to do so is due at this time.
    pub next_stop_at: Option<Millis>,
    /// Orders for it that are in flight.
    pub in_flight_orders: u32,
    /// When the last order for it was replied to; a listing requested before says nothing of it.
    pub last_reply_at: Millis,
    /// On the worker's clock: until when a start without a reply may still take effect.
    pub start_valid_until: u64,
    /// How often its start was sent.
    pub start_attempts: u32,
}

impl Run {
    /// Creates a run as it begins.
    pub(crate) fn new(
        job: &Job,
        step: &StepSpec,
        start: &RunStart,
        phase: RunPhase,
        now: Millis,
    ) -> Run {
        Run {
            id: start.run,
            resources: step.resources,
            priority: job.submission.priority,
            phase,
            checkpoint: start.checkpoint.clone(),
            latest_checkpoint: start.checkpoint.clone(),
            progress: Progress::new(0, now),
            checkpoints: step.checkpoints,
            long_running: job.submission.spec.long_running,
            gang: step.gang,
            started_at: now,
            estimated_ms: step.estimated_ms,
            next_stop_at: None,
            in_flight_orders: 0,
            last_reply_at: now,
            start_valid_until: 0,
            start_attempts: 0,
        }
    }

    /// Whether it is started and is not to be stopped.
    pub(crate) fn is_wanted_and_started(&self) -> bool {
        self.phase == RunPhase::Started && self.next_stop_at.is_none()
    }

    /// The run as the log names it, with the checkpoint that it was started from.
    pub(crate) fn to_start(&self, task: TaskId, incarnation: &str) -> RunStart {
        RunStart {
            task,
            run: self.id,
            incarnation: incarnation.to_owned(),
            checkpoint: self.checkpoint.clone(),
        }
    }

    /// The run as the log names it when it is lost, with the newest checkpoint that is known.
    pub(crate) fn to_lost(&self, task: TaskId, incarnation: &str) -> RunStart {
        RunStart {
            checkpoint: self.latest_checkpoint.clone(),
            ..self.to_start(task, incarnation)
        }
    }

    /// Records that its worker lists it as running.
    pub(crate) fn handle_listed(&mut self, listed: &ListedRun, now: Millis) {
        let is_awaited = matches!(self.phase, RunPhase::Starting | RunPhase::Recorded { .. });
        if is_awaited && self.start_attempts > 0 {
            self.phase = RunPhase::Started;
            self.started_at = now;
        }
        self.progress.record(listed.percent, now);
        if !listed.checkpoint.is_empty() {
            self.latest_checkpoint.clone_from(&listed.checkpoint);
        }
    }

    /// Records that an order for it is no longer in flight.
    pub(crate) fn handle_order_reply(&mut self, now: Millis) {
        self.in_flight_orders = self.in_flight_orders.saturating_sub(1);
        self.last_reply_at = now;
    }

    /// Takes the reply to a start that was valid until `deadline_ms` on the worker's clock.
    pub(crate) fn handle_start_reply(
        &mut self,
        reply: &WorkerReply,
        deadline_ms: u64,
        now: Millis,
    ) -> StartOutcome {
        match reply {
            WorkerReply::Done { .. } => {
                if self.phase == RunPhase::Starting {
                    self.phase = RunPhase::Started;
                    self.started_at = now;
                    self.progress = Progress::new(0, now);
                }
                self.start_valid_until = 0;
                StartOutcome::Resolved
            }
            WorkerReply::TimedOut => {
                if self.phase == RunPhase::Starting {
                    self.phase = RunPhase::Recorded { not_before: now };
                }
                StartOutcome::Retry
            }
            WorkerReply::Refused { reason, .. } => {
                self.handle_start_refused(*reason, deadline_ms, now)
            }
            WorkerReply::Unhealthy | WorkerReply::Unreadable => {
                self.give_up_start(self.start_attempts == 1, now)
            }
            // Does not come here: the incarnation of the worker is over.
            WorkerReply::OtherIncarnation => StartOutcome::Resolved,
        }
    }

    fn handle_start_refused(
        &mut self,
        reason: RefusalReason,
        deadline_ms: u64,
        now: Millis,
    ) -> StartOutcome {
        match reason {
            RefusalReason::DeadlinePassed => {
                self.phase = RunPhase::Recorded {
                    not_before: now + START_RETRY_MS,
                };
                StartOutcome::Resolved
            }
            // It completed there, or was stopped: the next listing says so.
            RefusalReason::Superseded => {
                self.phase = RunPhase::Started;
                self.start_valid_until = 0;
                StartOutcome::Resolved
            }
            // An earlier attempt without a reply may still take effect once there is capacity.
            RefusalReason::NoCapacity => {
                let is_only_attempt =
                    self.start_valid_until <= deadline_ms && self.start_attempts == 1;
                self.give_up_start(is_only_attempt, now)
            }
            // Does not come here: the role is given up.
            RefusalReason::StaleToken => StartOutcome::Resolved,
        }
    }

    /// Gives a refused run up; where an earlier start may still take effect it is stopped first.
    fn give_up_start(&mut self, is_only_attempt: bool, now: Millis) -> StartOutcome {
        if is_only_attempt {
            return StartOutcome::NeverBegan;
        }
        self.next_stop_at = Some(now);
        StartOutcome::Resolved
    }

    /// About how long it still takes, in milliseconds, by its progress or else by the client's estimate.
    pub(crate) fn remaining_ms(&self, now: Millis) -> Millis {
        let elapsed_ms = now.saturating_sub(self.started_at);
        let percent = self.progress.percent;
        if percent >= MIN_RELIABLE_PERCENT {
            return elapsed_ms * (100 - percent.min(100)) / percent;
        }
        self.estimated_ms.saturating_sub(elapsed_ms)
    }
}
