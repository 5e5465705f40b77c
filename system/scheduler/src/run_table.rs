//! Tracks the workers of a service with their runs, and which workers need orders or a lease renewal.
//!
//! Shared by the modules of the scheduler; it sends and proposes nothing itself.
use crate::{
    lease_schedule::LeaseSchedule,
    run::Run,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, TaskId};
use std::collections::{BTreeSet, HashSet};

/// The workers and runs of a service.
#[derive(Clone, Debug)]
pub(crate) struct RunTable {
    pub workers: Workers,
    pub lease_schedule: LeaseSchedule,
    /// Tasks with a run that is proposed and not yet in the log.
    proposed: HashSet<TaskId>,
    /// Workers that may have start or stop orders due.
    workers_with_orders: BTreeSet<String>,
}

impl RunTable {
    pub(crate) fn new(now: Millis) -> RunTable {
        RunTable {
            workers: Workers::new(),
            lease_schedule: LeaseSchedule::new(now),
            proposed: HashSet::new(),
            workers_with_orders: BTreeSet::new(),
        }
    }

    /// Adds a run that is being proposed, which allocates its capacity.
    pub(crate) fn add_proposed(&mut self, incarnation: &str, task: TaskId, run: Run) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        worker.add_run(task, run);
        self.proposed.insert(task);
        self.lease_schedule.mark_updated(incarnation);
    }

    /// Records that the log has accepted or refused the run proposed for a task.
    pub(crate) fn resolve_proposal(&mut self, task: &TaskId) {
        self.proposed.remove(task);
    }

    /// Whether a task has a proposed run that is not yet in the log.
    pub(crate) fn is_proposed(&self, task: &TaskId) -> bool {
        self.proposed.contains(task)
    }

    /// Marks a worker that may have start or stop orders due.
    pub(crate) fn mark_order_due(&mut self, incarnation: &str) {
        self.workers_with_orders.insert(incarnation.to_owned());
    }

    /// Returns the workers that were marked since the last call.
    pub(crate) fn take_workers_with_orders(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.workers_with_orders)
    }

    /// Returns the incarnations of the workers whose lease renewal is due.
    pub(crate) fn take_due_renewals(&mut self, now: Millis) -> Vec<String> {
        self.lease_schedule.take_due(&self.workers, now)
    }

    /// Clears proposed runs and marked workers, before the replicated state is read again.
    pub(crate) fn clear_pending(&mut self) {
        self.proposed.clear();
        self.workers_with_orders.clear();
    }

    pub(crate) fn unresponsive_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| worker.is_unresponsive()).count()
    }

    /// Whether a worker may be ejected on evidence that may lie with the jobs: at most half of the listed workers are
    /// ejected then.
    pub(crate) fn allows_ejection(&self, incarnation: &str, now: Millis) -> bool {
        let listed = self.workers.values().filter(|worker| worker.listed);
        let (mut total, mut others_ejected) = (0, 0);
        for worker in listed {
            total += 1;
            let is_other = worker.entry.incarnation != incarnation;
            others_ejected += usize::from(is_other && !worker.health.is_schedulable(now));
        }
        2 * (others_ejected + 1) <= total
    }

    /// Number of workers that have runs.
    pub(crate) fn busy_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| !worker.runs.is_empty()).count()
    }

    pub(crate) fn runs(&self) -> usize {
        let workers = self.workers.values();
        workers.map(|worker: &Worker| worker.runs.len()).sum()
    }
}
