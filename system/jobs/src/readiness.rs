//! Determines which tasks of a job can be started, based on dependencies and active runs. Capacity is not considered.
use crate::{Job, StepState};
use magpiegap_protocol::{StepSpec, TaskId};

/// Tasks that are started together: a single task, or all members of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartableUnit {
    /// The first task.
    pub first_task: TaskId,
    /// Number of tasks, whose indexes are consecutive.
    pub count: u32,
}

impl StartableUnit {
    /// Returns the tasks in index order.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        (0..self.count).map(|offset| TaskId {
            index: self.first_task.index + offset,
            ..self.first_task
        })
    }
}

/// Returns the startable units of a job, ordered by occurrence, step and index. Their steps have no unfinished
/// dependencies, and none of their tasks is done or has an active run.
pub fn startable_units(job: &Job) -> Vec<StartableUnit> {
    let mut units = Vec::new();
    if job.phase.is_terminal() {
        return units;
    }
    for (&occurrence, state) in &job.occurrences {
        for (step_index, step) in state.steps.iter().enumerate() {
            let Some(spec) = job.submission.spec.steps.get(step_index) else {
                continue;
            };
            if step.is_done() || !has_dependencies_done(spec, &state.steps) {
                continue;
            }
            let first_task = TaskId {
                job: job.submission.job,
                occurrence,
                step: step_index as u32,
                index: 0,
            };
            push_step_units(&mut units, first_task, spec, step);
        }
    }
    units
}

/// Returns whether all dependencies of a step are done.
fn has_dependencies_done(spec: &StepSpec, steps: &[StepState]) -> bool {
    spec.depends_on.iter().all(|step_index| {
        let dependency = steps.get(*step_index as usize);
        dependency.is_some_and(StepState::is_done)
    })
}

fn push_step_units(
    units: &mut Vec<StartableUnit>,
    first_task: TaskId,
    spec: &StepSpec,
    step: &StepState,
) {
    if spec.gang {
        if step.tasks.iter().all(|task| task.active_runs.is_empty()) {
            units.push(StartableUnit {
                first_task,
                count: step.tasks.len() as u32,
            });
        }
        return;
    }
    for (index, task) in step.tasks.iter().enumerate() {
        if !task.done && task.active_runs.is_empty() {
            units.push(StartableUnit {
                first_task: TaskId {
                    index: index as u32,
                    ..first_task
                },
                count: 1,
            });
        }
    }
}
