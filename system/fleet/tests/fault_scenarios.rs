//! Six fault scenarios, each in simulated runs: an isolated machine, operators that change the configuration at once, a
//! loss right after a repair, hundreds of changes, delayed orders, and workers that crash under repeated gangs.
use magpiegap_fleet::{Fault, Fleet, FleetSettings, WorkerPartitionScope};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// When the first fault is injected, in milliseconds.
const BEGIN_MS: u64 = 4000;
/// A machine that is back, or new, has caught up after this time (`catchUpS`).
const CATCH_UP_MS: u64 = 4000;
/// What is on a disk is known to others after a heartbeat; a copy is at least so old.
const MIN_COPY_AGE_MS: u64 = 200;
/// How long jobs may take after the last fault.
const END_MS: u64 = 60_000;

/// A fleet with jobs, some of which are cancelled, and the generator that faults are drawn from.
fn fleet_with_jobs(settings: FleetSettings, jobs: u64) -> (Fleet, StdRng) {
    let mut random = StdRng::seed_from_u64(settings.seed ^ 0x0bad);
    let mut fleet = Fleet::new(settings);
    for number in 0..jobs {
        let at = 3000 + number * 150;
        let job = fleet.random_job(&mut random, at);
        let cancel_at = random
            .gen_bool(0.25)
            .then(|| at + random.gen_range(50..3000));
        let ends_at = job.long_running.then(|| at + random.gen_range(4000..9000));
        fleet.submit_at(at, job, cancel_at.or(ends_at));
    }
    fleet.run_until(BEGIN_MS);
    (fleet, random)
}

/// A fleet of three coordinators, and with every fourth seed of five.
fn three_or_five(seed: u64) -> FleetSettings {
    let five = seed.is_multiple_of(4);
    FleetSettings {
        nodes: if five { 5 } else { 3 },
        tolerance: if five { 2 } else { 1 },
        seed,
        ..FleetSettings::default()
    }
}

/// Lets all jobs end; panics when an invariant was violated, a job is open, or a configuration is not everywhere.
fn expect_sound_end(mut fleet: Fleet, seed: u64) {
    fleet.run_until(fleet.now() + 3 * CATCH_UP_MS);
    fleet.run_until_done(fleet.now() + END_MS);
    let mut wrong: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.what))
        .collect();
    wrong.truncate(20);
    let open = fleet.unfinished_jobs();
    wrong.extend(
        open.iter()
            .take(3)
            .map(|job| format!("{job} is open: {}", fleet.describe_job(*job))),
    );
    let acknowledged = fleet.acknowledged_configuration();
    let behind = fleet
        .configurations()
        .into_iter()
        .filter(|version| version + 2 < acknowledged)
        .count();
    if behind > 0 {
        wrong.push(format!(
            "{behind} coordinators lie behind configuration {acknowledged}"
        ));
    }
    if !wrong.is_empty() {
        wrong.extend(fleet.describe());
    }
    assert!(wrong.is_empty(), "seed {seed}: {}", wrong.join("\n"));
}

/// Seeds to run; `FLEET_SEEDS` in the environment asks for more or fewer, `FLEET_FIRST` for others.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("FLEET_FIRST").unwrap_or(0);
    first..first + number("FLEET_SEEDS").unwrap_or(count)
}

#[googletest::test]
fn given_a_machine_isolated_for_twenty_seconds_when_it_is_sent_requests_then_its_responses_are_not_stale(
) {
    for seed in seeds(12) {
        let settings = FleetSettings {
            nodes: if seed % 3 == 0 { 5 } else { 3 },
            tolerance: if seed % 3 == 0 { 2 } else { 1 },
            lost_responses_percent: 50,
            operators: 1 + seed as usize % 2,
            seed,
            ..FleetSettings::default()
        };
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 40);
        // Each of them in turn, so that head, tail and schedulers are among them; the last one stands still.
        for iteration in 0..3 {
            let node = random.gen_range(0..nodes);
            let for_ms = if iteration == 0 {
                20_000
            } else {
                random.gen_range(700..6000)
            };
            match iteration {
                2 => fleet.inject(&Fault::Freeze { node, for_ms }),
                _ => fleet.inject(&Fault::Isolate { node, for_ms }),
            }
            if iteration < 2 {
                // A caller that has a response within a second turns to another coordinator.
                fleet.run_until(fleet.now() + for_ms);
                assert!(
                    fleet.longest_change_ms() <= 1000,
                    "seed {seed}: {} ms",
                    fleet.longest_change_ms()
                );
            }
            fleet.run_until(fleet.now() + for_ms + CATCH_UP_MS);
        }
        expect_sound_end(fleet, seed);
    }
}

#[googletest::test]
fn given_operators_whose_responses_are_lost_when_coordinators_fail_then_one_change_a_version_is_accepted(
) {
    for seed in seeds(12) {
        let settings = FleetSettings {
            operators: 3,
            change_interval_ms: 120,
            lost_responses_percent: 80,
            seed,
            ..FleetSettings::default()
        };
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 20);
        for _ in 0..8 {
            let node = random.gen_range(0..nodes);
            let for_ms = random.gen_range(200..2500);
            let fault = match random.gen_range(0..5) {
                0 => Fault::Kill { node, for_ms },
                1 => Fault::PowerLoss { node, for_ms },
                2 => Fault::PowerLossOfAll { for_ms },
                3 => Fault::Freeze { node, for_ms },
                _ => Fault::Isolate { node, for_ms },
            };
            fleet.inject(&fault);
            fleet.run_until(fleet.now() + random.gen_range(100..4000));
        }
        expect_sound_end(fleet, seed);
    }
}

#[googletest::test]
fn given_a_repair_or_a_drained_member_when_another_one_is_lost_right_after_it_then_nothing_is_lost()
{
    for seed in seeds(16) {
        let settings = three_or_five(seed);
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 40);
        for iteration in 0..4 {
            let first = (seed as usize + iteration) % nodes;
            let second = (first + random.gen_range(1..nodes)) % nodes;
            let repair = match random.gen_range(0..4) {
                0 => Fault::Replace {
                    node: first,
                    for_ms: 1000,
                },
                1 => Fault::Wipe {
                    node: first,
                    for_ms: random.gen_range(50..2000),
                },
                2 => Fault::Drain {
                    node: first,
                    for_ms: 300,
                },
                _ => Fault::PowerLoss {
                    node: first,
                    for_ms: random.gen_range(50..2000),
                },
            };
            fleet.inject(&repair);
            // The one that was repaired counts as lost until it has caught up; a moment later another disk is
            // wiped, and all machines may lose power.
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS + random.gen_range(0..100));
            let all_go = random.gen_bool(0.6);
            if all_go {
                fleet.inject(&Fault::PowerLossOfAll { for_ms: 600 });
            }
            fleet.inject(&Fault::Wipe {
                node: second,
                for_ms: 700,
            });
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS);
        }
        expect_sound_end(fleet, seed);
    }
}

#[googletest::test]
fn given_an_old_copy_of_a_disk_when_it_is_put_back_and_others_lose_power_then_nothing_is_lost() {
    let mut emptied = 0;
    for seed in seeds(12) {
        let settings = three_or_five(seed);
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 40);
        for _ in 0..3 {
            fleet.copy_disks();
            fleet.run_until(fleet.now() + random.gen_range(MIN_COPY_AGE_MS..4000));
            let node = random.gen_range(0..nodes);
            if random.gen_bool(0.5) {
                fleet.inject(&Fault::PowerLossOfAll { for_ms: 600 });
            }
            fleet.inject(&Fault::PutBack {
                node,
                for_ms: random.gen_range(50..2000),
            });
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS);
        }
        emptied += fleet.emptied_disks();
        expect_sound_end(fleet, seed);
    }
    // Most copies are recognised; one that is as far as all that others know of the disk can't be, and does no harm.
    assert!(emptied > 0, "no copy was recognised");
}

#[googletest::test]
fn given_hundreds_of_large_configurations_when_members_start_again_then_all_catch_up() {
    for seed in seeds(3) {
        let settings = FleetSettings {
            change_interval_ms: 50,
            configuration_bytes: 60_000,
            nodes: if seed % 2 == 0 { 3 } else { 5 },
            tolerance: if seed % 2 == 0 { 1 } else { 2 },
            seed,
            ..FleetSettings::default()
        };
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 10);
        for iteration in 0..4 {
            let node = random.gen_range(0..nodes);
            fleet.inject(&match iteration {
                0 => Fault::PowerLoss { node, for_ms: 4000 },
                1 => Fault::Wipe { node, for_ms: 1000 },
                2 => Fault::Kill { node, for_ms: 1500 },
                _ => Fault::PowerLossOfAll { for_ms: 500 },
            });
            fleet.run_until(fleet.now() + 9000);
        }
        assert!(
            fleet.acknowledged_configuration() > 200,
            "{}",
            fleet.acknowledged_configuration()
        );
        expect_sound_end(fleet, seed);
    }
}

#[googletest::test]
fn given_delayed_orders_when_roles_pass_on_and_workers_are_replaced_then_nothing_runs_twice() {
    for seed in seeds(12) {
        let settings = FleetSettings {
            failing_percent: 5,
            guards: seed % 2 == 0,
            seed,
            ..FleetSettings::default()
        };
        let (nodes, workers) = (settings.nodes, settings.workers);
        let (mut fleet, mut random) = fleet_with_jobs(settings, 60);
        for _ in 0..6 {
            fleet.inject(&Fault::DelayedOrders {
                percent: 50,
                for_ms: 2500,
            });
            let worker = random.gen_range(0..workers);
            fleet.inject(&Fault::WorkerPartition {
                worker,
                scope: WorkerPartitionScope::Replies,
                for_ms: 1500,
            });
            fleet.run_until(fleet.now() + random.gen_range(50..800));
            let node = random.gen_range(0..nodes);
            fleet.inject(&Fault::Kill { node, for_ms: 300 });
            fleet.run_until(fleet.now() + random.gen_range(50..800));
            fleet.inject(&Fault::WorkerCrash {
                worker: random.gen_range(0..workers),
                for_ms: 400,
            });
            fleet.run_until(fleet.now() + 2500);
        }
        expect_sound_end(fleet, seed);
    }
}

#[googletest::test]
fn given_repeated_gangs_that_overlap_when_workers_crash_then_no_complete_gang_is_stopped() {
    for seed in seeds(12) {
        // Given: workers have the same member of several occurrences
        let mut fleet = Fleet::new(FleetSettings {
            seed,
            ..FleetSettings::default()
        });
        for number in 0..6 {
            let at = BEGIN_MS + number * 1500;
            let mut job = Fleet::chain_of_steps(vec![Fleet::step(3, 1200, 2500)]);
            job.steps[0].gang = true;
            job.repeat_count = 4;
            job.start_at_ms = fleet.wall() + at;
            job.interval_ms = 200;
            fleet.submit_at(at, job, None);
        }
        // When
        for number in 0..6 {
            fleet.run_until(BEGIN_MS + 1300 + number * 1500);
            let fault = Fault::WorkerCrash {
                worker: (seed as usize + number as usize) % 6,
                for_ms: 600,
            };
            fleet.inject(&fault);
        }
        // Then
        expect_sound_end(fleet, seed);
    }
}
