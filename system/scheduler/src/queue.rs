//! Tasks whose turn has come, in the order in which they are placed.
use magpiegap_jobs::{startable, Job, Startable};
use magpiegap_protocol::{JobId, Millis, TaskId, WallMillis};
use std::collections::{BTreeMap, HashMap};

/// Who goes first: the lower priority number, then who can still be in time, then who is due earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub priority: u32,
    pub outlook: Outlook,
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

/// What can still come of a job's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can be done in time.
    InTime,
    /// It can be done late, for a part of its worth.
    Late,
    /// It comes too late whatever is done.
    TooLate,
}

/// A job done within this many times its objective still earns a part of its worth.
const LATE_FACTOR: u64 = 3;

/// What can still come of a time of a job, when no more than its last steps are to be done.
fn outlook(job: &Job, task: TaskId, wall: WallMillis) -> Outlook {
    let due = due_ms(job, task.time);
    let begin = job.submission.spec.due_ms(task.time).unwrap_or(job.submission.submitted_ms);
    let objective = due.saturating_sub(begin);
    let step = job.submission.spec.steps.get(task.step as usize);
    let done_at = wall + step.map_or(0, |step| step.estimated_ms);
    if done_at <= due {
        Outlook::InTime
    } else if done_at <= begin.saturating_add(objective.saturating_mul(LATE_FACTOR)) {
        Outlook::Late
    } else {
        Outlook::TooLate
    }
}

pub(crate) fn urgency(job: &Job, task: TaskId, wall: WallMillis) -> Urgency {
    Urgency {
        priority: job.submission.priority,
        outlook: outlook(job, task, wall),
        due_ms: due_ms(job, task.time),
        task,
    }
}

impl Queue {
    /// Takes up what a job has waiting now; `passed_over` are tasks that are being placed.
    pub fn refresh(
        &mut self,
        job: &Job,
        now: Millis,
        wall: WallMillis,
        passed_over: impl Fn(&TaskId) -> bool,
    ) {
        let id = job.submission.job;
        let old = self.remove(id);
        let mut keys = Vec::new();
        for unit in startable(job) {
            if unit.tasks().any(|task| passed_over(&task)) {
                continue;
            }
            let key = urgency(job, unit.first, wall);
            let known = old.iter().find(|(other, _)| other.task == key.task);
            let since = known.map_or(now, |(_, waiting)| waiting.since);
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

    /// The jobs whose outlook has changed since they were taken up.
    pub fn outdated<'a>(&'a self, wall: WallMillis, jobs: &'a BTreeMap<JobId, Job>) -> Vec<JobId> {
        let changed = |key: &&Urgency| {
            jobs.get(&key.task.job).is_some_and(|job| outlook(job, key.task, wall) != key.outlook)
        };
        let mut changed: Vec<JobId> = self.waiting.keys().filter(changed).map(|key| key.task.job).collect();
        changed.dedup();
        changed
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
