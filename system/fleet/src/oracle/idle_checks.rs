//! Checks that tasks that could run do: how long they have been idle, and what is known of them.
use super::Oracle;
use crate::worker::checkpoint_owner;
use magpiegap_protocol::{JobId, StepSpec, TaskId};

/// Time for which a task that could run may be idle, in milliseconds (the rule LOST of jobs).
const MAX_IDLE_MS: u64 = 3000;
/// Additional time for a long-running task, from the end of its last run, in milliseconds.
const LONG_RUNNING_GRACE_MS: u64 = 6000;

/// A task that could run and does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleTask {
    pub task: TaskId,
    pub long_running: bool,
}

impl IdleTask {
    fn max_idle_ms(&self) -> u64 {
        if self.long_running {
            MAX_IDLE_MS + LONG_RUNNING_GRACE_MS
        } else {
            MAX_IDLE_MS
        }
    }

    /// What is idle: the task, or its job as a whole.
    fn key(&self) -> TaskId {
        if self.long_running {
            return self.task;
        }
        TaskId {
            job: self.task.job,
            occurrence: 0,
            step: 0,
            index: 0,
        }
    }
}

impl Oracle {
    /// Takes the tasks that are idle now, and reports those that have been idle for too long, each job once.
    pub(crate) fn check_idle_tasks(&mut self, now: u64, idle: &[IdleTask]) {
        let before = std::mem::take(&mut self.idle_since);
        for idle_task in idle {
            let key = idle_task.key();
            let since = before.get(&key).copied().unwrap_or(now);
            self.idle_since.insert(key, since);
            let is_overdue = now > since + idle_task.max_idle_ms();
            if is_overdue && self.reported_idle.insert(idle_task.task.job) {
                let description = format!(
                    "{} is idle for {} ms although there is capacity for it",
                    idle_task.task,
                    now - since
                );
                self.report(now, description);
            }
        }
    }

    /// Whether any task of a job runs.
    pub(crate) fn runs_any_task_of(&self, job: JobId) -> bool {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let tasks = self.running.range(first..);
        tasks
            .take_while(|(task, _)| task.job == job)
            .any(|(_, runs)| !runs.is_empty())
    }

    /// Whether all tasks of the step that begins with a task have run successfully.
    pub(crate) fn is_step_done(&self, first: TaskId, step: &StepSpec) -> bool {
        (0..step.count).all(|index| {
            let task = TaskId { index, ..first };
            self.done.contains_key(&checkpoint_owner(task, step))
        })
    }

    /// Whether a task runs or has run successfully.
    pub(crate) fn is_done_or_running(&self, task: TaskId, step: &StepSpec) -> bool {
        let is_running = self.running.get(&task).is_some_and(|runs| !runs.is_empty());
        is_running || self.done.contains_key(&checkpoint_owner(task, step))
    }

    /// Number of tasks of a task's step that run on a worker.
    pub(crate) fn running_siblings(&self, task: TaskId, incarnation: &str) -> u64 {
        let siblings = self.running.range(task.siblings());
        let runs = siblings.flat_map(|(_, runs)| runs);
        runs.filter(|run| run.incarnation == incarnation).count() as u64
    }
}
