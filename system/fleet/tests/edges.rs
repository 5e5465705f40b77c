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
/// A link that takes about a second for the whole of a configuration, in bytes a second.
const SLOW: u64 = 12_000;
/// Routes of a configuration that takes several parts, and time between two of them.
const MORE_ROUTES: u64 = 2500;
const RARELY_MS: u64 = 1200;

fn settings(seed: u64) -> FleetSettings {
    FleetSettings {
        edges: 8,
        edge_bytes_a_second: SLOW,
        configuration_routes: ROUTES,
        order_every_ms: 330,
        workers: 3,
        seed,
        ..FleetSettings::default()
    }
}

/// Panics when a rule was broken, or when an edge has something else than the operator sent.
fn expect_sound(fleet: &Fleet, seed: u64) {
    let wrong: Vec<String> = fleet
        .violations()
        .iter()
        .map(|v| format!("{}: {}", v.at, v.what))
        .collect();
    assert!(wrong.is_empty(), "seed {seed}: {}", wrong.join("\n"));
    expect_that!(fleet.edges_that_differ(), is_empty(), "seed {seed}");
}

/// The edge that lies behind most.
fn oldest_at_edges(fleet: &Fleet) -> u64 {
    fleet.versions_at_edges().into_iter().min().unwrap_or(0)
}

#[googletest::test]
fn given_a_storm_of_large_configurations_when_links_are_slow_then_no_edge_falls_behind() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(settings(seed));
        fleet.run_until(BEGIN_MS);
        for _ in 0..8 {
            let acknowledged = fleet.acknowledged_configuration();
            fleet.run_until(fleet.now() + IN_FORCE_MS);
            expect_that!(oldest_at_edges(&fleet), ge(acknowledged), "seed {seed}");
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
            fleet.strike(&Fault::PowerLossOfAll { for_ms });
            fleet.run_until(fleet.now() + for_ms + BACK_MS + IN_FORCE_MS);
            expect_that!(oldest_at_edges(&fleet), ge(before), "seed {seed}");
            let acknowledged = fleet.acknowledged_configuration();
            expect_that!(acknowledged, gt(before), "changes go on");
            fleet.run_until(fleet.now() + IN_FORCE_MS);
            expect_that!(oldest_at_edges(&fleet), ge(acknowledged), "seed {seed}");
        }
        expect_sound(&fleet, seed);
    }
}

#[googletest::test]
fn given_very_slow_links_when_configurations_change_faster_than_one_arrives_then_edges_go_on_all_the_same(
) {
    let mut fleet = Fleet::new(FleetSettings {
        edges: 2,
        configuration_routes: MORE_ROUTES,
        order_every_ms: RARELY_MS,
        ..settings(7)
    });
    fleet.run_until(14_000);
    let mut before = oldest_at_edges(&fleet);
    expect_that!(before, gt(0));
    for _ in 0..2 {
        fleet.run_until(fleet.now() + 5000);
        let now = oldest_at_edges(&fleet);
        expect_that!(now, gt(before));
        before = now;
    }
    expect_sound(&fleet, 7);
}
