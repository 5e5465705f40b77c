//! Replicas that are paused, and datagrams that are late, corrupt, forged, or from unannounced members.
use crate::tier::*;
use balancer_gossip::versions::rules::{MAX_STEP_UP_DELAY, STEP_UP_DELAY};
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, Millis, VersionRange};

#[test]
fn datagrams_of_earlier_agreements_are_rejected_after_pause() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW]);
    tier.run(3_000);
    // One replica is paused while another is rolled back and upgraded again.
    tier.stop(4);
    let before = tier.replicas[4].header();
    tier.restart(0, OLD);
    tier.run(30_000);
    assert_eq!(tier.versions_in_use(), [1]);
    assert!(!tier.replicas[1]
        .negotiation
        .accepts(before.version, before.epoch));
    tier.restart(0, NEW);
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.versions_in_use(), [2]);
    assert_eq!(before.version, 2);
    assert!(
        !tier.replicas[1]
            .negotiation
            .accepts(before.version, before.epoch),
        "the same version under an earlier agreement is rejected"
    );
    tier.replicas[4].is_running = true;
    tier.run(300);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.epoch() == tier.replicas[1].negotiation.epoch()));
}

#[test]
fn late_headers_do_not_lower_the_version() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(3_000);
    let late = tier.replicas[2].header();
    tier.restart(2, NEW);
    tier.run(STEP_UP_DELAY + 1_000);
    tier.run(60_000);
    for _ in 0..2 {
        tier.replicas[0].receive(tier.now, 2, &late);
    }
    assert_eq!(tier.versions_in_use(), [2]);
    // A late header of a failed replica does not make it up, so the version stays.
    tier.stop(1);
    let late = Header {
        incarnation: tier.replicas[1].incarnation,
        supported_versions: OLD,
        epoch: 1,
        version: 1,
    };
    tier.run(10_000);
    let now = tier.now;
    tier.replicas[0].negotiation.handle_announcement(
        now,
        Member(1),
        late.incarnation,
        late.supported_versions,
        late.epoch,
    );
    assert_eq!(tier.versions_in_use(), [2]);
}

#[test]
fn unannounced_member_lowers_the_version_to_the_lowest() {
    let mut replica = VersionNegotiation::new(NEW);
    let agreed = 9 << 8 | 2;
    replica.handle_announcement(0.0, Member(1), 1, NEW, agreed);
    replica.handle_members(0.0, &[Member(1)]);
    assert_eq!((replica.version(), replica.epoch()), (2, agreed));
    // A member whose announcement was relayed together with its membership does not change the version.
    replica.handle_announcement(1.0, Member(2), 1, NEW, 0);
    replica.handle_members(1.0, &[Member(1), Member(2)]);
    assert_eq!(replica.version(), 2);
    // A member without an announcement does.
    replica.handle_members(2.0, &[Member(1), Member(2), Member(3)]);
    assert_eq!((replica.version(), replica.epoch()), (1, 10 << 8 | 1));
    assert!(!replica.accepts(2, agreed) && replica.accepts(1, 1));
    // The initial epoch of a new member is not adopted.
    replica.handle_announcement(3.0, Member(3), 1, NEW, 1);
    assert_eq!(replica.epoch(), 10 << 8 | 1);
    assert_eq!(
        replica.next_timeout(),
        Some(3.0 + 2.0 * STEP_UP_DELAY as Millis)
    );
}

#[test]
fn corrupt_or_forged_announcements_have_no_lasting_effect() {
    let mut replica = VersionNegotiation::new(NEW);
    let agreed = 1 << 8 | 2;
    replica.handle_announcement(0.0, Member(1), 5, NEW, agreed);
    replica.handle_members(0.0, &[Member(1)]);
    for (supported_versions, epoch) in [
        (NEW, u64::MAX),
        (NEW, u64::MAX - 0xff + 2),
        (NEW, 1 << 40 | 2),
        (NEW, 7 << 8 | 9),
        (NEW, 7 << 8),
        (OLD, 0),
        (VersionRange { min: 0, max: 255 }, 8 << 8 | 2),
        (VersionRange { min: 2, max: 1 }, 8 << 8 | 2),
    ] {
        // Correct announcements follow each corrupt one.
        replica.handle_announcement(1.0, Member(1), 5, supported_versions, epoch);
        for _ in 0..3 {
            replica.handle_announcement(2.0, Member(1), 5, NEW, agreed);
        }
        assert!(
            replica.epoch() >> 8 <= 2,
            "{supported_versions:?} {epoch:x}"
        );
    }
    // The corrupt announcement of fewer versions caused a step down at once, which ends after the step-up delay.
    assert_eq!((replica.version(), replica.epoch()), (1, 2 << 8 | 1));
    let deadline = replica.next_timeout().expect("a scheduled step up");
    assert!(deadline <= 2.0 + MAX_STEP_UP_DELAY as Millis);
    // A timer may fire marginally early.
    replica.on_timeout(deadline - 0.001);
    assert_eq!((replica.version(), replica.epoch()), (2, 3 << 8 | 2));
    // An implausibly distant epoch, here the last possible one, is adopted once it is repeated.
    for _ in 0..3 {
        replica.handle_announcement(70_000.0, Member(1), 5, NEW, 1 << 56 | 2);
    }
    assert_eq!(replica.epoch(), 1 << 56 | 2);
    // With no epoch left, the version still follows a member that supports less.
    replica.handle_announcement(80_000.0, Member(1), 6, OLD, 1);
    assert_eq!(replica.version(), 1);
    // An old replica that was once announced as supporting more limits the version again by its own announcements.
    replica.handle_announcement(80_000.0, Member(1), 99, NEW, 0);
    for _ in 0..3 {
        replica.handle_announcement(80_000.0, Member(1), 6, OLD, 1);
    }
    assert_eq!(replica.version(), 1);
}

#[test]
fn replica_paused_past_step_up_restarts_the_delay() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(1_000);
    tier.stop(2);
    tier.run(FAILURE_TIMEOUT as u64 + STEP_UP_DELAY / 2);
    tier.stop(0);
    tier.run(STEP_UP_DELAY);
    let replica = &mut tier.replicas[0].negotiation;
    let deadline = replica
        .next_timeout()
        .expect("a step up scheduled before the pause");
    replica.on_timeout(deadline + 20_000.0);
    assert_eq!((replica.version(), replica.steps()), (1, 0));
    assert_eq!(
        replica.next_timeout(),
        Some(deadline + 20_000.0 + STEP_UP_DELAY as Millis)
    );
}
