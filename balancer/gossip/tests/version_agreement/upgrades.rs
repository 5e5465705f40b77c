//! Upgrades, rollbacks, partitions and restarts of replicas of two builds.
use crate::tier::*;
use balancer_gossip::versions::rules::{
    FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, STABLE_AFTER, STEP_UP_DELAY,
};
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, VersionRange};

#[test]
fn simultaneous_start_agrees_within_two_seconds() {
    let mut tier = Tier::start(&[NEW; 24]);
    tier.loss_percent = 30;
    tier.run(FIRST_STEP_UP_DELAY + 700);
    assert_eq!(tier.versions_in_use(), [2]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() == 1));
}

#[test]
fn rolling_upgrade_and_rollback_keep_one_common_version() {
    let mut tier = Tier::start(&[OLD; 24]);
    tier.run(3_000);
    let upgrade = |tier: &mut Tier,
                   replicas: std::ops::Range<usize>,
                   supported_versions: VersionRange,
                   expected_version: u8| {
        for replica in replicas {
            tier.stop(replica);
            tier.run(500);
            tier.restart(replica, supported_versions);
            for _ in 0..10 {
                tier.run(100);
                let running = tier
                    .replicas
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| expected_version == 1 || *i != replica);
                for (_, replica) in running {
                    assert_eq!(replica.negotiation.version(), expected_version);
                }
            }
        }
    };
    // Half of the tier is upgraded and rolled back; then the whole tier is upgraded.
    upgrade(&mut tier, 0..12, NEW, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_in_use(), [1]);
    upgrade(&mut tier, 0..12, OLD, 1);
    upgrade(&mut tier, 0..24, NEW, 1);
    tier.run(STEP_UP_DELAY);
    assert_eq!(tier.versions_in_use(), [2]);
    // Restarts with the new build do not affect the others.
    upgrade(&mut tier, 0..3, NEW, 2);
    tier.run(STABLE_AFTER);
    // The first rolled-back replica causes a step down as soon as its datagrams are received.
    tier.restart(5, OLD);
    tier.run(300);
    assert_eq!(tier.versions_in_use(), [1]);
    upgrade(&mut tier, 0..24, OLD, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_in_use(), [1]);
}

#[test]
fn zone_partitioned_during_an_upgrade_agrees_after_healing() {
    let mut tier = Tier::start(&[OLD; 12]);
    tier.run(3_000);
    tier.partition = Some(4);
    (4..12).for_each(|replica| tier.restart(replica, NEW));
    tier.run(FAILURE_TIMEOUT as u64 + STEP_UP_DELAY + 1_000);
    assert!(tier.replicas[4..]
        .iter()
        .all(|replica| replica.negotiation.version() == 2));
    assert!(tier.replicas[..4]
        .iter()
        .all(|replica| replica.negotiation.version() == 1));
    tier.partition = None;
    tier.run(300);
    assert_eq!(tier.versions_in_use(), [1]);
    (0..4).for_each(|replica| tier.restart(replica, NEW));
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.versions_in_use(), [2]);
    let epoch = tier.replicas[0].negotiation.epoch();
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.epoch() == epoch));
}

#[test]
fn crash_loop_of_an_old_replica_limits_steps() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW, OLD]);
    // Up for 1 s and down for 14 s, for ten minutes: the shortest step-up delay expires in that time, the longest
    // doesn't.
    for _ in 0..40 {
        tier.run(1_000);
        tier.stop(5);
        tier.run(14_000);
        tier.restart(5, OLD);
    }
    for replica in &mut tier.replicas[..5] {
        // Limited at first, steps up after delays of 5 s and 10 s and down each time, and then no more steps.
        assert_eq!(replica.negotiation.steps(), 4);
        let notifications = replica.notifications();
        assert_eq!(notifications.len(), 5, "{notifications:?}");
        assert_eq!(
            notifications[0],
            "version 1 below the supported 2, by agreement 1: member 5 supports 1 to 1"
        );
    }
    tier.stop(5);
    tier.run(FAILURE_TIMEOUT as u64 + MAX_STEP_UP_DELAY);
    assert!(tier.replicas[..5]
        .iter()
        .all(|replica| replica.negotiation.version() == 2));
}

#[test]
fn simultaneous_restart_with_mixed_versions_agrees() {
    let mut tier = Tier::start(&[NEW; 12]);
    tier.run(3_000);
    // A pinned replica announces a narrower range, and is indistinguishable from an old build.
    (0..12).for_each(|replica| tier.restart(replica, if replica % 3 == 0 { OLD } else { NEW }));
    tier.run(30_000);
    assert_eq!(tier.versions_in_use(), [1]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() <= 2));
    (0..12)
        .filter(|replica| replica % 3 == 0)
        .for_each(|replica| tier.restart(replica, NEW));
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_in_use(), [2]);
}

#[test]
fn incompatible_groups_stay_separate_and_notify_once() {
    let only_new = VersionRange { min: 2, max: 2 };
    let mut tier = Tier::start(&[OLD, OLD, only_new, only_new]);
    tier.run(60_000);
    for (i, replica) in tier.replicas.iter_mut().enumerate() {
        assert_eq!(replica.negotiation.version(), if i < 2 { 1 } else { 2 });
        assert_eq!(replica.negotiation.steps(), 0);
        let others: Vec<usize> = replica
            .up(tier.now)
            .iter()
            .map(|member| usize::from(member.0))
            .collect();
        assert_eq!(others, [[1], [0], [3], [2]][i]);
        let notifications = replica.notifications();
        assert_eq!(
            notifications.len(),
            2,
            "one per member of the other group: {notifications:?}"
        );
        assert!(notifications
            .iter()
            .all(|line| line.starts_with("no version in common with member")));
    }
    let mut between = VersionNegotiation::new(NEW);
    between.handle_announcement(0.0, Member(2), 1, only_new, 2);
    between.handle_announcement(0.0, Member(0), 1, OLD, 1);
    between.handle_members(0.0, &[Member(0), Member(2)]);
    assert_eq!(between.version(), 1);
    let incompatible = |member| between.incompatible_versions(Member(member));
    assert_eq!((incompatible(0), incompatible(2)), (None, Some(only_new)));
}
