//! The queue of tasks that may be started, in the order in which they are placed.
use crate::forecast::{deadline_ms, DeadlineForecast, LatestStarts};
use magpiegap_jobs::{startable_units, Job, StartableUnit};
use magpiegap_protocol::{JobId, Millis, TaskId, WallMillis};
use std::collections::{BTreeMap, HashMap};

/// Tasks of this priority are urgent: for others, stopping and starting again costs more than it gains.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// The order of the queue: the lower priority number, then who can still be on time, then the earlier deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub priority: u32,
    pub forecast: DeadlineForecast,
    pub deadline_ms: WallMillis,
    pub task: TaskId,
}

/// A queued task or gang.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Queued {
    pub unit: StartableUnit,
    /// When it was queued.
    pub queued_at: Millis,
    /// Until when it may begin.
    latest_start: LatestStarts,
}

/// All queued tasks and gangs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    queued: BTreeMap<Urgency, Queued>,
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
    /// Queues what may be started of a job now, but for tasks that are being placed (`is_being_placed`).
    pub(crate) fn refresh(
        &mut self,
        job: &Job,
        now: Millis,
        wall: WallMillis,
        is_being_placed: impl Fn(&TaskId) -> bool,
    ) {
        let id = job.submission.job;
        let old = self.remove(id);
        let mut keys = Vec::new();
        for unit in startable_units(job) {
            if unit.tasks().any(|task| is_being_placed(&task)) {
                continue;
            }
            let key = urgency(job, unit.first, wall);
            let known = old.iter().find(|(other, _)| other.task == key.task);
            let queued_at = known.map_or(now, |(_, queued)| queued.queued_at);
            let latest_start = LatestStarts::of(job, &key.task);
            self.queued.insert(
                key,
                Queued {
                    unit,
                    queued_at,
                    latest_start,
                },
            );
            keys.push(key);
        }
        if !keys.is_empty() {
            self.of_job.insert(id, keys);
        }
    }

    /// Drops all that is queued of a job, and returns it.
    pub(crate) fn remove(&mut self, job: JobId) -> BTreeMap<Urgency, Queued> {
        let keys = self.of_job.remove(&job).unwrap_or_default();
        keys.into_iter()
            .filter_map(|key| Some((key, self.queued.remove(&key)?)))
            .collect()
    }

    /// Takes out one that was placed.
    pub(crate) fn take(&mut self, key: &Urgency) {
        self.queued.remove(key);
        if let Some(keys) = self.of_job.get_mut(&key.task.job) {
            keys.retain(|other| other != key);
        }
    }

    /// All that is queued, most urgent first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Urgency, &Queued)> {
        self.queued.iter()
    }

    /// The jobs whose forecast has changed since they were queued.
    pub(crate) fn outdated(&self, wall: WallMillis) -> Vec<JobId> {
        let changed = |(key, queued): &(&Urgency, &Queued)| {
            queued.latest_start.forecast(wall) != key.forecast
        };
        let mut changed: Vec<JobId> = self
            .queued
            .iter()
            .filter(changed)
            .map(|(key, _)| key.task.job)
            .collect();
        changed.dedup();
        changed
    }

    /// The most urgent.
    pub(crate) fn first(&self) -> Option<&Urgency> {
        self.queued.keys().next()
    }

    /// How many are queued.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
