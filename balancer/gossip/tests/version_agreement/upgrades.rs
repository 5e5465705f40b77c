//! Replicas of two versions, started, stopped and restarted on purpose.
use crate::tier::*;
use balancer_gossip::versions::rules::{
    FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, STABLE_AFTER, STEP_UP_DELAY,
};
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, VersionRange};

#[test]
fn a_tier_that_starts_together_agrees_within_two_seconds() {
    let mut tier = Tier::start(&[NEW; 24]);
    tier.lost = 30;
    tier.run(FIRST_STEP_UP_DELAY + 700);
    assert_eq!(tier.versions_spoken(), [2]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() == 1));
}

#[test]
fn a_rolling_upgrade_and_its_way_back() {
    let mut tier = Tier::start(&[OLD; 24]);
    tier.run(3_000);
    let upgrade = |tier: &mut Tier,
                   replicas: std::ops::Range<usize>,
                   supported_versions: VersionRange,
                   speak: u8| {
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
                    .filter(|(i, _)| speak == 1 || *i != replica);
                for (_, replica) in running {
                    assert_eq!(replica.negotiation.version(), speak);
                }
            }
        }
    };
    // Half of it, and back; then all of it.
    upgrade(&mut tier, 0..12, NEW, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_spoken(), [1]);
    upgrade(&mut tier, 0..12, OLD, 1);
    upgrade(&mut tier, 0..24, NEW, 1);
    tier.run(STEP_UP_DELAY);
    assert_eq!(tier.versions_spoken(), [2]);
    // A restart within the new build changes nothing for the others.
    upgrade(&mut tier, 0..3, NEW, 2);
    tier.run(STABLE_AFTER);
    // The first one back takes all down as soon as it is received.
    tier.restart(5, OLD);
    tier.run(300);
    assert_eq!(tier.versions_spoken(), [1]);
    upgrade(&mut tier, 0..24, OLD, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_spoken(), [1]);
}

#[test]
fn a_zone_that_was_partitioned_while_the_others_were_upgraded() {
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
    assert_eq!(tier.versions_spoken(), [1]);
    (0..4).for_each(|replica| tier.restart(replica, NEW));
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.versions_spoken(), [2]);
    let epoch = tier.replicas[0].negotiation.epoch();
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.epoch() == epoch));
}

#[test]
fn an_old_replica_in_a_crash_loop_makes_no_flapping() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW, OLD]);
    // Up for 1 s and down for 14 s, for ten minutes: long enough for the shortest step-up delay, not for the longest.
    for _ in 0..40 {
        tier.run(1_000);
        tier.stop(5);
        tier.run(14_000);
        tier.restart(5, OLD);
    }
    for replica in &mut tier.replicas[..5] {
        // Held at first, up after 5 s and after 10 s, down each time, and then no more.
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
fn all_at_once_restarted_into_a_mix_with_pins_that_are_taken_off() {
    let mut tier = Tier::start(&[NEW; 12]);
    tier.run(3_000);
    // A pin is a narrower range; the others can't tell it from an old build.
    (0..12).for_each(|replica| tier.restart(replica, if replica % 3 == 0 { OLD } else { NEW }));
    tier.run(30_000);
    assert_eq!(tier.versions_spoken(), [1]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() <= 2));
    (0..12)
        .filter(|replica| replica % 3 == 0)
        .for_each(|replica| tier.restart(replica, NEW));
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.versions_spoken(), [2]);
}

#[test]
fn groups_with_nothing_in_common_stay_apart_and_say_so_once() {
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
            "one for each of the other group: {notifications:?}"
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
