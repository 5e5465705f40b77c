//! The queue of startable tasks, in placement order.
use crate::forecast::{DeadlineForecast, JobDeadlines, LatestStarts};
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
    by_job: HashMap<JobId, HashMap<TaskId, Urgency>>,
}

impl JobDeadlines<'_> {
    /// The urgency of a task at the wall-clock time `wall`.
    pub(crate) fn urgency(&self, task: TaskId, wall: WallMillis) -> Urgency {
        self.urgency_with(task, self.latest_starts(&task).forecast(wall))
    }

    fn urgency_with(&self, task: TaskId, forecast: DeadlineForecast) -> Urgency {
        Urgency {
            priority: self.job.submission.priority,
            forecast,
            deadline_ms: self.deadline(task.occurrence),
            task,
        }
    }
}

impl Queue {
    /// Updates the queued units of a job to those that are startable now, except tasks that are being placed. Units that
    /// stay queued keep their time in the queue. Returns the number of units that were examined.
    pub(crate) fn refresh(
        &mut self,
        job: &Job,
        now: Millis,
        wall: WallMillis,
        is_being_placed: impl Fn(&TaskId) -> bool,
    ) -> usize {
        let id = job.submission.job;
        let deadlines = JobDeadlines::of(job);
        let mut old = self.by_job.remove(&id).unwrap_or_default();
        let mut keys = HashMap::with_capacity(old.len());
        let units = startable_units(job);
        let examined = units.len();
        for unit in units {
            if unit.tasks().any(|task| is_being_placed(&task)) {
                continue;
            }
            let task = unit.first_task;
            let latest_start = deadlines.latest_starts(&task);
            let key = deadlines.urgency_with(task, latest_start.forecast(wall));
            keys.insert(task, key);
            let old_key = old.remove(&task);
            if old_key == Some(key) {
                continue;
            }
            let known = old_key.and_then(|old_key| self.queued.remove(&old_key));
            let queued = Queued {
                unit,
                queued_at: known.map_or(now, |known| known.queued_at),
                latest_start,
            };
            self.queued.insert(key, queued);
        }
        for key in old.values() {
            self.queued.remove(key);
        }
        if !keys.is_empty() {
            self.by_job.insert(id, keys);
        }
        examined
    }

    /// Removes all queued units of a job.
    pub(crate) fn remove(&mut self, job: JobId) {
        for key in self.by_job.remove(&job).unwrap_or_default().values() {
            self.queued.remove(key);
        }
    }

    /// Removes a unit that was placed.
    pub(crate) fn take(&mut self, key: &Urgency) {
        self.queued.remove(key);
        if let Some(keys) = self.by_job.get_mut(&key.task.job) {
            keys.remove(&key.task);
        }
    }

    /// Number of queued units of a job.
    pub(crate) fn len_of(&self, job: JobId) -> usize {
        self.by_job.get(&job).map_or(0, HashMap::len)
    }

    /// Whether the unit that begins with a task is queued.
    pub(crate) fn contains(&self, first: &TaskId) -> bool {
        self.by_job
            .get(&first.job)
            .is_some_and(|keys| keys.contains_key(first))
    }

    /// Removes a task that was started otherwise than by a placement from the queue.
    pub(crate) fn remove_started(&mut self, task: &TaskId) {
        let key = self.by_job.get(&task.job).and_then(|keys| keys.get(task));
        if let Some(key) = key.copied() {
            self.take(&key);
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
