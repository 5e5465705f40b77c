//! Measures the distribution of a configuration to an agent: transferred bytes, and time on links of different rates.
//!
//! `cargo run --profile system -p magpiegap-distribution --example sizes`
//!
//! One agent and three coordinators run on simulated time (`tests/slow_link`), which does not include processor time.
//! The time is measured from the activation at the coordinators until the activation at the agent.
#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/slow_link/mod.rs"]
mod slow_link;

use common::{configuration, source};
use slow_link::{body_bytes, Simulation};

const ROUTE_COUNTS: [u64; 5] = [10, 100, 350, 1830, 5000];
/// Link rates in bytes per second: 64 kbit/s, 2 Mbit/s, 200 Mbit/s.
const LINK_RATES: [u64; 3] = [8_000, 250_000, 25_000_000];
/// Maximum time for one measurement, in milliseconds.
const MAX_MS: u64 = 120_000;

/// Encoded bytes of a complete configuration, and of a change that adds one route.
fn transfer_bytes(routes: u64) -> (u64, u64) {
    let mut source = source([configuration(1, 0..routes), configuration(2, 0..routes + 1)]);
    let complete = source
        .chunk(&Default::default())
        .map_or(0, |chunk| chunk.length);
    let change = source.inline_change(1).map_or(0, |chunk| chunk.length);
    (complete, change)
}

/// Milliseconds until a version is in force at the agent.
fn ms_until_in_force(simulation: &mut Simulation, version: u64) -> u64 {
    let started = simulation.now();
    while simulation.version() < version && simulation.now() < started + MAX_MS {
        simulation.run_for(1);
    }
    simulation.now() - started
}

fn main() {
    println!("routes | body bytes, estimated | complete transfer bytes | one-route change bytes | by link: ms for the complete transfer, ms for the one-route change");
    for routes in ROUTE_COUNTS {
        let (complete, change) = transfer_bytes(routes);
        print!(
            "{routes} | {} | {complete} | {change}",
            body_bytes(&configuration(1, 0..routes))
        );
        for rate in LINK_RATES {
            let mut simulation = Simulation::new(rate);
            simulation.run_for(2000);
            simulation.push(configuration(1, 0..routes));
            let complete_ms = ms_until_in_force(&mut simulation, 1);
            simulation.run_for(2000);
            simulation.push(configuration(2, 0..routes + 1));
            let change_ms = ms_until_in_force(&mut simulation, 2);
            print!(" | {} kbit/s: {complete_ms}, {change_ms}", rate * 8 / 1000);
        }
        println!();
    }
}
