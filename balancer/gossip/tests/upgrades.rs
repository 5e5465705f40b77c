//! A rolling upgrade and its rollback, with complete state machines on a network that loses, duplicates and delays
//! datagrams.
mod common;

use balancer_gossip::{Load, Observations, TenantLoad, VersionRange, SUPPORTED_VERSIONS};
use common::{Sim, LOSSY};

const OLD: VersionRange = VersionRange { min: 1, max: 1 };

/// Shuts the replica at a position down gracefully, and starts it without state 0.5 s later.
fn restart_as(sim: &mut Sim, position: u16, incarnation: u64, supported_versions: VersionRange) {
    let running = sim
        .alive()
        .into_iter()
        .find(|at| sim.nodes[*at].position == position)
        .expect("running replica");
    sim.with(running, |peers, now| peers.leave(now));
    sim.run(50.0);
    sim.kill(running);
    sim.run(500.0);
    sim.start(position, incarnation, supported_versions);
}

/// Runs the tier with observations for some seconds; returns the distinct versions in use then, and how many replicas
/// have sums.
fn run_observing(sim: &mut Sim, seconds: u32) -> (Vec<u8>, usize) {
    for _ in 0..seconds * 4 {
        for at in sim.alive() {
            let load = Load {
                demand: 10.0,
                tenants: vec![TenantLoad::default(); 11],
                ..Load::default()
            };
            sim.observe(
                at,
                Observations {
                    load,
                    ..Observations::default()
                },
            );
        }
        sim.run(250.0);
    }
    let states: Vec<_> = sim
        .alive()
        .into_iter()
        .map(|at| sim.tier_state(at))
        .collect();
    assert!(states
        .iter()
        .all(|state| u64::from(state.version) == state.epoch & 0xff));
    let mut versions: Vec<u8> = states.iter().map(|state| state.version).collect();
    versions.sort_unstable();
    versions.dedup();
    (
        versions,
        states.iter().filter(|state| state.sums.is_some()).count(),
    )
}

#[test]
fn upgrade_and_rollback_take_one_step_each() {
    const N: u16 = 24;
    let mut sim = Sim::new(N, 10, LOSSY, 7);
    (0..N).for_each(|position| {
        sim.start(position, 1_000, OLD);
    });
    assert_eq!(run_observing(&mut sim, 10), (vec![1], 0));
    for position in 0..N {
        restart_as(&mut sim, position, 2_000, SUPPORTED_VERSIONS);
        assert_eq!(
            run_observing(&mut sim, 1),
            (vec![1], 0),
            "{position} is upgraded"
        );
    }
    // Once all replicas are upgraded, all of them have sums, and keep them.
    run_observing(&mut sim, 7);
    for _ in 0..10 {
        assert_eq!(run_observing(&mut sim, 1), (vec![2], N.into()));
    }
    // The first rolled-back replica causes the step down; further restarts cause no steps.
    for position in 0..N {
        restart_as(&mut sim, position, 3_000, OLD);
        let (versions, sums) = run_observing(&mut sim, 1);
        assert!(
            position == 0 || (versions, sums) == (vec![1], 0),
            "{position} is rolled back"
        );
        for at in sim.alive() {
            let version_changes = sim.with(at, |peers, _| peers.counts().version_changes);
            assert!(
                version_changes <= 2,
                "{version_changes} version changes of {}",
                sim.nodes[at].position
            );
        }
    }
}

#[test]
fn missed_restarts_are_learned_before_the_step_up() {
    for seed in 0..20 {
        let mut sim = Sim::tier(60, 10, LOSSY, seed);
        restart_as(&mut sim, 1, 2_000, OLD);
        assert_eq!(run_observing(&mut sim, 10).0, [1]);
        // Killed and restarted before any replica declares it failed.
        let at = sim
            .alive()
            .into_iter()
            .find(|at| sim.nodes[*at].position == 1)
            .expect("running replica");
        sim.kill(at);
        sim.run(500.0);
        sim.start(1, 3_000, SUPPORTED_VERSIONS);
        assert_eq!(run_observing(&mut sim, 12).0, [2]);
        for at in sim.alive().into_iter().filter(|at| *at < 60) {
            assert_eq!(
                sim.with(at, |peers, _| peers.counts().version_changes),
                3,
                "of {}",
                sim.nodes[at].position
            );
        }
    }
}
