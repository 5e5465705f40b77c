//! Tasks whose turn has come, in the order in which they are placed.
use crate::forecast::{deadline_ms, DeadlineForecast, LatestStarts};
use magpiegap_jobs::{startable, Job, Startable};
use magpiegap_protocol::{JobId, Millis, TaskId, WallMillis};
use std::collections::{BTreeMap, HashMap};

/// Tasks of this priority are urgent: for others, stopping and starting again costs more than it gains.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// Who goes first: the lower priority number, then who can still be in time, then who is due earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub priority: u32,
    pub forecast: DeadlineForecast,
    pub deadline_ms: WallMillis,
    pub task: TaskId,
}

/// A task or gang that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Waiting {
    pub unit: Startable,
    /// Since when it waits.
    pub since: Millis,
    /// Until when it may begin.
    latest: LatestStarts,
}

/// All that waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Urgency, Waiting>,
    of_job: HashMap<JobId, Vec<Urgency>>,
}

pub(crate) fn urgency(job: &Job, task: TaskId, wall: WallMillis) -> Urgency {
    Urgency {
        priority: job.submission.priority,
        forecast: LatestStarts::of(job, &task).forecast(wall),
        deadline_ms: deadline_ms(job, task.occurrence),
        task,
    }
}

impl Queue {
    /// Takes up what a job has waiting now; `passed_over` are tasks that are being placed.
    pub(crate) fn refresh(
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
            let latest = LatestStarts::of(job, &key.task);
            self.waiting.insert(
                key,
                Waiting {
                    unit,
                    since,
                    latest,
                },
            );
            keys.push(key);
        }
        if !keys.is_empty() {
            self.of_job.insert(id, keys);
        }
    }

    /// Drops all that a job has waiting.
    pub(crate) fn remove(&mut self, job: JobId) -> BTreeMap<Urgency, Waiting> {
        let keys = self.of_job.remove(&job).unwrap_or_default();
        keys.into_iter()
            .filter_map(|key| Some((key, self.waiting.remove(&key)?)))
            .collect()
    }

    /// Takes one out that was placed.
    pub(crate) fn take(&mut self, key: &Urgency) {
        self.waiting.remove(key);
        if let Some(keys) = self.of_job.get_mut(&key.task.job) {
            keys.retain(|other| other != key);
        }
    }

    /// All that waits, most urgent first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Urgency, &Waiting)> {
        self.waiting.iter()
    }

    /// The jobs whose outlook has changed since they were taken up.
    pub(crate) fn outdated(&self, wall: WallMillis) -> Vec<JobId> {
        let changed =
            |(key, waiting): &(&Urgency, &Waiting)| waiting.latest.forecast(wall) != key.forecast;
        let mut changed: Vec<JobId> = self
            .waiting
            .iter()
            .filter(changed)
            .map(|(key, _)| key.task.job)
            .collect();
        changed.dedup();
        changed
    }

    /// The most urgent.
    pub(crate) fn first(&self) -> Option<&Urgency> {
        self.waiting.keys().next()
    }

    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
