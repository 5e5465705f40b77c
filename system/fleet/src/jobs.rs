//! Jobs for stories.
use crate::fleet::Fleet;
use magpiegap_protocol::{JobSpec, Resources, StepSpec};

/// A step of a job in a fleet.
fn plain_step(count: u32, cpu: u64, duration_ms: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources { cpu, memory_mb: 100, gpu: 0 },
        estimated_ms: duration_ms,
        ..StepSpec::default()
    }
}

impl Fleet {
    /// A job of some steps, each after the one before.
    pub fn chain_of_steps(steps: &[(u32, u64, u64)]) -> JobSpec {
        let step = |(position, (count, cpu, duration_ms)): (usize, &(u32, u64, u64))| StepSpec {
            depends_on: position.checked_sub(1).map(|before| before as u32).into_iter().collect(),
            ..plain_step(*count, *cpu, *duration_ms)
        };
        JobSpec {
            spec: "work".to_owned(),
            steps: steps.iter().enumerate().map(step).collect(),
            ..JobSpec::default()
        }
    }
}
