//! The queue of startable tasks, in placement order.
use crate::forecast::{deadline_ms, DeadlineForecast, LatestStarts};
use magpiegap_jobs::{startable_units, Job, StartableUnit};
use magpiegap_protocol::{JobId, Millis, TaskId, WallMillis};
use std::collections::{BTreeMap, HashMap};

/// The most urgent priority. Only its tasks may preempt: for others, stopping and restarting runs costs more than it
/// gains.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// The order of the queue: by priority number, then by deadline forecast, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub priority: u32,
    pub forecast: DeadlineForecast,
    pub deadline_ms: WallMillis,
    pub task: TaskId,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Queued {
    pub unit: StartableUnit,
    pub queued_at: Millis,
    /// The latest start times that determine its forecast.
    latest_start: LatestStarts,
}

/// The queued tasks and gangs of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    queued: BTreeMap<Urgency, Queued>,
    by_job: HashMap<JobId, Vec<Urgency>>,
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
    /// Replaces the queued units of a job by those that are startable now, except tasks that are being placed.
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
            let key = urgency(job, unit.first_task, wall);
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
            self.by_job.insert(id, keys);
        }
    }

    /// Removes and returns all queued units of a job.
    pub(crate) fn remove(&mut self, job: JobId) -> BTreeMap<Urgency, Queued> {
        let keys = self.by_job.remove(&job).unwrap_or_default();
        keys.into_iter()
            .filter_map(|key| Some((key, self.queued.remove(&key)?)))
            .collect()
    }

    /// Removes a unit that was placed.
    pub(crate) fn take(&mut self, key: &Urgency) {
        self.queued.remove(key);
        if let Some(keys) = self.by_job.get_mut(&key.task.job) {
            keys.retain(|other| other != key);
        }
    }

    /// Iterates over all queued units, most urgent first.
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

    /// The most urgent queued unit.
    pub(crate) fn first(&self) -> Option<&Urgency> {
        self.queued.keys().next()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
