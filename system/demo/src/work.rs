//! What the demo's jobs consist of, and how that is written into a job's text for the stand-in workers.
use magpiegap_protocol::{Resources, TaskId};

/// What one task of a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWork {
    /// Tasks of the step.
    pub count: u32,
    /// Thousandths of a core for each task.
    pub cpu: u64,
    /// How long each task takes, in milliseconds.
    pub duration_ms: u64,
    /// The tasks work only together.
    pub gang: bool,
}

/// Megabytes for each task.
pub const MEMORY_MB: u64 = 100;

/// The job's text: a line for each step.
pub fn to_text(steps: &[StepWork]) -> String {
    let lines: Vec<String> = steps
        .iter()
        .map(|step| format!("{} {}", step.cpu, step.duration_ms))
        .collect();
    lines.join("\n")
}

/// What a task asks for and how long it takes, by the text of its job; `None`: the text is of no such job.
pub fn of_task(text: &str, task: &TaskId) -> Option<(Resources, u64)> {
    let line = text.lines().nth(task.step as usize)?;
    let (cpu, duration) = line.split_once(' ')?;
    let resources = Resources {
        cpu: cpu.parse().ok()?,
        memory_mb: MEMORY_MB,
        gpu: 0,
    };
    Some((resources, duration.parse().ok()?))
}

/// The body that hands a job in; each step waits for the one before.
pub fn to_body(steps: &[StepWork]) -> serde_json::Value {
    let step = |(position, step): (usize, &StepWork)| {
        let mut body = serde_json::json!({
            "count": step.count,
            "cpu": step.cpu,
            "memMb": MEMORY_MB,
            "estimatedMs": step.duration_ms,
        });
        if step.gang {
            body["gang"] = true.into();
        }
        if let Some(before) = position.checked_sub(1) {
            body["dependsOn"] = serde_json::json!([before]);
        }
        body
    };
    let steps_body: Vec<serde_json::Value> = steps.iter().enumerate().map(step).collect();
    serde_json::json!({ "spec": to_text(steps), "steps": steps_body })
}
