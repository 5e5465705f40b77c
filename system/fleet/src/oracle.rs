//! What must never happen, whatever the faults.
use crate::worker::Deed;
use magpiegap_protocol::{EndKind, JobId, JobPhase, RunId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    pub what: String,
}

/// An accepted job must be known everywhere after this time.
const VISIBLE_MS: u64 = 3000;

/// Watches what workers and clients see.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// What goes on where.
    running: BTreeMap<TaskId, BTreeSet<(String, RunId)>>,
    done: BTreeSet<TaskId>,
    failures: BTreeMap<TaskId, u32>,
    /// Jobs that a client was told to be kept.
    pub accepted: BTreeMap<JobId, u64>,
    /// Jobs that a client has asked for at least once, kept or not.
    pub asked: BTreeSet<JobId>,
    pub violations: Vec<Violation>,
}

impl Oracle {
    pub fn report(&mut self, at: u64, what: String) {
        self.violations.push(Violation { at, what });
    }

    /// A worker has done something.
    pub fn deed(&mut self, at: u64, instance: &str, deed: &Deed, max_attempts: u32) {
        match deed {
            Deed::Started { task, run } => self.started(at, instance, *task, *run, max_attempts),
            Deed::Ended { task, run, how } => {
                if let Some(places) = self.running.get_mut(task) {
                    places.remove(&(instance.to_owned(), *run));
                }
                match how {
                    EndKind::Done => {
                        self.done.insert(*task);
                    }
                    EndKind::Failed => *self.failures.entry(*task).or_default() += 1,
                    _ => {}
                }
            }
            Deed::Noted { .. } => {}
        }
    }

    fn started(&mut self, at: u64, instance: &str, task: TaskId, run: RunId, max_attempts: u32) {
        if !self.asked.contains(&task.job) {
            self.report(at, format!("{task} was started, and no client asked for it"));
        }
        if self.failures.get(&task).is_some_and(|failures| *failures >= max_attempts) {
            self.report(at, format!("{task} was started after its last attempt had failed"));
        }
        let places = self.running.entry(task).or_default();
        if let Some((other, other_run)) = places.iter().next() {
            let what = format!("{task} run {run} on {instance} beside run {other_run} on {other}");
            self.violations.push(Violation { at, what });
        }
        self.running.entry(task).or_default().insert((instance.to_owned(), run));
    }

    /// A worker's life is over, and all that it ran.
    pub fn life_over(&mut self, instance: &str) {
        for places in self.running.values_mut() {
            places.retain(|(other, _)| other != instance);
        }
    }

    /// A client was shown a job's state.
    pub fn shown(&mut self, at: u64, job: JobId, phase: Option<JobPhase>, tasks: &[TaskId]) {
        match phase {
            // A coordinator that was replaced a moment ago may not know it yet.
            None if self.accepted.get(&job).is_some_and(|since| at > since + VISIBLE_MS) => {
                self.report(at, format!("job {job} was accepted and isn't known"));
            }
            Some(JobPhase::Succeeded) => {
                if let Some(task) = tasks.iter().find(|task| !self.done.contains(task)) {
                    self.report(at, format!("job {job} is shown as succeeded, and {task} has not ended so"));
                }
            }
            _ => {}
        }
    }
}
