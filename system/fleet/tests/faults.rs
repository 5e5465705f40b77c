//! No job is lost, run twice or denied, whatever faults are injected.
use magpiegap_fleet::{Fault, Fleet, FleetSettings};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// Size of a fleet and its load.
#[derive(Clone, Copy)]
struct Size {
    workers: usize,
    jobs: u64,
    /// Time between two jobs, in milliseconds.
    every_ms: u64,
}

const SMALL: Size = Size {
    workers: 6,
    jobs: 60,
    every_ms: 300,
};
/// More workers than the users name for two years from now, and 50 jobs a second of some tasks each.
const LARGE: Size = Size {
    workers: 600,
    jobs: 900,
    every_ms: 20,
};

/// How long a fleet is watched once all jobs are shown as ended, in milliseconds.
const AFTERWARDS_MS: u64 = 3000;

/// Runs a fleet with faults drawn from a seed; returns what went wrong.
fn run_seed(seed: u64, nodes: usize, tolerance: usize, size: Size) -> Vec<String> {
    // Some fleets are busy: their coordinators take many messages in before they carry out any output.
    let output_interval_ms = [0, 0, 15, 60][seed as usize % 4];
    let settings = FleetSettings {
        nodes,
        tolerance,
        failing_percent: 5,
        guards: seed % 8 < 4,
        workers: size.workers,
        output_interval_ms,
        seed,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::new(settings);
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    submit_jobs(&mut fleet, &mut random, size);
    fleet.run_until(3000);
    let injected = inject_faults(&mut fleet, &mut random, nodes, size.workers);
    fleet.run_until(34_000);
    fleet.run_until_done(90_000);
    // What was cancelled last has ended by then.
    fleet.run_until(fleet.now() + AFTERWARDS_MS);
    let mut wrong = find_wrong(&fleet);
    if !wrong.is_empty() {
        wrong.extend(fleet.describe());
        wrong.push(format!("seed {seed}, faults: {injected:#?}"));
    }
    wrong
}

fn submit_jobs(fleet: &mut Fleet, random: &mut StdRng, size: Size) {
    for number in 0..size.jobs {
        let at = 3000 + number * size.every_ms;
        let job = fleet.random_job(random, at);
        let cancel_at = random
            .gen_bool(0.1)
            .then(|| at + random.gen_range(100..3000));
        // A long-running job goes on until it is cancelled.
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
            // No more machines are lost at a time than the deployment bears: all others are there and caught up.
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

/// Violations, jobs that have not ended, and an acknowledged configuration that is lost.
fn find_wrong(fleet: &Fleet) -> Vec<String> {
    let mut wrong: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.what))
        .collect();
    let open = fleet.unfinished_jobs();
    if !open.is_empty() {
        wrong.push(format!("{} jobs have not ended: {open:?}", open.len()));
        wrong.extend(open.iter().map(|job| fleet.describe_job(*job)));
    }
    let acknowledged = fleet.acknowledged_configuration();
    let is_lost = fleet
        .configurations()
        .iter()
        .all(|version| *version < acknowledged);
    if is_lost {
        wrong.push(format!(
            "configuration {acknowledged} was acknowledged and is gone"
        ));
    }
    wrong
}

/// Runs some seeds; `FLEET_SEEDS` in the environment asks for more or fewer, `FLEET_FIRST` for others.
fn run_seeds(first: u64, count: u64, nodes: usize, tolerance: usize, size: Size) {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("FLEET_FIRST").unwrap_or(first);
    for seed in first..first + number("FLEET_SEEDS").unwrap_or(count) {
        let wrong = run_seed(seed, nodes, tolerance, size);
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    }
}

#[googletest::test]
fn given_three_coordinators_when_faults_are_injected_then_every_invariant_holds() {
    run_seeds(0, 150, 3, 1, SMALL);
}

#[googletest::test]
fn given_five_coordinators_when_faults_are_injected_then_every_invariant_holds() {
    run_seeds(1_000_000, 60, 5, 2, SMALL);
}

#[googletest::test]
fn given_600_workers_and_five_coordinators_when_faults_are_injected_then_every_invariant_holds() {
    run_seeds(2_000_000, 3, 5, 2, LARGE);
}
