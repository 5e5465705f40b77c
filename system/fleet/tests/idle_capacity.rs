//! No task that could run stays idle beside idle workers, also long after failures, rejected starts and infeasible jobs.
//!
//! The fleet checks it at all times; the days here are longer than any ejection or backoff.
mod common;

use common::seeds;
use magpiegap_fleet::{Fault, Fleet, FleetSettings};
use magpiegap_protocol::{JobId, JobSpec, StepSpec};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// When the first jobs are submitted, in milliseconds.
const SUBMIT_MS: u64 = 3000;
/// End of a day, in milliseconds: twice the longest ejection after the last fault, and before the first jobs are removed.
const END_MS: u64 = 150_000;
/// The last faults begin before this time, in milliseconds.
const LAST_FAULT_MS: u64 = 80_000;
/// Time before and after the loss of a disk without other faults, in milliseconds.
const WIPE_PAUSE_MS: u64 = 11_000;
/// Number of days of each kind.
const SEEDS: u64 = 6;

/// Runs days with a number of workers, of which a share of the runs fails; `play` submits the jobs and injects the faults
/// of one. `holds` judges the fleet at the end of the day, beside its own checks.
fn run_days<T>(
    workers: usize,
    run_failure_percent: u64,
    play: impl Fn(&mut Fleet, &mut StdRng) -> T,
    holds: impl Fn(&Fleet, T) -> bool,
) {
    for seed in seeds(0, SEEDS) {
        let mut fleet = Fleet::new(FleetSettings {
            workers,
            run_failure_percent,
            seed,
            ..FleetSettings::default()
        });
        let mut random = StdRng::seed_from_u64(seed);
        let played = play(&mut fleet, &mut random);
        fleet.run_until(END_MS);
        let violations = fleet.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(holds(&fleet, played), "seed {seed}");
    }
}

fn job(step: StepSpec) -> JobSpec {
    Fleet::chain_of_steps(vec![step])
}

/// A long-running job, whose failing runs end after the given time.
fn long_running(cpu: u64, failing_after_ms: u64) -> JobSpec {
    JobSpec {
        long_running: true,
        ..job(Fleet::step(1, cpu, failing_after_ms))
    }
}

/// A job of one gang.
fn gang(count: u32, cpu: u64, duration_ms: u64) -> JobSpec {
    job(StepSpec {
        gang: true,
        ..Fleet::step(count, cpu, duration_ms)
    })
}

/// Sets the rack that holds the data of a job.
fn with_data_in(rack: Option<&str>, mut spec: JobSpec) -> JobSpec {
    for step in &mut spec.steps {
        step.affinity = rack.map(str::to_owned);
    }
    spec
}

/// Submits small jobs with data in a rack, if given, every 0.3 to 4 seconds until shortly before the end of the day.
fn submit_small_jobs(fleet: &mut Fleet, random: &mut StdRng, rack: Option<&str>) {
    let mut at = SUBMIT_MS + 1000;
    while at < END_MS - 20_000 {
        let duration_ms = random.gen_range(100..1500);
        let spec = with_data_in(rack, job(Fleet::step(1, 500, duration_ms)));
        fleet.submit_at(at, spec, None);
        at += random.gen_range(300..4000);
    }
}

/// Injects a fault. No other one comes shortly before or after the loss of a disk, so that no more disks are lost at a time
/// than are tolerated.
fn inject(fleet: &mut Fleet, fault: &Fault) {
    let is_wipe = matches!(fault, Fault::Wipe { .. });
    if is_wipe {
        fleet.run_until(fleet.now() + WIPE_PAUSE_MS);
    }
    fleet.inject(fault);
    if is_wipe {
        fleet.run_until(fleet.now() + WIPE_PAUSE_MS);
    }
}

fn is_finished(fleet: &Fleet, job: JobId) -> bool {
    !fleet.unfinished_jobs().contains(&job)
}

/// Guards against workers that failures of long-running tasks take out of use for good (review/5).
#[googletest::test]
fn failing_long_running_tasks_leave_workers_in_use() {
    let play = |fleet: &mut Fleet, random: &mut StdRng| {
        for number in 0..30 {
            let failing_after_ms = 6000 + number * random.gen_range(300..1500);
            let spec = long_running(250, failing_after_ms);
            fleet.submit_at(SUBMIT_MS + number * 50, spec, None);
        }
    };
    run_days(3, 60, play, |_, ()| true);
}

/// Guards against jobs that wait for a rack whose only worker has failed and holds a long run (review/6).
#[googletest::test]
fn jobs_with_data_on_worker_that_failed_run() {
    let play = |fleet: &mut Fleet, random: &mut StdRng| {
        let lasting = with_data_in(Some("r1"), long_running(500, 1000));
        fleet.submit_at(SUBMIT_MS, lasting, None);
        submit_small_jobs(fleet, random, Some("r1"));
        while fleet.now() < LAST_FAULT_MS {
            fleet.run_until(fleet.now() + random.gen_range(4000..20_000));
            fleet.inject(&Fault::WorkerErrors {
                worker: 1,
                duration_ms: random.gen_range(500..8000),
            });
        }
    };
    // Three workers are in two racks, of which the second has one.
    run_days(3, 0, play, |_, ()| true);
}

/// Guards against a job that no worker can start and that takes all workers out of use (review/4).
#[googletest::test]
fn jobs_beside_malformed_job_run() {
    let play = |fleet: &mut Fleet, random: &mut StdRng| {
        let malformed = fleet.submit_at(SUBMIT_MS, job(Fleet::step(12, 1000, 1000)), None);
        fleet.set_malformed(malformed);
        submit_small_jobs(fleet, random, None);
        malformed
    };
    run_days(6, 2, play, |fleet, malformed| {
        !is_finished(fleet, malformed) && fleet.runs_started(malformed) == 0
    });
}

/// Guards against a gang that fits nowhere and keeps idle workers from other jobs (review/8).
#[googletest::test]
fn jobs_beside_infeasible_gang_run() {
    let play = |fleet: &mut Fleet, random: &mut StdRng| {
        fleet.submit_at(SUBMIT_MS, job(Fleet::step(1, 8000, 100_000)), None);
        fleet.submit_at(SUBMIT_MS, job(Fleet::step(1, 500, 1000)), None);
        // Every third job, and so the gang, is of the most urgent priority.
        let gang = fleet.submit_at(SUBMIT_MS + 500, gang(5, 8000, 30_000), None);
        submit_small_jobs(fleet, random, None);
        gang
    };
    run_days(4, 2, play, |fleet, gang| !is_finished(fleet, gang));
}

/// All of it at once, with faults of the coordinators and workers.
#[googletest::test]
fn mixed_jobs_run_beside_faults() {
    let play = |fleet: &mut Fleet, random: &mut StdRng| {
        for number in 0..3 {
            let spec = long_running(500, random.gen_range(300..15_000));
            fleet.submit_at(SUBMIT_MS + number * 5000, spec, None);
        }
        let malformed = fleet.submit_at(SUBMIT_MS, job(Fleet::step(4, 1000, 1000)), None);
        fleet.set_malformed(malformed);
        fleet.submit_at(SUBMIT_MS + 4000, gang(7, 7000, 5000), None);
        submit_small_jobs(fleet, random, None);
        fleet.run_until(SUBMIT_MS);
        while fleet.now() < LAST_FAULT_MS {
            fleet.run_until(fleet.now() + random.gen_range(2000..15_000));
            let fault = match random.gen_bool(0.5) {
                true => Fault::WorkerErrors {
                    worker: random.gen_range(0..6),
                    duration_ms: random.gen_range(500..8000),
                },
                false => Fault::random(random, 3, 6),
            };
            inject(fleet, &fault);
        }
    };
    run_days(6, 10, play, |_, ()| true);
}
