//! Job specifications for tests.
use super::{Fleet, RACKS};
use magpiegap_protocol::{JobSpec, Resources, StepSpec};
use rand::{rngs::StdRng, Rng};

/// Exclusive upper bound of the number of steps of a random job.
const MAX_STEPS: usize = 4;
/// Maximum CPU of a gang member, in thousandths of a core: about a third of a worker, so that a gang of four fits on
/// the workers together with other tasks.
const MAX_GANG_CPU: u64 = 2500;

impl Fleet {
    /// Creates a step of `count` tasks, each with `cpu` thousandths of a core and a duration in milliseconds.
    pub fn step(count: u32, cpu: u64, duration_ms: u64) -> StepSpec {
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

    /// Creates a job in which each step depends on the previous one.
    pub fn chain_of_steps(mut steps: Vec<StepSpec>) -> JobSpec {
        for (position, step) in steps.iter_mut().enumerate().skip(1) {
            step.depends_on = vec![position as u32 - 1];
        }
        JobSpec {
            spec: "work".to_owned(),
            steps,
            ..JobSpec::default()
        }
    }

    /// Draws a random job that is submitted at simulated time `at`. Its steps may use gangs, required labels,
    /// per-worker limits, rack affinity, checkpoints and duplicates; the job may be repeated, long-running, or both.
    pub fn random_job(&self, random: &mut StdRng, at: u64) -> JobSpec {
        let count = random.gen_range(1..MAX_STEPS);
        let mut job = JobSpec {
            spec: "work".to_owned(),
            ..JobSpec::default()
        };
        for position in 0..count {
            let mut step = random_step(random);
            step.depends_on = (0..position as u32)
                .filter(|_| random.gen_bool(0.6))
                .collect();
            job.steps.push(step);
        }
        match random.gen_range(0..10) {
            0 => self.make_repeated(&mut job, random, at),
            1 => make_long_running(&mut job),
            2 => {
                make_long_running(&mut job);
                self.make_repeated(&mut job, random, at);
            }
            _ => {}
        }
        job
    }

    /// Gives a job several occurrences, which overlap if its tasks take longer than the interval.
    fn make_repeated(&self, job: &mut JobSpec, random: &mut StdRng, at: u64) {
        job.repeat_count = random.gen_range(1..4);
        job.start_at_ms = self.wall() - self.now() + at + random.gen_range(0..4000);
        job.interval_ms = random.gen_range(50..2000);
    }
}

fn make_long_running(job: &mut JobSpec) {
    job.long_running = true;
    job.steps.truncate(1);
    job.steps.iter_mut().for_each(|step| step.gang = false);
}

fn random_step(random: &mut StdRng) -> StepSpec {
    let count = random.gen_range(1..5);
    let cpu = random.gen_range(500..4000);
    let duration_ms = random.gen_range(100..1500);
    let mut step = Fleet::step(count, cpu, duration_ms);
    step.checkpoints = random.gen_bool(0.4);
    match random.gen_range(0..7) {
        0 => step.requirements = vec!["b".to_owned()],
        1 => step.anti_affinity = random.gen_range(1..3),
        2 => step.affinity = Some(format!("r{}", RACKS - 1)),
        3 => step.allow_duplicate = true,
        4 => step.rack_local = true,
        _ => {}
    }
    step.gang = !step.allow_duplicate && random.gen_bool(0.2);
    if step.gang {
        step.resources.cpu = step.resources.cpu.min(MAX_GANG_CPU);
        step.anti_affinity = 0;
    }
    step
}
