//! Configurations reach edges on slow links: in storms, after a loss of power of all coordinators, while roles pass on.
use googletest::prelude::*;
use magpiegap_fleet::{Fault, Fleet, FleetSettings};

/// When the first configuration is surely in force everywhere, in milliseconds.
const BEGIN_MS: u64 = 6000;
/// After the last change, or the return of the coordinators, the newest version is at each edge within this time.
const IN_FORCE_MS: u64 = 2500;
/// Coordinators are back at work this long after they start.
const BACK_MS: u64 = 1500;

/// Routes of a configuration: some 12 kB on their way, 60 kB as they are sent.
const ROUTES: u64 = 600;
/// Rate of a link that takes about a second for a full configuration, in bytes per second.
const SLOW_BYTES_PER_SECOND: u64 = 12_000;
/// Routes of a configuration that is sent in several chunks.
const LARGE_ROUTES: u64 = 2500;
/// Time between two of them, in milliseconds.
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

/// Panics when an invariant was violated, or when an edge has something else than the operator sent.
fn expect_sound(fleet: &Fleet, seed: u64) {
    let wrong: Vec<String> = fleet
        .violations()
        .iter()
        .map(|violation| format!("{}: {}", violation.at, violation.what))
        .collect();
    assert!(wrong.is_empty(), "seed {seed}: {}", wrong.join("\n"));
    expect_that!(
        fleet.edges_with_wrong_configuration(),
        is_empty(),
        "seed {seed}"
    );
}

/// The version of the edge that is furthest behind.
fn oldest_edge_version(fleet: &Fleet) -> u64 {
    fleet.edge_versions().into_iter().min().unwrap_or(0)
}

#[googletest::test]
fn given_a_storm_of_large_configurations_when_links_are_slow_then_no_edge_falls_behind() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(settings(seed));
        fleet.run_until(BEGIN_MS);
        for _ in 0..8 {
            let acknowledged = fleet.acknowledged_configuration();
            fleet.run_until(fleet.now() + IN_FORCE_MS);
            expect_that!(oldest_edge_version(&fleet), ge(acknowledged), "seed {seed}");
        }
        expect_sound(&fleet, seed);
    }
}

#[googletest::test]
fn given_a_loss_of_power_of_all_coordinators_when_they_are_back_then_edges_follow_within_moments() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(settings(seed));
        fleet.run_until(BEGIN_MS);
        for for_ms in [1500, 9500] {
            let before = fleet.acknowledged_configuration();
            fleet.inject(&Fault::PowerLossOfAll { for_ms });
            fleet.run_until(fleet.now() + for_ms + BACK_MS + IN_FORCE_MS);
            expect_that!(oldest_edge_version(&fleet), ge(before), "seed {seed}");
            let acknowledged = fleet.acknowledged_configuration();
            expect_that!(acknowledged, gt(before), "changes go on");
            fleet.run_until(fleet.now() + IN_FORCE_MS);
            expect_that!(oldest_edge_version(&fleet), ge(acknowledged), "seed {seed}");
        }
        expect_sound(&fleet, seed);
    }
}

#[googletest::test]
fn given_very_slow_links_when_configurations_change_faster_than_one_arrives_then_edges_still_make_progress(
) {
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
    expect_sound(&fleet, 7);
}
