//! Whether the parts of a state fit together: what is kept twice, for speed, must be the same in both places.
use crate::{Job, State};
use magpiegap_protocol::{JobId, RunId, TaskId};
use std::{collections::BTreeMap, fmt};

/// Two parts of a state that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inconsistency {
    /// The number of a queue's jobs that have not ended is another one than is kept.
    OpenJobs {
        /// The queue.
        queue: String,
        /// As kept.
        kept: u64,
        /// As counted.
        counted: u64,
    },
    /// A worker's record has a run that its task does not have.
    RunWithoutTask {
        /// The worker's life.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// A task has a run that the worker's record does not have.
    RunWithoutWorker {
        /// The worker's life.
        incarnation: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// The number of tasks of a step that are done is another one than is kept.
    DoneTasks {
        /// The job.
        job: JobId,
        /// Which time of it.
        occurrence: u32,
        /// Which of its steps.
        step: usize,
    },
    /// A time is open that has not fallen due, or more are done than have.
    Times {
        /// The job.
        job: JobId,
    },
    /// The configuration in force can't be read, or has another version than is kept.
    Configuration,
}

impl fmt::Display for Inconsistency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Inconsistency::OpenJobs {
                queue,
                kept,
                counted,
            } => {
                write!(
                    f,
                    "queue {queue}: {kept} open jobs are kept, {counted} are there"
                )
            }
            Inconsistency::RunWithoutTask {
                incarnation,
                task,
                run,
            } => {
                write!(
                    f,
                    "run {run} of {task} is on record for {incarnation}, and not for the task"
                )
            }
            Inconsistency::RunWithoutWorker {
                incarnation,
                task,
                run,
            } => {
                write!(
                    f,
                    "run {run} of {task} is on record for the task, and not for {incarnation}"
                )
            }
            Inconsistency::DoneTasks {
                job,
                occurrence,
                step,
            } => {
                write!(f, "job {job}, time {occurrence}, step {step}: the count of its done tasks is wrong")
            }
            Inconsistency::Times { job } => write!(f, "job {job}: its times do not fit together"),
            Inconsistency::Configuration => {
                write!(f, "the configuration does not have the version kept")
            }
        }
    }
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
        let configuration = &self.configuration;
        let version = crate::Configuration::parse(&configuration.body).map(|parsed| parsed.version);
        if configuration.version > 0 && version.ok() != Some(configuration.version) {
            found.push(Inconsistency::Configuration);
        }
        found
    }

    fn check_open_jobs(&self, found: &mut Vec<Inconsistency>) {
        let mut counted: BTreeMap<&str, u64> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_terminal()) {
            *counted.entry(&job.submission.queue).or_default() += 1;
        }
        let queues = self
            .open_jobs
            .keys()
            .map(String::as_str)
            .chain(counted.keys().copied());
        let queues: std::collections::BTreeSet<&str> = queues.collect();
        for queue in queues {
            let kept = self.open_jobs.get(queue).copied().unwrap_or(0);
            let counted = counted.get(queue).copied().unwrap_or(0);
            if kept != counted {
                found.push(Inconsistency::OpenJobs {
                    queue: queue.to_owned(),
                    kept,
                    counted,
                });
            }
        }
    }

    fn check_workers(&self, found: &mut Vec<Inconsistency>) {
        for (incarnation, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
                let on_record = |state: &crate::TaskState| {
                    state
                        .active
                        .iter()
                        .any(|active| active.run == *run && active.incarnation == *incarnation)
                };
                if !state.is_some_and(on_record) {
                    let incarnation = incarnation.clone();
                    found.push(Inconsistency::RunWithoutTask {
                        incarnation,
                        task: *task,
                        run: *run,
                    });
                }
            }
        }
    }

    fn check_job(&self, id: JobId, job: &Job, found: &mut Vec<Inconsistency>) {
        let due = job
            .occurrences
            .keys()
            .all(|occurrence| *occurrence < job.next_occurrence);
        if !due || job.occurrences_done > job.next_occurrence {
            found.push(Inconsistency::Times { job: id });
        }
        for (occurrence, steps) in &job.occurrences {
            for (position, step) in steps.steps.iter().enumerate() {
                if step.done as usize != step.tasks.iter().filter(|task| task.done).count() {
                    found.push(Inconsistency::DoneTasks {
                        job: id,
                        occurrence: *occurrence,
                        step: position,
                    });
                }
                for (index, task) in step.tasks.iter().enumerate() {
                    let name = TaskId {
                        job: id,
                        occurrence: *occurrence,
                        step: position as u32,
                        index: index as u32,
                    };
                    self.check_runs(name, task, found);
                }
            }
        }
    }

    fn check_runs(&self, task: TaskId, state: &crate::TaskState, found: &mut Vec<Inconsistency>) {
        for active in &state.active {
            let worker = self.workers.get(&active.incarnation);
            if worker.and_then(|worker| worker.runs.get(&task)) != Some(&active.run) {
                let (incarnation, run) = (active.incarnation.clone(), active.run);
                found.push(Inconsistency::RunWithoutWorker {
                    incarnation,
                    task,
                    run,
                });
            }
        }
    }
}
