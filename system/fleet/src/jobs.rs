//! Jobs for stories.
use crate::fleet::Fleet;
use magpiegap_protocol::{JobSpec, Resources, StepSpec};
use rand::{rngs::StdRng, Rng};

/// Most steps of a job of any kind.
const MOST_STEPS: usize = 4;

/// A step of a job in a fleet.
fn plain_step(count: u32, cpu: u64, duration_ms: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu,
            memory_mb: 100,
            gpu: 0,
        },
        estimated_ms: duration_ms,
        ..StepSpec::default()
    }
}

impl Fleet {
    /// A job of some steps, each after the one before.
    pub fn chain_of_steps(steps: &[(u32, u64, u64)]) -> JobSpec {
        let step = |(position, (count, cpu, duration_ms)): (usize, &(u32, u64, u64))| StepSpec {
            depends_on: position
                .checked_sub(1)
                .map(|before| before as u32)
                .into_iter()
                .collect(),
            ..plain_step(*count, *cpu, *duration_ms)
        };
        JobSpec {
            spec: "work".to_owned(),
            steps: steps.iter().enumerate().map(step).collect(),
            ..JobSpec::default()
        }
    }

    /// A job with steps of any kind: gangs, labels, limits for each worker, racks, checkpoints, copies, several times,
    /// or one that lasts until it is cancelled. Clients hand it in at this simulated time.
    pub fn any_job(&self, random: &mut StdRng, at: u64) -> JobSpec {
        let count = random.gen_range(1..MOST_STEPS);
        let mut job = JobSpec {
            spec: "work".to_owned(),
            ..JobSpec::default()
        };
        for position in 0..count {
            let mut step = any_step(random);
            step.depends_on = (0..position as u32)
                .filter(|_| random.gen_bool(0.6))
                .collect();
            job.steps.push(step);
        }
        match random.gen_range(0..10) {
            0 => {
                job.repeat_count = random.gen_range(1..4);
                job.start_at_ms = self.wall() - self.now() + at + random.gen_range(0..4000);
                job.interval_ms = random.gen_range(200..3000);
            }
            1 => {
                job.long_running = true;
                job.steps.truncate(1);
                job.steps.iter_mut().for_each(|step| step.gang = false);
            }
            _ => {}
        }
        job
    }
}

fn any_step(random: &mut StdRng) -> StepSpec {
    let (count, cpu) = (random.gen_range(1..5), random.gen_range(500..4000));
    let mut step = plain_step(count, cpu, random.gen_range(100..1500));
    step.checkpoints = random.gen_bool(0.4);
    match random.gen_range(0..7) {
        0 => step.requirements = vec!["b".to_owned()],
        1 => step.anti_affinity = random.gen_range(1..3),
        2 => step.affinity = Some("r1".to_owned()),
        3 => step.allow_duplicate = true,
        4 => step.rack_local = true,
        _ => {}
    }
    // Four members of a third of a worker each find room beside others.
    step.gang = !step.allow_duplicate && random.gen_bool(0.2);
    if step.gang {
        step.resources.cpu = step.resources.cpu.min(2500);
        step.anti_affinity = 0;
    }
    step
}
