//! The hard cases of an upgrade, each on injected time. What holds in every state is in `version_model.rs`; here is how
//! soon, how often and with which notifications.
use balancer_gossip::versions::rules::{
    FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, SETTLED_AFTER, STEP_UP_DELAY,
};
use balancer_gossip::versions::Negotiation;
use balancer_gossip::{Member, Millis, Versions};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const OLD: Versions = Versions { least: 1, most: 1 };
const NEW: Versions = Versions { least: 1, most: 2 };
/// Each replica writes to each other so often, and is taken for gone after so long a silence.
const EVERY: Millis = 100.0;
const GONE: Millis = 2_000.0;

/// A replica, with what stands in for its membership: when it last acted on a datagram of each other.
struct Replica {
    negotiation: Negotiation,
    reads: Versions,
    incarnation: u64,
    last_received: Vec<Millis>,
    runs: bool,
}

impl Replica {
    fn up(&self, now: Millis) -> Vec<Member> {
        let up = self
            .last_received
            .iter()
            .enumerate()
            .filter(|(_, &last_received)| last_received + GONE > now);
        up.map(|(i, _)| Member(i as u16)).collect()
    }

    fn take(&mut self, now: Millis, from: usize, of: &(u64, Versions, u64, u8)) {
        let &(incarnation, reads, epoch, version) = of;
        self.negotiation
            .received(now, Member(from as u16), incarnation, reads, epoch);
        if self.negotiation.accepts(version, epoch) {
            assert!(
                version <= self.reads.most && (version == 1 || epoch == self.negotiation.epoch())
            );
            self.last_received[from] = now;
            self.negotiation.members(now, &self.up(now));
        }
    }

    fn header(&self) -> (u64, Versions, u64, u8) {
        (
            self.incarnation,
            self.reads,
            self.negotiation.epoch(),
            self.negotiation.speaks(),
        )
    }

    fn lines(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.negotiation.next_notification())
            .map(|told| told.0)
            .collect()
    }
}

struct Tier {
    replicas: Vec<Replica>,
    now: Millis,
    /// Of a hundred datagrams so many are lost.
    lost: u32,
    /// Datagrams between replicas on different sides of this place are lost.
    cut: Option<usize>,
    draws: Pcg32,
}

impl Tier {
    fn start(all: &[Versions]) -> Tier {
        let replica = |&reads: &Versions| Replica {
            negotiation: Negotiation::new(reads, 0.0),
            reads,
            incarnation: 1,
            last_received: vec![-GONE; all.len()],
            runs: true,
        };
        let replicas = all.iter().map(replica).collect();
        Tier {
            replicas,
            now: 0.0,
            lost: 10,
            cut: None,
            draws: Pcg32::seed_from_u64(7),
        }
    }

    fn stop(&mut self, replica: usize) {
        self.replicas[replica].runs = false;
    }

    /// A new process with nothing remembered.
    fn restart(&mut self, replica: usize, reads: Versions) {
        let it = &mut self.replicas[replica];
        it.negotiation = Negotiation::new(reads, self.now);
        (it.reads, it.incarnation, it.runs) = (reads, it.incarnation + 1, true);
        it.last_received.fill(-GONE);
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span as Millis;
        while self.now < end {
            self.now += EVERY;
            for replica in self.replicas.iter_mut().filter(|replica| replica.runs) {
                replica.negotiation.members(self.now, &replica.up(self.now));
                if replica
                    .negotiation
                    .next_timeout()
                    .is_some_and(|due| due <= self.now)
                {
                    replica.negotiation.timeout(self.now);
                }
            }
            let replicas = self.replicas.len();
            for (from, to) in (0..replicas * replicas).map(|i| (i / replicas, i % replicas)) {
                let incompatible = self.cut.is_some_and(|cut| (from < cut) != (to < cut));
                let lost = self.draws.next_u32() % 100 < self.lost;
                if from != to
                    && self.replicas[from].runs
                    && self.replicas[to].runs
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
    fn speaks(&self) -> Vec<u8> {
        let running = self.replicas.iter().filter(|replica| replica.runs);
        let mut all: Vec<u8> = running
            .map(|replica| replica.negotiation.speaks())
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
    assert_eq!(tier.speaks(), [2]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() == 1));
}

#[test]
fn a_rolling_upgrade_and_its_way_back() {
    let mut tier = Tier::start(&[OLD; 24]);
    tier.run(3_000);
    let upgrade =
        |tier: &mut Tier, replicas: std::ops::Range<usize>, reads: Versions, speak: u8| {
            for replica in replicas {
                tier.stop(replica);
                tier.run(500);
                tier.restart(replica, reads);
                for _ in 0..10 {
                    tier.run(100);
                    let running = tier
                        .replicas
                        .iter()
                        .enumerate()
                        .filter(|(i, _)| speak == 1 || *i != replica);
                    for (_, replica) in running {
                        assert_eq!(replica.negotiation.speaks(), speak);
                    }
                }
            }
        };
    // Half of it, and back; then all of it.
    upgrade(&mut tier, 0..12, NEW, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.speaks(), [1]);
    upgrade(&mut tier, 0..12, OLD, 1);
    upgrade(&mut tier, 0..24, NEW, 1);
    tier.run(STEP_UP_DELAY);
    assert_eq!(tier.speaks(), [2]);
    // A restart within the new build changes nothing for the others.
    upgrade(&mut tier, 0..3, NEW, 2);
    tier.run(SETTLED_AFTER);
    // The first one back takes all down as soon as it is received.
    tier.restart(5, OLD);
    tier.run(300);
    assert_eq!(tier.speaks(), [1]);
    upgrade(&mut tier, 0..24, OLD, 1);
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.speaks(), [1]);
}

#[test]
fn a_zone_that_was_cut_off_while_the_others_were_upgraded() {
    let mut tier = Tier::start(&[OLD; 12]);
    tier.run(3_000);
    tier.cut = Some(4);
    (4..12).for_each(|replica| tier.restart(replica, NEW));
    tier.run(GONE as u64 + STEP_UP_DELAY + 1_000);
    assert!(tier.replicas[4..]
        .iter()
        .all(|replica| replica.negotiation.speaks() == 2));
    assert!(tier.replicas[..4]
        .iter()
        .all(|replica| replica.negotiation.speaks() == 1));
    tier.cut = None;
    tier.run(300);
    assert_eq!(tier.speaks(), [1]);
    (0..4).for_each(|replica| tier.restart(replica, NEW));
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.speaks(), [2]);
    let epoch = tier.replicas[0].negotiation.epoch();
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.epoch() == epoch));
}

#[test]
fn an_old_copy_in_a_crash_loop_makes_no_flapping() {
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
        let lines = replica.lines();
        assert_eq!(lines.len(), 5, "{lines:?}");
        assert_eq!(
            lines[0],
            "version 1 and not 2, by agreement 1: member 5 reads 1 to 1"
        );
    }
    tier.stop(5);
    tier.run(GONE as u64 + MAX_STEP_UP_DELAY);
    assert!(tier.replicas[..5]
        .iter()
        .all(|replica| replica.negotiation.speaks() == 2));
}

#[test]
fn a_copy_that_was_paused_acts_on_no_earlier_agreement() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW]);
    tier.run(3_000);
    // One is paused, and meanwhile another is rolled back and upgraded again.
    tier.stop(4);
    let before = tier.replicas[4].header();
    tier.restart(0, OLD);
    tier.run(30_000);
    assert_eq!(tier.speaks(), [1]);
    assert!(!tier.replicas[1].negotiation.accepts(before.3, before.2));
    tier.restart(0, NEW);
    tier.run(STEP_UP_DELAY * 2 + 1_000);
    assert_eq!(tier.speaks(), [2]);
    assert_eq!(before.3, 2);
    assert!(
        !tier.replicas[1].negotiation.accepts(before.3, before.2),
        "the same version of an earlier agreement"
    );
    tier.replicas[4].runs = true;
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
    assert_eq!(tier.speaks(), [2]);
    // A late header of a replica that is gone: nobody takes it for live by its header, and the version stays.
    tier.stop(1);
    let late = (tier.replicas[1].incarnation, OLD, 1, 1);
    tier.run(10_000);
    let now = tier.now;
    tier.replicas[0]
        .negotiation
        .received(now, Member(1), late.0, late.1, late.2);
    assert_eq!(tier.speaks(), [2]);
}

#[test]
fn groups_with_nothing_in_common_stay_apart_and_say_so_once() {
    let only_new = Versions { least: 2, most: 2 };
    let mut tier = Tier::start(&[OLD, OLD, only_new, only_new]);
    tier.run(60_000);
    for (i, replica) in tier.replicas.iter_mut().enumerate() {
        assert_eq!(replica.negotiation.speaks(), if i < 2 { 1 } else { 2 });
        assert_eq!(replica.negotiation.steps(), 0);
        let others: Vec<usize> = replica
            .up(tier.now)
            .iter()
            .map(|member| usize::from(member.0))
            .collect();
        assert_eq!(others, [[1], [0], [3], [2]][i]);
        let lines = replica.lines();
        assert_eq!(lines.len(), 2, "one for each of the other group: {lines:?}");
        assert!(lines
            .iter()
            .all(|line| line.starts_with("no version in common with member")));
    }
    let mut between = Negotiation::new(NEW, 0.0);
    between.received(0.0, Member(2), 1, only_new, 2);
    between.received(0.0, Member(0), 1, OLD, 1);
    between.members(0.0, &[Member(0), Member(2)]);
    assert_eq!(between.speaks(), 1);
    let incompatible = |member| between.incompatible(Member(member));
    assert_eq!((incompatible(0), incompatible(2)), (None, Some(only_new)));
}

#[test]
fn a_newcomer_whom_nobody_knows_is_spoken_to_in_the_lowest_version() {
    let mut replica = Negotiation::new(NEW, 0.0);
    let agreed = 9 << 8 | 2;
    replica.received(0.0, Member(1), 1, NEW, agreed);
    replica.members(0.0, &[Member(1)]);
    assert_eq!((replica.speaks(), replica.epoch()), (2, agreed));
    // One whose announcement was passed on together with its being up changes nothing.
    replica.received(1.0, Member(2), 1, NEW, 0);
    replica.members(1.0, &[Member(1), Member(2)]);
    assert_eq!(replica.speaks(), 2);
    // One whose versions nobody has announced.
    replica.members(2.0, &[Member(1), Member(2), Member(3)]);
    assert_eq!((replica.speaks(), replica.epoch()), (1, 10 << 8 | 1));
    assert!(!replica.accepts(2, agreed) && replica.accepts(1, 1));
    // A newcomer's own beginning is no agreement that anybody follows.
    replica.received(3.0, Member(3), 1, NEW, 1);
    assert_eq!(replica.epoch(), 10 << 8 | 1);
    assert_eq!(
        replica.next_timeout(),
        Some(3.0 + 2.0 * STEP_UP_DELAY as Millis)
    );
}

#[test]
fn what_is_garbled_or_forged_does_no_lasting_harm() {
    let mut replica = Negotiation::new(NEW, 0.0);
    let agreed = 1 << 8 | 2;
    replica.received(0.0, Member(1), 5, NEW, agreed);
    replica.members(0.0, &[Member(1)]);
    for (reads, epoch) in [
        (NEW, u64::MAX),
        (NEW, u64::MAX - 0xff + 2),
        (NEW, 1 << 40 | 2),
        (NEW, 7 << 8 | 9),
        (NEW, 7 << 8),
        (OLD, 0),
        (
            Versions {
                least: 0,
                most: 255,
            },
            8 << 8 | 2,
        ),
        (Versions { least: 2, most: 1 }, 8 << 8 | 2),
    ] {
        // In between it goes on saying what is so.
        replica.received(1.0, Member(1), 5, reads, epoch);
        for _ in 0..3 {
            replica.received(2.0, Member(1), 5, NEW, agreed);
        }
        assert!(replica.epoch() >> 8 <= 2, "{reads:?} {epoch:x}");
    }
    // One garbled announcement of less was acted on at once, as it had to be, and is over after the step-up delay.
    assert_eq!((replica.speaks(), replica.epoch()), (1, 2 << 8 | 1));
    let due = replica.next_timeout().expect("a step up to wait for");
    assert!(due <= 2.0 + MAX_STEP_UP_DELAY as Millis);
    // A timer may fire a hair early.
    replica.timeout(due - 0.001);
    assert_eq!((replica.speaks(), replica.epoch()), (2, 3 << 8 | 2));
    // A tier that is really that far ahead is followed, and one step above it still has a number.
    for _ in 0..3 {
        replica.received(70_000.0, Member(1), 5, NEW, 1 << 56 | 2);
    }
    assert_eq!(replica.epoch(), 1 << 56 | 2);
    // At the last of all numbers the version still goes down with what a member reads.
    replica.received(80_000.0, Member(1), 6, OLD, 1);
    assert_eq!(replica.speaks(), 1);
    // An old replica that was announced once as reading more limits the version again by its own announcement.
    replica.received(80_000.0, Member(1), 99, NEW, 0);
    for _ in 0..3 {
        replica.received(80_000.0, Member(1), 6, OLD, 1);
    }
    assert_eq!(replica.speaks(), 1);
}

#[test]
fn all_at_once_restarted_into_a_mix_with_pins_that_are_taken_off() {
    let mut tier = Tier::start(&[NEW; 12]);
    tier.run(3_000);
    // A pin is a narrower range; the others can't tell it from an old build.
    (0..12).for_each(|replica| tier.restart(replica, if replica % 3 == 0 { OLD } else { NEW }));
    tier.run(30_000);
    assert_eq!(tier.speaks(), [1]);
    assert!(tier
        .replicas
        .iter()
        .all(|replica| replica.negotiation.steps() <= 2));
    (0..12)
        .filter(|replica| replica % 3 == 0)
        .for_each(|replica| tier.restart(replica, NEW));
    tier.run(MAX_STEP_UP_DELAY);
    assert_eq!(tier.speaks(), [2]);
}

#[test]
fn a_copy_that_slept_past_its_step_up_listens_first() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(1_000);
    tier.stop(2);
    tier.run(GONE as u64 + STEP_UP_DELAY / 2);
    tier.stop(0);
    tier.run(STEP_UP_DELAY);
    let replica = &mut tier.replicas[0].negotiation;
    let due = replica
        .next_timeout()
        .expect("it waited when it was paused");
    replica.timeout(due + 20_000.0);
    assert_eq!((replica.speaks(), replica.steps()), (1, 0));
    assert_eq!(
        replica.next_timeout(),
        Some(due + 20_000.0 + STEP_UP_DELAY as Millis)
    );
}
