//! The hard cases of an upgrade, each on injected time. What holds in every state is in `version_model.rs`; here is how
//! soon, how often and with which notifications.
use balancer_gossip::versions::rules::{
    FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, STABLE_AFTER, STEP_UP_DELAY,
};
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, Millis, VersionRange};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const OLD: VersionRange = VersionRange { min: 1, max: 1 };
const NEW: VersionRange = VersionRange { min: 1, max: 2 };
/// Each replica writes to each other so often, and is taken for gone after so long a silence.
const SEND_INTERVAL: Millis = 100.0;
const FAILURE_TIMEOUT: Millis = 2_000.0;

/// What a datagram's header says of its sender.
struct Header {
    incarnation: u64,
    supported_versions: VersionRange,
    epoch: u64,
    version: u8,
}

/// A replica, with what stands in for its membership: when it last acted on a datagram of each other.
struct Replica {
    negotiation: VersionNegotiation,
    supported_versions: VersionRange,
    incarnation: u64,
    last_received: Vec<Millis>,
    is_running: bool,
}

impl Replica {
    fn up(&self, now: Millis) -> Vec<Member> {
        let up = self
            .last_received
            .iter()
            .enumerate()
            .filter(|(_, &last_received)| last_received + FAILURE_TIMEOUT > now);
        up.map(|(i, _)| Member(i as u16)).collect()
    }

    fn take(&mut self, now: Millis, from: usize, header: &Header) {
        let Header {
            incarnation,
            supported_versions,
            epoch,
            version,
        } = *header;
        self.negotiation.handle_announcement(
            now,
            Member(from as u16),
            incarnation,
            supported_versions,
            epoch,
        );
        if self.negotiation.accepts(version, epoch) {
            assert!(
                version <= self.supported_versions.max
                    && (version == 1 || epoch == self.negotiation.epoch())
            );
            self.last_received[from] = now;
            self.negotiation.handle_members(now, &self.up(now));
        }
    }

    fn header(&self) -> Header {
        Header {
            incarnation: self.incarnation,
            supported_versions: self.supported_versions,
            epoch: self.negotiation.epoch(),
            version: self.negotiation.version(),
        }
    }

    fn notifications(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.negotiation.poll_notification())
            .map(|announced| announced.0)
            .collect()
    }
}

struct Tier {
    replicas: Vec<Replica>,
    now: Millis,
    /// Of a hundred datagrams so many are lost.
    lost: u32,
    /// Datagrams between replicas on different sides of this place are lost.
    partition: Option<usize>,
    rng: Pcg32,
}

impl Tier {
    fn start(all: &[VersionRange]) -> Tier {
        let replica = |&supported_versions: &VersionRange| Replica {
            negotiation: VersionNegotiation::new(supported_versions),
            supported_versions,
            incarnation: 1,
            last_received: vec![-FAILURE_TIMEOUT; all.len()],
            is_running: true,
        };
        let replicas = all.iter().map(replica).collect();
        Tier {
            replicas,
            now: 0.0,
            lost: 10,
            partition: None,
            rng: Pcg32::seed_from_u64(7),
        }
    }

    fn stop(&mut self, replica: usize) {
        self.replicas[replica].is_running = false;
    }

    /// A new process with nothing remembered.
    fn restart(&mut self, replica: usize, supported_versions: VersionRange) {
        let it = &mut self.replicas[replica];
        it.negotiation = VersionNegotiation::new(supported_versions);
        (it.supported_versions, it.incarnation, it.is_running) =
            (supported_versions, it.incarnation + 1, true);
        it.last_received.fill(-FAILURE_TIMEOUT);
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span as Millis;
        while self.now < end {
            self.now += SEND_INTERVAL;
            for replica in self
                .replicas
                .iter_mut()
                .filter(|replica| replica.is_running)
            {
                replica
                    .negotiation
                    .handle_members(self.now, &replica.up(self.now));
                if replica
                    .negotiation
                    .next_timeout()
                    .is_some_and(|deadline| deadline <= self.now)
                {
                    replica.negotiation.on_timeout(self.now);
                }
            }
            let replicas = self.replicas.len();
            for (from, to) in (0..replicas * replicas).map(|i| (i / replicas, i % replicas)) {
                let incompatible = self
                    .partition
                    .is_some_and(|partition| (from < partition) != (to < partition));
                let lost = self.rng.next_u32() % 100 < self.lost;
                if from != to
                    && self.replicas[from].is_running
                    && self.replicas[to].is_running
                    && !incompatible
                    && !lost
                {
                    let header = self.replicas[from].header();
                    self.replicas[to].take(self.now, from, &header);
                }
            }
        }
    }

    /// What the running replicas speak, each thing once.
    fn versions_spoken(&self) -> Vec<u8> {
        let running = self.replicas.iter().filter(|replica| replica.is_running);
        let mut all: Vec<u8> = running
            .map(|replica| replica.negotiation.version())
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

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
            "version 1 and not 2, by agreement 1: member 5 reads 1 to 1"
        );
    }
    tier.stop(5);
    tier.run(FAILURE_TIMEOUT as u64 + MAX_STEP_UP_DELAY);
    assert!(tier.replicas[..5]
        .iter()
        .all(|replica| replica.negotiation.version() == 2));
}

#[test]
fn a_replica_that_was_paused_acts_on_no_earlier_agreement() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW]);
    tier.run(3_000);
    // One is paused, and meanwhile another is rolled back and upgraded again.
    tier.stop(4);
    let before = tier.replicas[4].header();
    tier.restart(0, OLD);
    tier.run(30_000);
    assert_eq!(tier.versions_spoken(), [1]);
    assert!(!tier.replicas[1]
        .negotiation
        .accepts(before.version, before.epoch));
    tier.restart(0, NEW);
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.versions_spoken(), [2]);
    assert_eq!(before.version, 2);
    assert!(
        !tier.replicas[1]
            .negotiation
            .accepts(before.version, before.epoch),
        "the same version of an earlier agreement"
    );
    tier.replicas[4].is_running = true;
    tier.run(300);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.epoch() == tier.replicas[1].negotiation.epoch()));
}

#[test]
fn what_comes_a_minute_late_holds_nothing_up() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(3_000);
    let late = tier.replicas[2].header();
    tier.restart(2, NEW);
    tier.run(STEP_UP_DELAY + 1_000);
    tier.run(60_000);
    for _ in 0..2 {
        tier.replicas[0].take(tier.now, 2, &late);
    }
    assert_eq!(tier.versions_spoken(), [2]);
    // A late header of a replica that is gone: nobody takes it for live by its header, and the version stays.
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

#[test]
fn a_newcomer_whom_nobody_knows_is_spoken_to_in_the_lowest_version() {
    let mut replica = VersionNegotiation::new(NEW);
    let agreed = 9 << 8 | 2;
    replica.handle_announcement(0.0, Member(1), 1, NEW, agreed);
    replica.handle_members(0.0, &[Member(1)]);
    assert_eq!((replica.version(), replica.epoch()), (2, agreed));
    // One whose announcement was passed on together with its being up changes nothing.
    replica.handle_announcement(1.0, Member(2), 1, NEW, 0);
    replica.handle_members(1.0, &[Member(1), Member(2)]);
    assert_eq!(replica.version(), 2);
    // One whose versions nobody has announced.
    replica.handle_members(2.0, &[Member(1), Member(2), Member(3)]);
    assert_eq!((replica.version(), replica.epoch()), (1, 10 << 8 | 1));
    assert!(!replica.accepts(2, agreed) && replica.accepts(1, 1));
    // A newcomer's own beginning is no agreement that anybody follows.
    replica.handle_announcement(3.0, Member(3), 1, NEW, 1);
    assert_eq!(replica.epoch(), 10 << 8 | 1);
    assert_eq!(
        replica.next_timeout(),
        Some(3.0 + 2.0 * STEP_UP_DELAY as Millis)
    );
}

#[test]
fn what_is_garbled_or_forged_does_no_lasting_harm() {
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
        // In between it goes on saying what is so.
        replica.handle_announcement(1.0, Member(1), 5, supported_versions, epoch);
        for _ in 0..3 {
            replica.handle_announcement(2.0, Member(1), 5, NEW, agreed);
        }
        assert!(
            replica.epoch() >> 8 <= 2,
            "{supported_versions:?} {epoch:x}"
        );
    }
    // One garbled announcement of less was acted on at once, as it had to be, and is over after the step-up delay.
    assert_eq!((replica.version(), replica.epoch()), (1, 2 << 8 | 1));
    let deadline = replica.next_timeout().expect("a step up to wait for");
    assert!(deadline <= 2.0 + MAX_STEP_UP_DELAY as Millis);
    // A timer may fire a hair early.
    replica.on_timeout(deadline - 0.001);
    assert_eq!((replica.version(), replica.epoch()), (2, 3 << 8 | 2));
    // A tier that is really that far ahead is followed, and one step above it still has a number.
    for _ in 0..3 {
        replica.handle_announcement(70_000.0, Member(1), 5, NEW, 1 << 56 | 2);
    }
    assert_eq!(replica.epoch(), 1 << 56 | 2);
    // At the last of all numbers the version still goes down with what a member reads.
    replica.handle_announcement(80_000.0, Member(1), 6, OLD, 1);
    assert_eq!(replica.version(), 1);
    // An old replica that was announced once as reading more limits the version again by its own announcement.
    replica.handle_announcement(80_000.0, Member(1), 99, NEW, 0);
    for _ in 0..3 {
        replica.handle_announcement(80_000.0, Member(1), 6, OLD, 1);
    }
    assert_eq!(replica.version(), 1);
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
fn a_replica_that_slept_past_its_step_up_listens_first() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(1_000);
    tier.stop(2);
    tier.run(FAILURE_TIMEOUT as u64 + STEP_UP_DELAY / 2);
    tier.stop(0);
    tier.run(STEP_UP_DELAY);
    let replica = &mut tier.replicas[0].negotiation;
    let deadline = replica
        .next_timeout()
        .expect("it waited when it was paused");
    replica.on_timeout(deadline + 20_000.0);
    assert_eq!((replica.version(), replica.steps()), (1, 0));
    assert_eq!(
        replica.next_timeout(),
        Some(deadline + 20_000.0 + STEP_UP_DELAY as Millis)
    );
}
