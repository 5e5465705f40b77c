//! An upgrade and the way back with complete state machines over a network that loses, repeats and delays.
mod common;

use balancer_gossip::{Load, Observations, TenantLoad, VersionRange, SUPPORTED_VERSIONS};
use common::{Sim, LOSSY};

const OLD: VersionRange = VersionRange { min: 1, max: 1 };

/// Ends the replica at a place as an orderly stop does, and starts it 0.5 s later with nothing remembered.
fn restart_as(sim: &mut Sim, position: u16, incarnation: u64, supported_versions: VersionRange) {
    let running = sim
        .alive()
        .into_iter()
        .find(|at| sim.nodes[*at].position == position)
        .expect("it runs");
    sim.with(running, |peers, now| peers.leave(now));
    sim.run(50.0);
    sim.kill(running);
    sim.run(500.0);
    sim.start(position, incarnation, supported_versions);
}

/// Lets all observe what they do for so long; the versions that are spoken then, each once, and how many know sums.
fn observe_for(sim: &mut Sim, seconds: u32) -> (Vec<u8>, usize) {
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
fn a_tier_is_upgraded_and_rolled_back_in_one_step_each() {
    const N: u16 = 24;
    let mut sim = Sim::new(N, 10, LOSSY, 7);
    (0..N).for_each(|position| {
        sim.start(position, 1_000, OLD);
    });
    assert_eq!(observe_for(&mut sim, 10), (vec![1], 0));
    for position in 0..N {
        restart_as(&mut sim, position, 2_000, SUPPORTED_VERSIONS);
        assert_eq!(
            observe_for(&mut sim, 1),
            (vec![1], 0),
            "{position} is upgraded"
        );
    }
    // Then, with every replica a new run, all know sums, and go on knowing them.
    observe_for(&mut sim, 7);
    for _ in 0..10 {
        assert_eq!(observe_for(&mut sim, 1), (vec![2], N.into()));
    }
    // The first replica of the old build takes all down; the others' restarts change nothing more.
    for position in 0..N {
        restart_as(&mut sim, position, 3_000, OLD);
        let (versions, sums) = observe_for(&mut sim, 1);
        assert!(
            position == 0 || (versions, sums) == (vec![1], 0),
            "{position} is rolled back"
        );
        for at in sim.alive() {
            let steps = sim.with(at, |peers, _| peers.counts().steps);
            assert!(steps <= 2, "{steps} steps of {}", sim.nodes[at].position);
        }
    }
}

#[test]
fn whoever_missed_a_start_in_another_build_learns_of_it_before_the_step_up() {
    for seed in 0..20 {
        let mut sim = Sim::tier(60, 10, LOSSY, seed);
        restart_as(&mut sim, 1, 2_000, OLD);
        assert_eq!(observe_for(&mut sim, 10).0, [1]);
        // Killed and restarted before anybody declared it failed.
        let at = sim
            .alive()
            .into_iter()
            .find(|at| sim.nodes[*at].position == 1)
            .expect("it runs");
        sim.kill(at);
        sim.run(500.0);
        sim.start(1, 3_000, SUPPORTED_VERSIONS);
        assert_eq!(observe_for(&mut sim, 12).0, [2]);
        for at in sim.alive().into_iter().filter(|at| *at < 60) {
            assert_eq!(
                sim.with(at, |peers, _| peers.counts().steps),
                3,
                "of {}",
                sim.nodes[at].position
            );
        }
    }
}
