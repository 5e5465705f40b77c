//! Which tasks of a job may be started now, by its dependencies and active runs. Capacity is not considered.
use crate::{Job, StepState};
use magpiegap_protocol::{StepSpec, TaskId};

/// Tasks to be started: a single one, or all of a gang together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartableUnit {
    /// The first task.
    pub first: TaskId,
    /// Number of tasks; they have consecutive indexes.
    pub count: u32,
}

impl StartableUnit {
    /// The tasks, in the order of their indexes.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        (0..self.count).map(|offset| TaskId {
            index: self.first.index + offset,
            ..self.first
        })
    }
}

/// The tasks of a job whose step is ready and that are neither done nor active, by occurrence, step and index.
pub fn startable_units(job: &Job) -> Vec<StartableUnit> {
    let mut found = Vec::new();
    if job.phase.is_terminal() {
        return found;
    }
    for (&occurrence, state) in &job.occurrences {
        for (position, step) in state.steps.iter().enumerate() {
            let Some(spec) = job.submission.spec.steps.get(position) else {
                continue;
            };
            if step.is_done() || !is_ready(spec, &state.steps) {
                continue;
            }
            let first = TaskId {
                job: job.submission.job,
                occurrence,
                step: position as u32,
                index: 0,
            };
            push_step(&mut found, first, spec, step);
        }
    }
    found
}

/// Whether all steps that a step depends on are done.
fn is_ready(spec: &StepSpec, steps: &[StepState]) -> bool {
    spec.depends_on.iter().all(|position| {
        let dependency = steps.get(*position as usize);
        dependency.is_some_and(StepState::is_done)
    })
}

fn push_step(found: &mut Vec<StartableUnit>, first: TaskId, spec: &StepSpec, step: &StepState) {
    if spec.gang {
        if step.tasks.iter().all(|task| task.active_runs.is_empty()) {
            found.push(StartableUnit {
                first,
                count: step.tasks.len() as u32,
            });
        }
        return;
    }
    for (index, task) in step.tasks.iter().enumerate() {
        if !task.done && task.active_runs.is_empty() {
            found.push(StartableUnit {
                first: TaskId {
                    index: index as u32,
                    ..first
                },
                count: 1,
            });
        }
    }
}
