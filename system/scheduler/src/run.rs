//! The scheduler's view of one attempt of a task on a worker.
//!
//! It is independent of its worker and sends nothing; it returns what follows from a reply or listing.
use crate::calls::{ListedRun, RefusalReason, WorkerReply};
use magpiegap_jobs::Job;
use magpiegap_protocol::{Millis, Resources, RunId, RunStart, StepSpec, TaskId};

/// Delay before a start that a worker refused as expired is sent again.
const START_RETRY_MS: Millis = 60;
/// A long-running run that its worker lists this long after its start is at work: its start has succeeded.
const ESTABLISHED_AFTER_MS: Millis = 5000;
/// Minimum progress from which the remaining time is extrapolated instead of taken from the estimate.
const MIN_RELIABLE_PERCENT: u64 = 10;

/// The lifecycle phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Proposed for the log.
    Proposed,
    /// In the log; its start is to be sent no earlier than `not_before`.
    Recorded { not_before: Millis },
    /// Its start was sent and has no reply yet.
    Starting,
    /// Started, or possibly started by an earlier scheduler of the service.
    Started,
    /// Known not to be running; its loss is proposed for the log.
    LossProposed,
}

/// A run's progress as listed by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    pub percent: u64,
    /// When it was first listed with this percentage.
    pub since: Millis,
    /// When it was last listed with this percentage.
    last_listed_at: Millis,
    /// The longest time per percent between two listings with different percentages, in milliseconds.
    pub slowest_percent_ms: Millis,
}

impl Progress {
    fn new(percent: u64, now: Millis) -> Progress {
        Progress {
            percent,
            since: now,
            last_listed_at: now,
            slowest_percent_ms: 0,
        }
    }

    fn record(&mut self, percent: u64, now: Millis) {
        if percent != self.percent {
            let rise = percent.saturating_sub(self.percent);
            let percent_ms = now.saturating_sub(self.since).checked_div(rise);
            *self = Progress {
                slowest_percent_ms: self.slowest_percent_ms.max(percent_ms.unwrap_or(0)),
                ..Progress::new(percent, now)
            };
        }
        self.last_listed_at = now;
    }

    /// Time between the first and the last listing with the current percentage, in milliseconds: a lower bound of how
    /// long the run has made no progress.
    pub(crate) fn stalled_ms(&self) -> Millis {
        self.last_listed_at.saturating_sub(self.since)
    }
}

/// The result of a reply to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// No immediate action: the run is started, will be retried or stopped later, or the next listing shows its state.
    Resolved,
    /// The start must be retried as soon as it is due.
    Retry,
    /// The run is known to have never begun.
    NeverBegan,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub id: RunId,
    pub resources: Resources,
    pub priority: u32,
    pub phase: RunPhase,
    /// The checkpoint that it was started from; empty if there is none.
    pub checkpoint: String,
    /// The newest checkpoint that the worker has listed, or else the one that it was started from.
    pub latest_checkpoint: String,
    pub progress: Progress,
    /// Its step writes checkpoints, so that it can resume after it is stopped.
    pub checkpoints: bool,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// It makes progress only together with the other members of its gang.
    pub gang: bool,
    pub started_at: Millis,
    /// The client's estimate of its duration, in milliseconds.
    pub estimated_ms: u64,
    /// When the next stop order is due, if the run is to be stopped.
    pub next_stop_at: Option<Millis>,
    /// Number of orders for it that are in flight.
    pub in_flight_orders: u32,
    /// When the last order for it was replied to. A listing requested before that may be outdated for this run.
    pub last_reply_at: Millis,
    /// On the worker's clock: until when a start that was not replied to may still take effect.
    pub start_valid_until: u64,
    /// Number of start orders sent.
    pub start_attempts: u32,
}

impl Run {
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

    /// Whether it is started and no stop has been requested.
    pub(crate) fn is_started_and_not_stopping(&self) -> bool {
        self.phase == RunPhase::Started && self.next_stop_at.is_none()
    }

    /// Whether it is a long-running run that has been at work for some time. If it fails later, this says nothing
    /// about its worker, since such a run may fail at any time.
    pub(crate) fn is_established(&self) -> bool {
        self.long_running
            && self.phase == RunPhase::Started
            && self.progress.last_listed_at >= self.started_at + ESTABLISHED_AFTER_MS
    }

    /// The run as recorded in the log, with the checkpoint that it was started from.
    pub(crate) fn to_start(&self, task: TaskId, incarnation: &str) -> RunStart {
        RunStart {
            task,
            run: self.id,
            incarnation: incarnation.to_owned(),
            checkpoint: self.checkpoint.clone(),
        }
    }

    /// The run as named in a proposal of its loss, with its newest known checkpoint.
    pub(crate) fn to_lost(&self, task: TaskId, incarnation: &str) -> RunStart {
        RunStart {
            checkpoint: self.latest_checkpoint.clone(),
            ..self.to_start(task, incarnation)
        }
    }

    /// Records that the worker lists it as running.
    pub(crate) fn handle_listed(&mut self, listed: &ListedRun, now: Millis) {
        let is_start_pending = matches!(self.phase, RunPhase::Starting | RunPhase::Recorded { .. });
        if is_start_pending && self.start_attempts > 0 {
            self.phase = RunPhase::Started;
            self.started_at = now;
        }
        self.progress.record(listed.percent, now);
        if !listed.checkpoint.is_empty() {
            self.latest_checkpoint.clone_from(&listed.checkpoint);
        }
    }

    /// Records a reply to, or a timeout of, an order for this run.
    pub(crate) fn handle_order_reply(&mut self, now: Millis) {
        self.in_flight_orders = self.in_flight_orders.saturating_sub(1);
        self.last_reply_at = now;
    }

    /// Handles the reply to a start that was valid until `deadline_ms` on the worker's clock.
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
            WorkerReply::Unhealthy | WorkerReply::Malformed => {
                self.give_up_start(self.start_attempts == 1, now)
            }
            // Handled by the scheduler, which removes the ended incarnation.
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
            // The run has completed or was stopped there; the next listing shows which.
            RefusalReason::Superseded => {
                self.phase = RunPhase::Started;
                self.start_valid_until = 0;
                StartOutcome::Resolved
            }
            // An earlier attempt that was not replied to may still take effect once there is capacity.
            RefusalReason::NoCapacity => {
                let is_only_attempt =
                    self.start_valid_until <= deadline_ms && self.start_attempts == 1;
                self.give_up_start(is_only_attempt, now)
            }
            // Handled by the scheduler, which gives up its role.
            RefusalReason::StaleToken => StartOutcome::Resolved,
        }
    }

    /// Gives up a refused run. If an earlier start may still take effect, the run is stopped first.
    fn give_up_start(&mut self, is_only_attempt: bool, now: Millis) -> StartOutcome {
        if is_only_attempt {
            return StartOutcome::NeverBegan;
        }
        self.next_stop_at = Some(now);
        StartOutcome::Resolved
    }

    /// Estimated remaining time in milliseconds, based on the client's estimate if there is one and little progress was
    /// made, and otherwise extrapolated from the progress.
    pub(crate) fn remaining_ms(&self, now: Millis) -> Millis {
        let elapsed_ms = now.saturating_sub(self.started_at);
        let percent = self.progress.percent.clamp(1, 100);
        if percent < MIN_RELIABLE_PERCENT && self.estimated_ms > 0 {
            return self.estimated_ms.saturating_sub(elapsed_ms);
        }
        elapsed_ms * (100 - percent) / percent
    }
}
