//! Checks that the parts of a state agree: what is stored twice, for speed, must be the same in both places.
//!
//! Nothing is repaired here.
use crate::{Configuration, Job, State, StepState, TaskState};
use magpiegap_protocol::{JobId, RunId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Two parts of a state that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Inconsistency {
    /// The stored number of a queue's open jobs is wrong.
    #[error("queue {queue}: {recorded} open jobs are kept, {counted} are there")]
    OpenJobs {
        /// Name of the queue.
        queue: String,
        /// The stored number.
        recorded: u64,
        /// The number of jobs that have not ended.
        counted: u64,
    },
    /// A worker's record has a run that its task does not have.
    #[error("run {run} of {task} is on record for {incarnation}, and not for the task")]
    RunWithoutTask {
        /// The worker's incarnation.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// A task has a run that the worker's record does not have.
    #[error("run {run} of {task} is on record for the task, and not for {incarnation}")]
    RunWithoutWorker {
        /// The worker's incarnation.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// The stored number of a step's done tasks is wrong.
    #[error("job {job}, time {occurrence}, step {step}: the count of its done tasks is wrong")]
    DoneTasks {
        /// The job.
        job: JobId,
        /// Number of the occurrence.
        occurrence: u32,
        /// Position of the step.
        step: usize,
    },
    /// An occurrence is open before its turn, or more are done than were opened.
    #[error("job {job}: its times do not fit together")]
    Occurrences {
        /// The job.
        job: JobId,
    },
    /// The current configuration can't be read, or has another version than the stored one.
    #[error("the configuration does not have the version kept")]
    Configuration,
}

impl State {
    /// All contradictions. There are none in a state that came about by applying entries.
    pub fn inconsistencies(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        self.check_open_jobs(&mut found);
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
        let are_opened = job
            .occurrences
            .keys()
            .all(|occurrence| *occurrence < job.next_occurrence);
        if !are_opened || job.occurrences_done > job.next_occurrence {
            found.push(Inconsistency::Occurrences { job: id });
        }
        for (occurrence, state) in &job.occurrences {
            for (position, step) in state.steps.iter().enumerate() {
                let first = TaskId {
                    job: id,
                    occurrence: *occurrence,
                    step: position as u32,
                    index: 0,
                };
                self.check_step(first, step, found);
            }
        }
    }

    /// Checks a step, of which `first` is the first task.
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
