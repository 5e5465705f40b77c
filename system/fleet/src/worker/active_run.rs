//! A run in progress on a worker, with its timing and progress.
use super::run_events::{first_task_of_step, Work};
use magpiegap_protocol::{CompletionKind, Resources, RunId, TaskId};

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
    run: RunId,
    resources: Resources,
    started_at: u64,
    /// `u64::MAX` until the gang is complete.
    finishes_at: u64,
    kind: CompletionKind,
    /// The progress of the checkpoint that the run started from, in percent.
    saved_percent: u64,
    /// Whether it writes checkpoints.
    checkpoints: bool,
    gang: Option<Gang>,
}

/// The state of a gang, as seen by one member.
#[derive(Clone, Copy, Debug)]
struct Gang {
    duration_ms: u64,
    /// When the complete gang started work.
    working_since: Option<u64>,
}

impl ActiveRun {
    /// Creates a run that starts now from a checkpoint, or from the beginning if the checkpoint is empty.
    pub(super) fn new(now: u64, run: RunId, checkpoint: &str, work: &Work) -> ActiveRun {
        let saved_percent = checkpoint
            .rsplit_once('@')
            .and_then(|(_, percent)| percent.parse().ok())
            .unwrap_or(0);
        let gang = work.gang.then_some(Gang {
            duration_ms: work.duration_ms,
            working_since: None,
        });
        let finishes_at = match gang {
            Some(_) => u64::MAX,
            None => now + remaining_ms(work.duration_ms, saved_percent),
        };
        ActiveRun {
            run,
            resources: work.resources,
            started_at: now,
            finishes_at,
            kind: work.kind,
            saved_percent,
            checkpoints: work.checkpoints,
            gang,
        }
    }

    /// Delays the run, as if it had made no progress for this time.
    pub(super) fn delay(&mut self, by_ms: u64) {
        if self.finishes_at != u64::MAX {
            self.started_at += by_ms;
            self.finishes_at += by_ms;
        }
    }

    pub(super) fn run(&self) -> RunId {
        self.run
    }

    pub(super) fn resources(&self) -> Resources {
        self.resources
    }

    pub(super) fn started_at(&self) -> u64 {
        self.started_at
    }

    /// How the run ends if it is not interrupted.
    pub(super) fn kind(&self) -> CompletionKind {
        self.kind
    }

    pub(super) fn is_finished(&self, now: u64) -> bool {
        now >= self.finishes_at
    }

    pub(super) fn is_gang_member(&self) -> bool {
        self.gang.is_some()
    }

    pub(super) fn is_gang_working(&self) -> bool {
        self.gang.is_some_and(|gang| gang.working_since.is_some())
    }

    /// Starts the work of a gang member.
    pub(super) fn begin_gang_work(&mut self, now: u64) {
        let Some(gang) = self.gang.as_mut() else {
            return;
        };
        gang.working_since = Some(now);
        self.started_at = now;
        self.finishes_at = now + remaining_ms(gang.duration_ms, self.saved_percent);
    }

    /// Progress of the task, in percent.
    pub(super) fn percent(&self, now: u64) -> u64 {
        if self.finishes_at == u64::MAX {
            return self.saved_percent;
        }
        let total_ms = self.finishes_at.saturating_sub(self.started_at).max(1);
        let elapsed_ms = now.saturating_sub(self.started_at).min(total_ms);
        let remaining_percent = 100 - self.saved_percent;
        (self.saved_percent + remaining_percent * elapsed_ms / total_ms).min(99)
    }

    /// The current checkpoint: the task that owns it and its progress. Empty if there is none.
    pub(super) fn checkpoint(&self, now: u64, task: TaskId) -> String {
        let percent = self.percent(now);
        if !self.checkpoints || percent == 0 {
            return String::new();
        }
        let owner = if self.is_gang_member() {
            first_task_of_step(task)
        } else {
            task
        };
        format!("{owner}@{percent}")
    }
}

/// Remaining duration of a task, in milliseconds.
fn remaining_ms(duration_ms: u64, saved_percent: u64) -> u64 {
    duration_ms * (100 - saved_percent) / 100
}
