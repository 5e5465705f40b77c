//! Specific fault scenarios: an isolated node, concurrent configuration changes, a disk loss right after a repair,
//! disks rolled back to a stale copy, hundreds of changes, delayed orders, and worker crashes during repeated gangs.
mod common;

use common::seeds;
use magpiegap_fleet::{Fault, Fleet, FleetSettings, WorkerPartitionScope};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// When the first fault is injected, in milliseconds.
const FIRST_FAULT_MS: u64 = 4000;
/// Time within which a restarted or new node has caught up (`catchUpS`), in milliseconds.
const CATCH_UP_MS: u64 = 4000;
/// Minimum age of a stale disk copy, in milliseconds. Other nodes learn the contents of a disk from heartbeats.
const MIN_COPY_AGE_MS: u64 = 200;
/// Maximum time for jobs to end after the last fault, in milliseconds.
const JOB_END_TIMEOUT_MS: u64 = 60_000;

/// Creates a fleet with jobs, some of which are cancelled, and the random number generator for the faults.
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
    fleet.run_until(FIRST_FAULT_MS);
    (fleet, random)
}

/// Settings with five coordinators for every fourth seed, and three otherwise.
fn three_or_five_nodes(seed: u64) -> FleetSettings {
    let five = seed.is_multiple_of(4);
    FleetSettings {
        nodes: if five { 5 } else { 3 },
        tolerance: if five { 2 } else { 1 },
        seed,
        ..FleetSettings::default()
    }
}

/// Runs the fleet until all jobs end; panics if an invariant was violated, a job is unfinished, or a coordinator has
/// not caught up with the configuration.
fn finish_and_check(mut fleet: Fleet, seed: u64) {
    fleet.run_until(fleet.now() + 3 * CATCH_UP_MS);
    fleet.run_until_done(fleet.now() + JOB_END_TIMEOUT_MS);
    let mut failures: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.description))
        .collect();
    failures.truncate(20);
    let unfinished = fleet.unfinished_jobs();
    failures.extend(
        unfinished
            .iter()
            .take(3)
            .map(|job| format!("{job} is unfinished: {}", fleet.describe_job(*job))),
    );
    let acknowledged = fleet.acknowledged_configuration();
    let behind = fleet
        .configurations()
        .into_iter()
        .filter(|version| version + 2 < acknowledged)
        .count();
    if behind > 0 {
        failures.push(format!(
            "{behind} coordinators have not caught up with configuration {acknowledged}"
        ));
    }
    if !failures.is_empty() {
        failures.extend(fleet.describe());
    }
    assert!(failures.is_empty(), "seed {seed}: {}", failures.join("\n"));
}

#[googletest::test]
fn isolated_node_does_not_send_stale_responses() {
    for seed in seeds(0, 12) {
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
        // Random nodes, so that head, tail and schedulers are covered. The last iteration freezes the node instead.
        for iteration in 0..3 {
            let node = random.gen_range(0..nodes);
            let duration_ms = if iteration == 0 {
                20_000
            } else {
                random.gen_range(700..6000)
            };
            match iteration {
                2 => fleet.inject(&Fault::Freeze { node, duration_ms }),
                _ => fleet.inject(&Fault::Isolate { node, duration_ms }),
            }
            if iteration < 2 {
                // An isolated coordinator must respond within a second, so that the caller can try another one.
                fleet.run_until(fleet.now() + duration_ms);
                assert!(
                    fleet.longest_change_ms() <= 1000,
                    "seed {seed}: {} ms",
                    fleet.longest_change_ms()
                );
            }
            fleet.run_until(fleet.now() + duration_ms + CATCH_UP_MS);
        }
        finish_and_check(fleet, seed);
    }
}

#[googletest::test]
fn each_version_accepts_one_change_despite_faults() {
    for seed in seeds(0, 12) {
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
            let duration_ms = random.gen_range(200..2500);
            let fault = match random.gen_range(0..5) {
                0 => Fault::Kill { node, duration_ms },
                1 => Fault::PowerLoss { node, duration_ms },
                2 => Fault::TotalPowerLoss { duration_ms },
                3 => Fault::Freeze { node, duration_ms },
                _ => Fault::Isolate { node, duration_ms },
            };
            fleet.inject(&fault);
            fleet.run_until(fleet.now() + random.gen_range(100..4000));
        }
        finish_and_check(fleet, seed);
    }
}

#[googletest::test]
fn disk_loss_right_after_repair_loses_nothing() {
    for seed in seeds(0, 16) {
        let settings = three_or_five_nodes(seed);
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 40);
        for iteration in 0..4 {
            let first = (seed as usize + iteration) % nodes;
            let second = (first + random.gen_range(1..nodes)) % nodes;
            let repair = match random.gen_range(0..4) {
                0 => Fault::Replace {
                    node: first,
                    duration_ms: 1000,
                },
                1 => Fault::Wipe {
                    node: first,
                    duration_ms: random.gen_range(50..2000),
                },
                2 => Fault::Drain {
                    node: first,
                    duration_ms: 300,
                },
                _ => Fault::PowerLoss {
                    node: first,
                    duration_ms: random.gen_range(50..2000),
                },
            };
            fleet.inject(&repair);
            // The repaired node counts as lost until it has caught up. Right after that, another disk is wiped, and all
            // nodes may lose power.
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS + random.gen_range(0..100));
            let all_lose_power = random.gen_bool(0.6);
            if all_lose_power {
                fleet.inject(&Fault::TotalPowerLoss { duration_ms: 600 });
            }
            fleet.inject(&Fault::Wipe {
                node: second,
                duration_ms: 700,
            });
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS);
        }
        finish_and_check(fleet, seed);
    }
}

#[googletest::test]
fn rolling_back_a_disk_loses_nothing() {
    let mut wiped = 0;
    for seed in seeds(0, 12) {
        let settings = three_or_five_nodes(seed);
        let nodes = settings.nodes;
        let (mut fleet, mut random) = fleet_with_jobs(settings, 40);
        for _ in 0..3 {
            fleet.back_up_disks();
            fleet.run_until(fleet.now() + random.gen_range(MIN_COPY_AGE_MS..4000));
            let node = random.gen_range(0..nodes);
            if random.gen_bool(0.5) {
                fleet.inject(&Fault::TotalPowerLoss { duration_ms: 600 });
            }
            fleet.inject(&Fault::RollBackDisk {
                node,
                duration_ms: random.gen_range(50..2000),
            });
            fleet.run_until(fleet.now() + 4000 + CATCH_UP_MS);
        }
        wiped += fleet.wiped_stale_disks();
        finish_and_check(fleet, seed);
    }
    // Most stale copies are detected. One that agrees with the other nodes' knowledge of the disk is undetectable, and
    // harmless.
    assert!(wiped > 0, "no stale disk was detected");
}

#[googletest::test]
fn restarted_nodes_catch_up_with_hundreds_of_configurations() {
    for seed in seeds(0, 3) {
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
                0 => Fault::PowerLoss {
                    node,
                    duration_ms: 4000,
                },
                1 => Fault::Wipe {
                    node,
                    duration_ms: 1000,
                },
                2 => Fault::Kill {
                    node,
                    duration_ms: 1500,
                },
                _ => Fault::TotalPowerLoss { duration_ms: 500 },
            });
            fleet.run_until(fleet.now() + 9000);
        }
        assert!(
            fleet.acknowledged_configuration() > 200,
            "{}",
            fleet.acknowledged_configuration()
        );
        finish_and_check(fleet, seed);
    }
}

#[googletest::test]
fn delayed_orders_never_run_a_task_twice() {
    for seed in seeds(0, 12) {
        let settings = FleetSettings {
            run_failure_percent: 5,
            enforces_capacity: seed % 2 == 0,
            seed,
            ..FleetSettings::default()
        };
        let (nodes, workers) = (settings.nodes, settings.workers);
        let (mut fleet, mut random) = fleet_with_jobs(settings, 60);
        for _ in 0..6 {
            fleet.inject(&Fault::DelayedOrders {
                percent: 50,
                duration_ms: 2500,
            });
            let worker = random.gen_range(0..workers);
            fleet.inject(&Fault::WorkerPartition {
                worker,
                scope: WorkerPartitionScope::Replies,
                duration_ms: 1500,
            });
            fleet.run_until(fleet.now() + random.gen_range(50..800));
            let node = random.gen_range(0..nodes);
            fleet.inject(&Fault::Kill {
                node,
                duration_ms: 300,
            });
            fleet.run_until(fleet.now() + random.gen_range(50..800));
            fleet.inject(&Fault::WorkerCrash {
                worker: random.gen_range(0..workers),
                duration_ms: 400,
            });
            fleet.run_until(fleet.now() + 2500);
        }
        finish_and_check(fleet, seed);
    }
}

#[googletest::test]
fn worker_crashes_do_not_stop_complete_gangs() {
    for seed in seeds(0, 12) {
        // Given: workers run the same member of several occurrences
        let mut fleet = Fleet::new(FleetSettings {
            seed,
            ..FleetSettings::default()
        });
        for number in 0..6 {
            let at = FIRST_FAULT_MS + number * 1500;
            let mut job = Fleet::chain_of_steps(vec![Fleet::step(3, 1200, 2500)]);
            job.steps[0].gang = true;
            job.repeat_count = 4;
            job.start_at_ms = fleet.wall() + at;
            job.interval_ms = 200;
            fleet.submit_at(at, job, None);
        }
        // When
        for number in 0..6 {
            fleet.run_until(FIRST_FAULT_MS + 1300 + number * 1500);
            let fault = Fault::WorkerCrash {
                worker: (seed as usize + number as usize) % 6,
                duration_ms: 600,
            };
            fleet.inject(&fault);
        }
        // Then
        finish_and_check(fleet, seed);
    }
}
