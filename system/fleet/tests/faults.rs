//! Nothing is lost, done twice or denied, whatever goes wrong.
use magpiegap_fleet::{Fault, Fleet, FleetSettings};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// How much there is to do.
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

/// Plays a fleet with faults drawn by a seed; returns what went wrong.
fn play(seed: u64, nodes: usize, tolerance: usize, size: Size) -> Vec<String> {
    // Some fleets are busy: their coordinators take many messages in before they follow any of them up.
    let follow_up_ms = [0, 0, 15, 60][seed as usize % 4];
    let settings = FleetSettings {
        nodes,
        tolerance,
        failing_percent: 5,
        guards: seed % 8 < 4,
        workers: size.workers,
        follow_up_ms,
        seed,
        ..FleetSettings::default()
    };
    let workers = settings.workers;
    let mut fleet = Fleet::new(settings);
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    for number in 0..size.jobs {
        let at = 3000 + number * size.every_ms;
        let job = fleet.any_job(&mut random, at);
        let cancel_at = random
            .gen_bool(0.1)
            .then(|| at + random.gen_range(100..3000));
        // What lasts goes on until it is cancelled.
        let ends_at = job
            .long_running
            .then(|| at + random.gen_range(8000..20_000));
        fleet.submit_at(at, job, cancel_at.or(ends_at));
    }
    fleet.run_until(3000);
    let mut told = Vec::new();
    while fleet.now() < 22_000 {
        let fault = Fault::random(&mut random, nodes, workers);
        let wipe = matches!(fault, Fault::Wipe { .. });
        if wipe {
            // No more machines are lost at a time than the deployment bears: all others are there and caught up.
            fleet.run_until(fleet.now() + 9_000);
        }
        told.push(format!("{} {fault:?}", fleet.now()));
        fleet.strike(&fault);
        let pause = if wipe {
            11_000
        } else {
            random.gen_range(300..4000)
        };
        fleet.run_until(fleet.now() + pause);
    }
    fleet.run_until(34_000);
    fleet.run_until_done(90_000);
    let mut wrong: Vec<String> = fleet
        .violations()
        .iter()
        .map(|v| format!("{}: {}", v.at, v.what))
        .collect();
    let open = fleet.open_jobs();
    if !open.is_empty() {
        wrong.push(format!("{} jobs have not ended: {open:?}", open.len()));
        wrong.extend(open.iter().map(|job| fleet.describe_job(*job)));
    }
    let acknowledged = fleet.acknowledged_configuration();
    if fleet
        .configurations()
        .iter()
        .all(|version| *version < acknowledged)
    {
        wrong.push(format!(
            "configuration {acknowledged} was acknowledged and is gone"
        ));
    }
    if !wrong.is_empty() {
        wrong.extend(fleet.describe());
        wrong.push(format!("seed {seed}, faults: {told:#?}"));
    }
    wrong
}

/// Plays some seeds; `FLEET_SEEDS` in the environment asks for more or fewer, `FLEET_FIRST` for others.
fn play_all(first: u64, count: u64, nodes: usize, tolerance: usize, size: Size) {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("FLEET_FIRST").unwrap_or(first);
    for seed in first..first + number("FLEET_SEEDS").unwrap_or(count) {
        let wrong = play(seed, nodes, tolerance, size);
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    }
}

#[googletest::test]
fn given_three_coordinators_when_faults_strike_then_every_rule_holds() {
    play_all(0, 150, 3, 1, SMALL);
}

#[googletest::test]
fn given_five_coordinators_when_faults_strike_then_every_rule_holds() {
    play_all(1_000_000, 60, 5, 2, SMALL);
}

#[googletest::test]
fn given_600_workers_and_five_coordinators_when_faults_strike_then_every_rule_holds() {
    play_all(2_000_000, 3, 5, 2, LARGE);
}
