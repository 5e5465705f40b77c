//! Finds tasks that could run and do not: nothing of their job runs, although workers have capacity for them twice over
//! and less than half of the service is in use.
//!
//! It looks at what workers run and what clients have been acknowledged, and at nothing that a scheduler knows.
use super::Fleet;
use crate::{oracle::IdleTask, worker::Worker};
use magpiegap_protocol::{JobSpec, StepSpec, TaskId};

/// Interval between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time after the due time of an occurrence from which it is checked, in milliseconds: the coordinators' median clock
/// may be off by several steps.
const OCCURRENCE_GRACE_MS: u64 = 5000;
/// The capacity must suffice for this many times the tasks.
const CAPACITY_FACTOR: u64 = 2;

impl Fleet {
    /// Checks that no task stays idle beside idle capacity, while no fault affects coordinators or leases.
    pub(super) fn check_idle_capacity(&mut self) {
        if !self.now.is_multiple_of(CHECK_INTERVAL_MS) {
            return;
        }
        let is_judged = self.now >= self.fault_free_since && self.is_mostly_idle();
        let idle = if is_judged {
            self.idle_tasks()
        } else {
            Vec::new()
        };
        self.oracle.check_idle_tasks(self.now, &idle);
    }

    /// Whether less than half of the service is in use.
    fn is_mostly_idle(&self) -> bool {
        let (mut total, mut free) = (0, 0);
        for worker in self.workers.iter().flatten() {
            total += worker.entry.capacity.cpu;
            free += worker.free_capacity().cpu;
        }
        2 * free > total
    }

    /// The workers that answer and run what they are given.
    fn sound_workers(&self) -> impl Iterator<Item = &Worker> {
        let is_sound = |number: &usize| {
            self.active_faults.worker_partition(*number).is_none()
                && !self.active_faults.is_worker_stalled(*number)
                && !self.active_faults.is_worker_failing(*number)
        };
        let workers = self.workers.iter().enumerate();
        workers
            .filter(move |(number, _)| is_sound(number))
            .filter_map(|(_, worker)| worker.as_ref())
    }

    /// The tasks that could run and do not: of an ordinary job its first one, if nothing of the job runs; of a
    /// long-running job each.
    fn idle_tasks(&self) -> Vec<IdleTask> {
        let mut idle = Vec::new();
        for client in &self.clients {
            let job = client.id();
            let is_outstanding = client.accepted
                && client.cancel_at.is_none_or(|at| self.now < at)
                && !client.is_finished()
                && !self.malformed_jobs.contains(&job);
            let Some(spec) = self.specs.get(&job).filter(|_| is_outstanding) else {
                continue;
            };
            if !spec.long_running && self.oracle.runs_any_task_of(job) {
                continue;
            }
            let waiting = client.tasks().into_iter().filter(|task| {
                let step = spec.steps.get(task.step as usize);
                step.is_some_and(|step| {
                    self.is_startable(spec, step, *task) && self.fits(step, *task)
                })
            });
            let limit = if spec.long_running { usize::MAX } else { 1 };
            idle.extend(waiting.take(limit).map(|task| IdleTask {
                task,
                long_running: spec.long_running,
            }));
        }
        idle
    }

    /// Whether the turn of a task has come, and it neither runs nor has run successfully.
    fn is_startable(&self, spec: &JobSpec, step: &StepSpec, task: TaskId) -> bool {
        let due = spec.scheduled_ms(task.occurrence);
        let is_due = due.is_none_or(|due| self.wall() >= due.saturating_add(OCCURRENCE_GRACE_MS));
        let dependencies = step.depends_on.iter();
        let are_dependencies_done = || {
            dependencies.clone().all(|position| {
                let dependency = spec.steps.get(*position as usize);
                dependency.is_none_or(|dependency| {
                    let first = TaskId {
                        step: *position,
                        index: 0,
                        ..task
                    };
                    self.oracle.is_step_done(first, dependency)
                })
            })
        };
        let is_first = !step.gang || task.index == 0;
        is_due && is_first && !self.oracle.is_done_or_running(task, step) && are_dependencies_done()
    }

    /// Whether the sound workers have capacity for a task, or for its gang, twice over.
    fn fits(&self, step: &StepSpec, task: TaskId) -> bool {
        let capacity: u64 = self
            .sound_workers()
            .filter(|worker| {
                let labels = &worker.entry.labels;
                step.requirements.iter().all(|label| labels.contains(label))
            })
            .map(|worker| self.capacity_for(step, task, worker))
            .sum();
        let required = if step.gang { u64::from(step.count) } else { 1 };
        capacity >= CAPACITY_FACTOR * required
    }

    /// Number of further tasks of a step that a worker can run.
    fn capacity_for(&self, step: &StepSpec, task: TaskId, worker: &Worker) -> u64 {
        let free = worker.free_capacity();
        let by_cpu = free.cpu / step.resources.cpu.max(1);
        let by_memory = free.memory_mb / step.resources.memory_mb.max(1);
        let fitting = by_cpu.min(by_memory);
        match step.anti_affinity {
            0 => fitting,
            max_siblings => {
                let running = self
                    .oracle
                    .running_siblings(task, &worker.entry.incarnation);
                fitting.min(u64::from(max_siblings).saturating_sub(running))
            }
        }
    }
}
