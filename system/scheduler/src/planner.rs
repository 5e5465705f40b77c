//! Owns the queue of a service and what decides which of its tasks run where.
//!
//! Planning rounds, submissions, placement and preemption are implemented in a module each.
use crate::{
    backfill::Backfill,
    locality::Locality,
    nominations::Nominations,
    planning_schedule::PlanningSchedule,
    queue::Queue,
    start_backoff::{RejectedBy, StartBackoff},
    worker::Workers,
};
use magpiegap_protocol::{JobId, Millis, TaskId};
use rand::{rngs::StdRng, SeedableRng};
use std::collections::HashMap;

/// Owns the queue of a service and decides which of its tasks run where.
#[derive(Clone, Debug)]
pub(crate) struct Planner {
    pub queue: Queue,
    pub nominations: Nominations,
    pub backfill: Backfill,
    pub schedule: PlanningSchedule,
    /// The incarnations of all workers, as of the last check.
    pub worker_names: Vec<String>,
    pub locality: Locality,
    /// The jobs whose starts workers reject as invalid.
    pub start_backoff: StartBackoff,
    /// The workers on which each task has failed.
    pub failed_on: HashMap<TaskId, Vec<String>>,
    pub random: StdRng,
    /// Number of queued units examined so far, by rounds and by refreshes of the queue.
    pub examined_units: u64,
}

impl Planner {
    /// Creates a planner; `remote_factor` is the slowdown of tasks away from their data and `seed` seeds random
    /// choices.
    pub(crate) fn new(now: Millis, remote_factor: f64, seed: u64) -> Planner {
        Planner {
            queue: Queue::default(),
            nominations: Nominations::default(),
            backfill: Backfill::default(),
            schedule: PlanningSchedule::new(now),
            worker_names: Vec::new(),
            locality: Locality::new(remote_factor),
            start_backoff: StartBackoff::default(),
            failed_on: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            examined_units: 0,
        }
    }

    /// Requests a planning round as soon as one is allowed.
    pub(crate) fn request_round(&mut self) {
        self.schedule.request_round();
    }

    /// Refreshes the list of worker incarnations if it has changed.
    pub(crate) fn refresh_worker_names(&mut self, workers: &Workers) {
        if !workers.keys().eq(self.worker_names.iter()) {
            self.worker_names = workers.keys().cloned().collect();
        }
    }

    /// Removes the planning state of a job that the log has removed.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.queue.remove(job);
        self.start_backoff.end(job);
        self.failed_on.retain(|task, _| task.job != job);
    }

    /// Records that a task has failed on a worker. Returns whether it has failed on another worker before.
    pub(crate) fn record_failure(&mut self, task: TaskId, incarnation: &str) -> bool {
        let failed_on = self.failed_on.entry(task).or_default();
        let failed_elsewhere = failed_on.iter().any(|other| other != incarnation);
        if !failed_on.iter().any(|other| other == incarnation) {
            failed_on.push(incarnation.to_owned());
        }
        failed_elsewhere
    }

    /// Records that a worker has rejected the start of a task as invalid.
    pub(crate) fn record_rejected_start(
        &mut self,
        task: TaskId,
        incarnation: &str,
        now: Millis,
    ) -> RejectedBy {
        self.record_failure(task, incarnation);
        let random = &mut self.random;
        self.start_backoff
            .record_rejection(task.job, incarnation, now, random)
    }

    /// Records that a start of a job has succeeded.
    pub(crate) fn record_successful_start(&mut self, job: JobId) {
        if self.start_backoff.end(job) {
            self.request_round();
        }
    }
}
