//! Which tasks of a job may be started now.
use crate::{Job, StepState};
use magpiegap_protocol::{StepSpec, TaskId};

/// Tasks that are to be started: one alone, or all of a gang together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Startable {
    /// The first task.
    pub first: TaskId,
    /// How many tasks, counted on from the first.
    pub count: u32,
}

impl Startable {
    /// The tasks.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        (0..self.count).map(|offset| TaskId {
            index: self.first.index + offset,
            ..self.first
        })
    }
}

/// The tasks of a job whose turn has come and that have no run going on.
pub fn startable(job: &Job) -> Vec<Startable> {
    let mut found = Vec::new();
    if job.phase.is_terminal() {
        return found;
    }
    for (&occurrence, state) in &job.occurrences {
        for (position, step) in state.steps.iter().enumerate() {
            let Some(spec) = job.submission.spec.steps.get(position) else {
                continue;
            };
            let ready = spec
                .depends_on
                .iter()
                .all(|&i| state.steps.get(i as usize).is_some_and(StepState::is_done));
            if ready && !step.is_done() {
                let first = TaskId {
                    job: job.submission.job,
                    occurrence,
                    step: position as u32,
                    index: 0,
                };
                push_step(&mut found, first, spec, step);
            }
        }
    }
    found
}

fn push_step(found: &mut Vec<Startable>, first: TaskId, spec: &StepSpec, step: &StepState) {
    if spec.gang {
        if step.tasks.iter().all(|task| task.active.is_empty()) {
            found.push(Startable {
                first,
                count: step.tasks.len() as u32,
            });
        }
        return;
    }
    for (index, task) in step.tasks.iter().enumerate() {
        if !task.done && task.active.is_empty() {
            found.push(Startable {
                first: TaskId {
                    index: index as u32,
                    ..first
                },
                count: 1,
            });
        }
    }
}
