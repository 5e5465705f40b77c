//! Under random faults, no accepted job is lost, run twice or reported as unknown.
mod common;

use common::seeds;
use magpiegap_fleet::{Fault, Fleet, FleetSettings};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// Number of workers and rate of jobs.
#[derive(Clone, Copy)]
struct Load {
    workers: usize,
    jobs: u64,
    /// Interval between job submissions, in milliseconds.
    job_interval_ms: u64,
}

const SMALL: Load = Load {
    workers: 6,
    jobs: 60,
    job_interval_ms: 300,
};
/// More workers than users expect to need in two years, and 50 jobs per second with several tasks each.
const LARGE: Load = Load {
    workers: 600,
    jobs: 900,
    job_interval_ms: 20,
};

/// Time for which the fleet keeps running after all jobs have ended, in milliseconds.
const COOL_DOWN_MS: u64 = 3000;

/// Runs a fleet with random faults; returns a description of each failure.
fn run_seed(seed: u64, nodes: usize, tolerance: usize, load: Load) -> Vec<String> {
    // Emulates busy coordinators, which handle many messages before they perform any output.
    let output_interval_ms = [0, 0, 15, 60][seed as usize % 4];
    let settings = FleetSettings {
        nodes,
        tolerance,
        run_failure_percent: 5,
        enforces_capacity: seed % 8 < 4,
        workers: load.workers,
        output_interval_ms,
        seed,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::new(settings);
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    submit_jobs(&mut fleet, &mut random, load);
    fleet.run_until(3000);
    let injected = inject_faults(&mut fleet, &mut random, nodes, load.workers);
    fleet.run_until(34_000);
    fleet.run_until_done(90_000);
    // Gives the runs of jobs cancelled last time to end.
    fleet.run_until(fleet.now() + COOL_DOWN_MS);
    let mut failures = find_failures(&fleet);
    if !failures.is_empty() {
        failures.extend(fleet.describe());
        failures.push(format!("seed {seed}, faults: {injected:#?}"));
    }
    failures
}

fn submit_jobs(fleet: &mut Fleet, random: &mut StdRng, load: Load) {
    for number in 0..load.jobs {
        let at = 3000 + number * load.job_interval_ms;
        let job = fleet.random_job(random, at);
        let cancel_at = random
            .gen_bool(0.1)
            .then(|| at + random.gen_range(100..3000));
        // A long-running job ends only when it is cancelled.
        let ends_at = job
            .long_running
            .then(|| at + random.gen_range(8000..20_000));
        fleet.submit_at(at, job, cancel_at.or(ends_at));
    }
}

/// Injects random faults, and returns them with their times.
fn inject_faults(
    fleet: &mut Fleet,
    random: &mut StdRng,
    nodes: usize,
    workers: usize,
) -> Vec<String> {
    let mut injected = Vec::new();
    while fleet.now() < 22_000 {
        let fault = Fault::random(random, nodes, workers);
        let is_wipe = matches!(fault, Fault::Wipe { .. });
        if is_wipe {
            // Lets all other nodes recover and catch up, so that no more nodes are lost at a time than are tolerated.
            fleet.run_until(fleet.now() + 9_000);
        }
        injected.push(format!("{} {fault:?}", fleet.now()));
        fleet.inject(&fault);
        let pause_ms = if is_wipe {
            11_000
        } else {
            random.gen_range(300..4000)
        };
        fleet.run_until(fleet.now() + pause_ms);
    }
    injected
}

/// Describes violations, unfinished jobs, and the loss of the newest acknowledged configuration.
fn find_failures(fleet: &Fleet) -> Vec<String> {
    let mut failures: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.description))
        .collect();
    let unfinished = fleet.unfinished_jobs();
    if !unfinished.is_empty() {
        failures.push(format!(
            "{} jobs have not ended: {unfinished:?}",
            unfinished.len()
        ));
        failures.extend(unfinished.iter().map(|job| fleet.describe_job(*job)));
    }
    let acknowledged = fleet.acknowledged_configuration();
    let is_lost = fleet
        .configurations()
        .iter()
        .all(|version| *version < acknowledged);
    if is_lost {
        failures.push(format!(
            "acknowledged configuration {acknowledged} was lost"
        ));
    }
    failures
}

/// Runs a range of seeds.
fn run_seeds(first: u64, count: u64, nodes: usize, tolerance: usize, load: Load) {
    for seed in seeds(first, count) {
        let failures = run_seed(seed, nodes, tolerance, load);
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    }
}

#[googletest::test]
fn invariants_hold_with_three_coordinators() {
    run_seeds(0, 150, 3, 1, SMALL);
}

#[googletest::test]
fn invariants_hold_with_five_coordinators() {
    run_seeds(1_000_000, 60, 5, 2, SMALL);
}

#[googletest::test]
fn invariants_hold_with_600_workers() {
    run_seeds(2_000_000, 3, 5, 2, LARGE);
}
