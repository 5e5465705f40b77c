//! Configurations reach edges over slow links: during frequent changes, after a power loss of all coordinators, and
//! when changes are more frequent than a link can transfer.
use googletest::prelude::*;
use magpiegap_fleet::{Fault, Fleet, FleetSettings};

/// Time by which every edge has an active configuration, in milliseconds.
const FIRST_CONFIGURATION_MS: u64 = 6000;
/// Time within which an acknowledged version must be active on every edge, in milliseconds.
const PROPAGATION_MS: u64 = 2500;
/// Time from the start of the coordinators until they serve requests, in milliseconds.
const RESTART_MS: u64 = 1500;

/// Routes of a configuration: about 12 kB on the wire, and 60 kB as submitted by the operator.
const ROUTES: u64 = 600;
/// Bandwidth at which a full configuration takes about a second, in bytes per second.
const SLOW_BYTES_PER_SECOND: u64 = 12_000;
/// Routes of a configuration that is transferred in several chunks.
const LARGE_ROUTES: u64 = 2500;
/// Interval between changes of such configurations, in milliseconds.
const LARGE_INTERVAL_MS: u64 = 1200;

fn settings(seed: u64) -> FleetSettings {
    FleetSettings {
        edges: 8,
        edge_bytes_per_second: SLOW_BYTES_PER_SECOND,
        configuration_routes: ROUTES,
        change_interval_ms: 330,
        workers: 3,
        seed,
        ..FleetSettings::default()
    }
}

/// Fails if an invariant was violated, or if an edge has a configuration that differs from the coordinators'.
fn check_invariants(fleet: &Fleet, seed: u64) {
    let failures: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.description))
        .collect();
    assert!(failures.is_empty(), "seed {seed}: {}", failures.join("\n"));
    expect_that!(
        fleet.edges_with_mismatched_configuration(),
        is_empty(),
        "seed {seed}"
    );
}

/// The oldest version that is active on any edge.
fn oldest_edge_version(fleet: &Fleet) -> u64 {
    fleet.edge_versions().into_iter().min().unwrap_or(0)
}

#[googletest::test]
fn edges_keep_up_over_slow_links() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(settings(seed));
        fleet.run_until(FIRST_CONFIGURATION_MS);
        for _ in 0..8 {
            let acknowledged = fleet.acknowledged_configuration();
            fleet.run_until(fleet.now() + PROPAGATION_MS);
            expect_that!(oldest_edge_version(&fleet), ge(acknowledged), "seed {seed}");
        }
        check_invariants(&fleet, seed);
    }
}

#[googletest::test]
fn edges_catch_up_after_total_power_loss() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(settings(seed));
        fleet.run_until(FIRST_CONFIGURATION_MS);
        for duration_ms in [1500, 9500] {
            let before = fleet.acknowledged_configuration();
            fleet.inject(&Fault::TotalPowerLoss { duration_ms });
            fleet.run_until(fleet.now() + duration_ms + RESTART_MS + PROPAGATION_MS);
            expect_that!(oldest_edge_version(&fleet), ge(before), "seed {seed}");
            let acknowledged = fleet.acknowledged_configuration();
            expect_that!(acknowledged, gt(before), "changes are still acknowledged");
            fleet.run_until(fleet.now() + PROPAGATION_MS);
            expect_that!(oldest_edge_version(&fleet), ge(acknowledged), "seed {seed}");
        }
        check_invariants(&fleet, seed);
    }
}

#[googletest::test]
fn edges_progress_when_changes_outpace_the_link() {
    let mut fleet = Fleet::new(FleetSettings {
        edges: 2,
        configuration_routes: LARGE_ROUTES,
        change_interval_ms: LARGE_INTERVAL_MS,
        ..settings(7)
    });
    fleet.run_until(14_000);
    let mut before = oldest_edge_version(&fleet);
    expect_that!(before, gt(0));
    for _ in 0..2 {
        fleet.run_until(fleet.now() + 5000);
        let now = oldest_edge_version(&fleet);
        expect_that!(now, gt(before));
        before = now;
    }
    check_invariants(&fleet, 7);
}
