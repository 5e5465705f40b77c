//! Consistency checks of the state: denormalized records must agree with the records that they duplicate.
//!
//! The checks only report inconsistencies and do not repair them.
use crate::{service_jobs::ServiceJobs, Configuration, Job, State, StepState, TaskState};
use magpiegap_protocol::{JobId, RunId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Two parts of a state that do not agree.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Inconsistency {
    /// The recorded number of unfinished jobs of a queue is wrong.
    #[error("queue {queue}: {recorded} open jobs are kept, {counted} are there")]
    OpenJobs {
        /// The queue.
        queue: String,
        /// The recorded number.
        recorded: u64,
        /// The actual number of unfinished jobs.
        counted: u64,
    },
    /// The number of jobs of at least one service is wrong.
    #[error("the counts of jobs by service do not agree with the jobs")]
    ServiceJobs,
    /// A run is recorded for a worker but not for its task.
    #[error("run {run} of {task} is recorded for worker {incarnation}, but not for the task")]
    RunWithoutTask {
        /// The worker's incarnation.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// A run is recorded for a task but not for its worker.
    #[error("run {run} of {task} is recorded for the task, but not for worker {incarnation}")]
    RunWithoutWorker {
        /// The worker's incarnation.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// The recorded number of completed tasks of a step is wrong.
    #[error("job {job}, occurrence {occurrence}, step {step}: wrong count of completed tasks")]
    DoneTasks {
        /// The job.
        job: JobId,
        /// The occurrence number.
        occurrence: u32,
        /// The step index.
        step: usize,
    },
    /// An occurrence is present that has not been opened yet, or more have completed than were opened.
    #[error("job {job}: occurrences contradict the occurrence counters")]
    Occurrences {
        /// The job.
        job: JobId,
    },
    /// The current configuration is invalid, or its version differs from the recorded one.
    #[error("the stored configuration is invalid or does not have the recorded version")]
    Configuration,
}

impl State {
    /// Returns all inconsistencies. A state produced by applying log entries has none.
    pub fn inconsistencies(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        self.check_open_jobs(&mut found);
        if self.service_jobs != ServiceJobs::of(&self.jobs) {
            found.push(Inconsistency::ServiceJobs);
        }
        self.check_workers(&mut found);
        for (id, job) in &self.jobs {
            self.check_job(*id, job, &mut found);
        }
        self.check_configuration(&mut found);
        found
    }

    fn check_configuration(&self, found: &mut Vec<Inconsistency>) {
        let recorded = self.configuration.version;
        if recorded == 0 {
            return;
        }
        let parsed = Configuration::parse(&self.configuration.body);
        if !parsed.is_ok_and(|configuration| configuration.version == recorded) {
            found.push(Inconsistency::Configuration);
        }
    }

    fn check_open_jobs(&self, found: &mut Vec<Inconsistency>) {
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_terminal()) {
            *counts.entry(&job.submission.queue).or_default() += 1;
        }
        let recorded_queues = self.open_jobs.keys().map(String::as_str);
        let queues: BTreeSet<&str> = recorded_queues.chain(counts.keys().copied()).collect();
        for queue in queues {
            let recorded = self.open_jobs.get(queue).copied().unwrap_or(0);
            let counted = counts.get(queue).copied().unwrap_or(0);
            if recorded != counted {
                found.push(Inconsistency::OpenJobs {
                    queue: queue.to_owned(),
                    recorded,
                    counted,
                });
            }
        }
    }

    fn check_workers(&self, found: &mut Vec<Inconsistency>) {
        for (incarnation, worker) in &self.workers {
            for (task, run) in &worker.runs {
                if !self.task_has_run(task, *run, incarnation) {
                    found.push(Inconsistency::RunWithoutTask {
                        incarnation: incarnation.clone(),
                        task: *task,
                        run: *run,
                    });
                }
            }
        }
    }

    fn task_has_run(&self, task: &TaskId, run: RunId, incarnation: &str) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        state.is_some_and(|state| {
            state
                .active_runs
                .iter()
                .any(|active| active.run == run && active.incarnation == incarnation)
        })
    }

    fn check_job(&self, id: JobId, job: &Job, found: &mut Vec<Inconsistency>) {
        let all_opened = job
            .occurrences
            .keys()
            .all(|occurrence| *occurrence < job.next_occurrence);
        if !all_opened || job.occurrences_done > job.next_occurrence {
            found.push(Inconsistency::Occurrences { job: id });
        }
        for (occurrence, state) in &job.occurrences {
            for (step_index, step) in state.steps.iter().enumerate() {
                let first = TaskId {
                    job: id,
                    occurrence: *occurrence,
                    step: step_index as u32,
                    index: 0,
                };
                self.check_step(first, step, found);
            }
        }
    }

    /// Checks a step whose first task is `first`.
    fn check_step(&self, first: TaskId, step: &StepState, found: &mut Vec<Inconsistency>) {
        let counted = step.tasks.iter().filter(|task| task.done).count();
        if step.done as usize != counted {
            found.push(Inconsistency::DoneTasks {
                job: first.job,
                occurrence: first.occurrence,
                step: first.step as usize,
            });
        }
        for (index, state) in step.tasks.iter().enumerate() {
            let task = TaskId {
                index: index as u32,
                ..first
            };
            self.check_active_runs(task, state, found);
        }
    }

    fn check_active_runs(&self, task: TaskId, state: &TaskState, found: &mut Vec<Inconsistency>) {
        for active in &state.active_runs {
            let worker = self.workers.get(&active.incarnation);
            let recorded = worker.and_then(|worker| worker.runs.get(&task));
            if recorded != Some(&active.run) {
                found.push(Inconsistency::RunWithoutWorker {
                    incarnation: active.incarnation.clone(),
                    task,
                    run: active.run,
                });
            }
        }
    }
}
