//! Tasks whose turn has come, in the order in which they are placed.
use magpiegap_jobs::{startable, Job, Startable};
use magpiegap_protocol::{JobId, Millis, TaskId, WallMillis};
use std::collections::{BTreeMap, HashMap};

/// Who goes first: the lower priority number, then who is due earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub priority: u32,
    pub due_ms: WallMillis,
    pub task: TaskId,
}

/// A task or gang that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Waiting {
    pub unit: Startable,
    /// Since when it waits.
    pub since: Millis,
}

/// All that waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Urgency, Waiting>,
    of_job: HashMap<JobId, Vec<Urgency>>,
}

/// When a task of a job should be done so that the job earns its worth.
pub(crate) fn due_ms(job: &Job, time: u32) -> WallMillis {
    let submission = &job.submission;
    let begin = submission.spec.due_ms(time).unwrap_or(submission.submitted_ms);
    let work = submission.spec.longest_chain_ms() as f64 * submission.stretch;
    begin.saturating_add(work as u64).saturating_add(submission.target_latency_ms)
}

pub(crate) fn urgency(job: &Job, task: TaskId) -> Urgency {
    Urgency { priority: job.submission.priority, due_ms: due_ms(job, task.time), task }
}

impl Queue {
    /// Takes up what a job has waiting now; `passed_over` are tasks that are being placed.
    pub fn refresh(&mut self, job: &Job, now: Millis, passed_over: impl Fn(&TaskId) -> bool) {
        let id = job.submission.job;
        let old = self.remove(id);
        let mut keys = Vec::new();
        for unit in startable(job) {
            if unit.tasks().any(|task| passed_over(&task)) {
                continue;
            }
            let key = urgency(job, unit.first);
            let since = old.get(&key).map_or(now, |waiting| waiting.since);
            self.waiting.insert(key, Waiting { unit, since });
            keys.push(key);
        }
        if !keys.is_empty() {
            self.of_job.insert(id, keys);
        }
    }

    /// Drops all that a job has waiting.
    pub fn remove(&mut self, job: JobId) -> BTreeMap<Urgency, Waiting> {
        let keys = self.of_job.remove(&job).unwrap_or_default();
        keys.into_iter().filter_map(|key| Some((key, self.waiting.remove(&key)?))).collect()
    }

    /// Takes one out that was placed.
    pub fn take(&mut self, key: &Urgency) {
        self.waiting.remove(key);
        if let Some(keys) = self.of_job.get_mut(&key.task.job) {
            keys.retain(|other| other != key);
        }
    }

    /// All that waits, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (&Urgency, &Waiting)> {
        self.waiting.iter()
    }

    /// The most urgent.
    pub fn first(&self) -> Option<&Urgency> {
        self.waiting.keys().next()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
