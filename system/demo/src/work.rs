//! The work of the demo's jobs, and its encoding in a job's specification text for the emulated workers.
use magpiegap_protocol::{Resources, TaskId};
use serde_json::{json, Value};

/// Memory of each task, in megabytes.
pub const MEMORY_MB: u64 = 100;

/// The work of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWork {
    /// Number of tasks.
    pub count: u32,
    /// CPU of each task, in thousandths of a core.
    pub cpu: u64,
    /// Duration of each task, in milliseconds.
    pub duration_ms: u64,
    /// Whether the tasks form a gang.
    pub gang: bool,
}

/// The work of one task, as parsed by a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskWork {
    /// The resources that the task occupies.
    pub resources: Resources,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
}

impl TaskWork {
    /// Parses the work of a task from its job's text; `None` if the text does not describe the task.
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

/// Returns the specification text of a job: one line per step.
pub fn job_text(steps: &[StepWork]) -> String {
    let lines: Vec<String> = steps
        .iter()
        .map(|step| format!("{} {}", step.cpu, step.duration_ms))
        .collect();
    lines.join("\n")
}

/// Returns the request body that submits a job, in which each step depends on the previous one.
pub fn job_body(steps: &[StepWork]) -> Value {
    let steps_body: Vec<Value> = steps.iter().enumerate().map(step_body).collect();
    json!({ "spec": job_text(steps), "steps": steps_body })
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
