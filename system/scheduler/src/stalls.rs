//! Detects runs that make no progress and stops them, so that they are restarted elsewhere.
//!
//! Workers list progress in whole percents, and how long a percent should take is known only from the client's estimate,
//! which may be missing or wrong. A stall therefore counts for little by itself: the limit doubles with each further run
//! of a task, so that a task that is slower than estimated is moved a few times at most, and a worker is ejected only
//! after runs of several jobs that have not stalled elsewhere, and while most workers are not ejected.
use crate::{
    calls::Output,
    run::{Run, RunPhase},
    scheduler::Scheduler,
};
use magpiegap_protocol::{Millis, TaskId};

/// Maximum duration of a long poll to a worker with a run that makes no progress.
pub(crate) const STALLED_LONG_POLL_MS: Millis = 150;
/// Minimum limit of the time without progress.
const MIN_STALL_LIMIT_MS: Millis = 300;
/// The limit for runs with long estimates, in addition to a twentieth of the estimate.
const LONG_RUN_STALL_LIMIT_MS: Millis = 1600;
/// The limit for runs without an estimate. A task of a quarter of an hour that progresses evenly is within it.
const UNESTIMATED_STALL_LIMIT_MS: Millis = 10_000;
/// The limit is at least this multiple of the slowest percent that the run has made.
const OWN_PACE_FACTOR: u64 = 3;
/// Maximum number of times that the limit is doubled.
const MAX_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// Stops runs that make no progress.
    pub(crate) fn stop_stuck_runs(&mut self, incarnation: &str, now: Millis) {
        let gang_timeout_ms = self.settings.gang_timeout_ms;
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        if worker.unanswered_renewals > 0 {
            return;
        }
        let mut stuck: Vec<TaskId> = Vec::new();
        for (task, run) in &mut worker.runs {
            if run.is_started_and_not_stopping() && is_stuck(run, gang_timeout_ms) {
                run.next_stop_at = Some(now);
                stuck.push(*task);
            }
        }
        if stuck.is_empty() {
            return;
        }
        self.table.mark_order_due(incarnation);
        self.outputs.push(Output::Log(format!(
            "stopping runs that make no progress runs={} worker={incarnation}",
            stuck.len()
        )));
        for task in stuck {
            self.suspect_worker(task, incarnation, now);
        }
    }

    /// Counts a stall against the worker, unless the task has stalled elsewhere too or too many workers are ejected.
    fn suspect_worker(&mut self, task: TaskId, incarnation: &str, now: Millis) {
        let failed_elsewhere = self.planner.record_failure(task, incarnation);
        if !failed_elsewhere && self.table.allows_ejection(incarnation, now) {
            self.record_worker_failure(task.job, incarnation, now);
        }
    }
}

/// Whether a run has made no progress for longer than expected since it started or last progressed.
pub(crate) fn lacks_progress(run: &Run, now: Millis) -> bool {
    let stalled_ms = now.saturating_sub(run.progress.since);
    let expected_ms = match run.estimated_ms {
        0 => UNESTIMATED_STALL_LIMIT_MS,
        estimated_ms => estimated_ms / 5,
    };
    run.phase == RunPhase::Started
        && !run.long_running
        && !run.gang
        && stalled_ms > STALLED_LONG_POLL_MS
        && stalled_ms > expected_ms
}

/// Whether successive listings have shown a run with the same progress for too long.
fn is_stuck(run: &Run, gang_timeout_ms: Millis) -> bool {
    let gang_wait_ms = if run.gang && run.progress.percent == 0 {
        gang_timeout_ms
    } else {
        0
    };
    !run.long_running
        && run.progress.percent < 100
        && run.progress.stalled_ms() > stall_limit_ms(run) + gang_wait_ms
}

/// The time without progress after which a run is considered stuck.
fn stall_limit_ms(run: &Run) -> Millis {
    let doublings = run.id.saturating_sub(1).min(MAX_DOUBLINGS);
    let by_estimate_ms = estimated_stall_limit_ms(run.estimated_ms).saturating_mul(1 << doublings);
    by_estimate_ms.max(OWN_PACE_FACTOR * run.progress.slowest_percent_ms)
}

/// The limit for the first run of a task.
fn estimated_stall_limit_ms(estimated_ms: Millis) -> Millis {
    if estimated_ms == 0 {
        return UNESTIMATED_STALL_LIMIT_MS;
    }
    // Even on a worker that is ten times too slow, progress should rise by one percent within a tenth of the estimate.
    (estimated_ms / 5)
        .min(LONG_RUN_STALL_LIMIT_MS + estimated_ms / 20)
        .max(MIN_STALL_LIMIT_MS)
}
