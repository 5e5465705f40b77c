//! The work of the demo's jobs, and how it is written into a job's text for the stand-in workers.
use magpiegap_protocol::{Resources, TaskId};
use serde_json::{json, Value};

/// Megabytes for each task.
pub const MEMORY_MB: u64 = 100;

/// The work of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWork {
    /// Tasks of the step.
    pub count: u32,
    /// Thousandths of a core for each task.
    pub cpu: u64,
    /// How long each task takes, in milliseconds.
    pub duration_ms: u64,
    /// Whether the tasks work only together.
    pub gang: bool,
}

/// The work of one task, as a worker reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskWork {
    /// What the task takes up.
    pub resources: Resources,
    /// How long it takes, in milliseconds.
    pub duration_ms: u64,
}

impl TaskWork {
    /// Reads the work of a task from the text of its job; `None`: the text is of no such job.
    pub fn parse(text: &str, task: &TaskId) -> Option<TaskWork> {
        let line = text.lines().nth(task.step as usize)?;
        let (cpu, duration_ms) = line.split_once(' ')?;
        Some(TaskWork {
            resources: Resources {
                cpu: cpu.parse().ok()?,
                memory_mb: MEMORY_MB,
                gpu: 0,
            },
            duration_ms: duration_ms.parse().ok()?,
        })
    }
}

/// Returns the text of a job: a line for each step.
pub fn to_text(steps: &[StepWork]) -> String {
    let lines: Vec<String> = steps
        .iter()
        .map(|step| format!("{} {}", step.cpu, step.duration_ms))
        .collect();
    lines.join("\n")
}

/// Returns the body that submits a job; each step depends on the one before.
pub fn to_body(steps: &[StepWork]) -> Value {
    let steps_body: Vec<Value> = steps.iter().enumerate().map(step_body).collect();
    json!({ "spec": to_text(steps), "steps": steps_body })
}

fn step_body((position, step): (usize, &StepWork)) -> Value {
    let mut body = json!({
        "count": step.count,
        "cpu": step.cpu,
        "memMb": MEMORY_MB,
        "estimatedMs": step.duration_ms,
    });
    if step.gang {
        body["gang"] = true.into();
    }
    if let Some(before) = position.checked_sub(1) {
        body["dependsOn"] = json!([before]);
    }
    body
}
