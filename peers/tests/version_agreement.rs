//! The hard cases of an upgrade, each on injected time. What holds in every state is in `version_model.rs`; here is how soon,
//! how often and what is told.
use oakflow_peers::versions::rules::{CALM, PATIENCE, PATIENCE_FIRST, PATIENCE_MOST};
use oakflow_peers::versions::Negotiation;
use oakflow_peers::{Member, Millis, Versions};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const OLD: Versions = Versions { least: 1, most: 1 };
const NEW: Versions = Versions { least: 1, most: 2 };
/// Each copy writes to each other so often, and is taken for gone after so long a silence.
const EVERY: Millis = 100.0;
const GONE: Millis = 2_000.0;

/// A copy, with what stands in for its membership: when it last acted on a datagram of each other.
struct Copy {
    negotiation: Negotiation,
    reads: Versions,
    incarnation: u64,
    heard: Vec<Millis>,
    runs: bool,
}

impl Copy {
    fn up(&self, now: Millis) -> Vec<Member> {
        let up = self.heard.iter().enumerate().filter(|(_, &heard)| heard + GONE > now);
        up.map(|(i, _)| Member(i as u16)).collect()
    }

    fn take(&mut self, now: Millis, from: usize, of: &(u64, Versions, u64, u8)) {
        let &(incarnation, reads, epoch, version) = of;
        self.negotiation.heard(now, Member(from as u16), incarnation, reads, epoch);
        if self.negotiation.accepts(version, epoch) {
            assert!(version <= self.reads.most && (version == 1 || epoch == self.negotiation.epoch()));
            self.heard[from] = now;
            self.negotiation.members(now, &self.up(now));
        }
    }

    fn header(&self) -> (u64, Versions, u64, u8) {
        (self.incarnation, self.reads, self.negotiation.epoch(), self.negotiation.speaks())
    }

    fn lines(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.negotiation.told()).map(|told| told.0).collect()
    }
}

struct Tier {
    copies: Vec<Copy>,
    now: Millis,
    /// Of a hundred datagrams so many are lost.
    lost: u32,
    /// Datagrams between copies on different sides of this place are lost.
    cut: Option<usize>,
    draws: Pcg32,
}

impl Tier {
    fn start(all: &[Versions]) -> Tier {
        let copy = |&reads: &Versions| Copy {
            negotiation: Negotiation::new(reads, 0.0),
            reads,
            incarnation: 1,
            heard: vec![-GONE; all.len()],
            runs: true,
        };
        let copies = all.iter().map(copy).collect();
        Tier { copies, now: 0.0, lost: 10, cut: None, draws: Pcg32::seed_from_u64(7) }
    }

    fn stop(&mut self, copy: usize) {
        self.copies[copy].runs = false;
    }

    /// A new process with nothing remembered.
    fn restart(&mut self, copy: usize, reads: Versions) {
        let it = &mut self.copies[copy];
        it.negotiation = Negotiation::new(reads, self.now);
        (it.reads, it.incarnation, it.runs) = (reads, it.incarnation + 1, true);
        it.heard.fill(-GONE);
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span as Millis;
        while self.now < end {
            self.now += EVERY;
            for copy in self.copies.iter_mut().filter(|copy| copy.runs) {
                copy.negotiation.members(self.now, &copy.up(self.now));
                if copy.negotiation.next_timeout().is_some_and(|due| due <= self.now) {
                    copy.negotiation.timeout(self.now);
                }
            }
            let copies = self.copies.len();
            for (from, to) in (0..copies * copies).map(|i| (i / copies, i % copies)) {
                let apart = self.cut.is_some_and(|cut| (from < cut) != (to < cut));
                let lost = self.draws.next_u32() % 100 < self.lost;
                if from != to && self.copies[from].runs && self.copies[to].runs && !apart && !lost {
                    let header = self.copies[from].header();
                    self.copies[to].take(self.now, from, &header);
                }
            }
        }
    }

    /// What the running copies speak, each thing once.
    fn speaks(&self) -> Vec<u8> {
        let running = self.copies.iter().filter(|copy| copy.runs);
        let mut all: Vec<u8> = running.map(|copy| copy.negotiation.speaks()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

#[test]
fn a_tier_that_starts_together_agrees_within_two_seconds() {
    let mut tier = Tier::start(&[NEW; 24]);
    tier.lost = 30;
    tier.run(PATIENCE_FIRST + 700);
    assert_eq!(tier.speaks(), [2]);
    assert!(tier.copies.iter().all(|copy| copy.negotiation.steps() == 1));
}

#[test]
fn a_rolling_upgrade_and_its_way_back() {
    let mut tier = Tier::start(&[OLD; 24]);
    tier.run(3_000);
    let upgrade = |tier: &mut Tier, copies: std::ops::Range<usize>, reads: Versions, speak: u8| {
        for copy in copies {
            tier.stop(copy);
            tier.run(500);
            tier.restart(copy, reads);
            for _ in 0..10 {
                tier.run(100);
                let running = tier.copies.iter().enumerate().filter(|(i, _)| speak == 1 || *i != copy);
                for (_, copy) in running {
                    assert_eq!(copy.negotiation.speaks(), speak);
                }
            }
        }
    };
    // Half of it, and back; then all of it.
    upgrade(&mut tier, 0..12, NEW, 1);
    tier.run(PATIENCE_MOST);
    assert_eq!(tier.speaks(), [1]);
    upgrade(&mut tier, 0..12, OLD, 1);
    upgrade(&mut tier, 0..24, NEW, 1);
    tier.run(PATIENCE);
    assert_eq!(tier.speaks(), [2]);
    // A restart within the new build changes nothing for the others.
    upgrade(&mut tier, 0..3, NEW, 2);
    tier.run(CALM);
    // The first one back takes all down as soon as it is heard.
    tier.restart(5, OLD);
    tier.run(300);
    assert_eq!(tier.speaks(), [1]);
    upgrade(&mut tier, 0..24, OLD, 1);
    tier.run(PATIENCE_MOST);
    assert_eq!(tier.speaks(), [1]);
}

#[test]
fn a_zone_that_was_cut_off_while_the_others_were_upgraded() {
    let mut tier = Tier::start(&[OLD; 12]);
    tier.run(3_000);
    tier.cut = Some(4);
    (4..12).for_each(|copy| tier.restart(copy, NEW));
    tier.run(GONE as u64 + PATIENCE + 1_000);
    assert!(tier.copies[4..].iter().all(|copy| copy.negotiation.speaks() == 2));
    assert!(tier.copies[..4].iter().all(|copy| copy.negotiation.speaks() == 1));
    tier.cut = None;
    tier.run(300);
    assert_eq!(tier.speaks(), [1]);
    (0..4).for_each(|copy| tier.restart(copy, NEW));
    tier.run(PATIENCE * 2 + 1_000);
    assert_eq!(tier.speaks(), [2]);
    let epoch = tier.copies[0].negotiation.epoch();
    assert!(tier.copies.iter().all(|copy| copy.negotiation.epoch() == epoch));
}

#[test]
fn an_old_copy_in_a_crash_loop_makes_no_flapping() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW, OLD]);
    // Up for 1 s and down for 14 s, for ten minutes: long enough for the shortest patience, not for the longest.
    for _ in 0..40 {
        tier.run(1_000);
        tier.stop(5);
        tier.run(14_000);
        tier.restart(5, OLD);
    }
    for copy in &mut tier.copies[..5] {
        // Held at first, up after 5 s and after 10 s, down each time, and then no more.
        assert_eq!(copy.negotiation.steps(), 4);
        let lines = copy.lines();
        assert_eq!(lines.len(), 5, "{lines:?}");
        assert_eq!(lines[0], "version 1 and not 2, by agreement 1: member 5 reads 1 to 1");
    }
    tier.stop(5);
    tier.run(GONE as u64 + PATIENCE_MOST);
    assert!(tier.copies[..5].iter().all(|copy| copy.negotiation.speaks() == 2));
}

#[test]
fn a_copy_that_was_paused_acts_on_no_earlier_agreement() {
    let mut tier = Tier::start(&[NEW, NEW, NEW, NEW, NEW]);
    tier.run(3_000);
    // One is paused, and meanwhile another is rolled back and upgraded again.
    tier.stop(4);
    let before = tier.copies[4].header();
    tier.restart(0, OLD);
    tier.run(30_000);
    assert_eq!(tier.speaks(), [1]);
    assert!(!tier.copies[1].negotiation.accepts(before.3, before.2));
    tier.restart(0, NEW);
    tier.run(PATIENCE * 2 + 1_000);
    assert_eq!(tier.speaks(), [2]);
    assert_eq!(before.3, 2);
    assert!(
        !tier.copies[1].negotiation.accepts(before.3, before.2),
        "the same version of an earlier agreement"
    );
    tier.copies[4].runs = true;
    tier.run(300);
    assert!(tier.copies.iter().all(|copy| copy.negotiation.epoch() == tier.copies[1].negotiation.epoch()));
}

#[test]
fn what_comes_a_minute_late_holds_nothing_up() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(3_000);
    let late = tier.copies[2].header();
    tier.restart(2, NEW);
    tier.run(PATIENCE + 1_000);
    tier.run(60_000);
    for _ in 0..2 {
        tier.copies[0].take(tier.now, 2, &late);
    }
    assert_eq!(tier.speaks(), [2]);
    // Late word of a copy that is gone: nobody takes it for live by its header, and the version stays.
    tier.stop(1);
    let late = (tier.copies[1].incarnation, OLD, 1, 1);
    tier.run(10_000);
    let now = tier.now;
    tier.copies[0].negotiation.heard(now, Member(1), late.0, late.1, late.2);
    assert_eq!(tier.speaks(), [2]);
}

#[test]
fn groups_with_nothing_in_common_stay_apart_and_say_so_once() {
    let only_new = Versions { least: 2, most: 2 };
    let mut tier = Tier::start(&[OLD, OLD, only_new, only_new]);
    tier.run(60_000);
    for (i, copy) in tier.copies.iter_mut().enumerate() {
        assert_eq!(copy.negotiation.speaks(), if i < 2 { 1 } else { 2 });
        assert_eq!(copy.negotiation.steps(), 0);
        let others: Vec<usize> = copy.up(tier.now).iter().map(|member| usize::from(member.0)).collect();
        assert_eq!(others, [[1], [0], [3], [2]][i]);
        let lines = copy.lines();
        assert_eq!(lines.len(), 2, "one for each of the other group: {lines:?}");
        assert!(lines.iter().all(|line| line.starts_with("no version in common with member")));
    }
    let mut between = Negotiation::new(NEW, 0.0);
    between.heard(0.0, Member(2), 1, only_new, 2);
    between.heard(0.0, Member(0), 1, OLD, 1);
    between.members(0.0, &[Member(0), Member(2)]);
    assert_eq!(between.speaks(), 1);
    let apart = |member| between.apart(Member(member));
    assert_eq!((apart(0), apart(2)), (None, Some(only_new)));
}

#[test]
fn a_newcomer_whom_nobody_knows_is_spoken_to_in_the_lowest_version() {
    let mut copy = Negotiation::new(NEW, 0.0);
    let agreed = 9 << 8 | 2;
    copy.heard(0.0, Member(1), 1, NEW, agreed);
    copy.members(0.0, &[Member(1)]);
    assert_eq!((copy.speaks(), copy.epoch()), (2, agreed));
    // One whose announcement was passed on with the word that it is up changes nothing.
    copy.heard(1.0, Member(2), 1, NEW, 0);
    copy.members(1.0, &[Member(1), Member(2)]);
    assert_eq!(copy.speaks(), 2);
    // One of which nobody says what it reads.
    copy.members(2.0, &[Member(1), Member(2), Member(3)]);
    assert_eq!((copy.speaks(), copy.epoch()), (1, 10 << 8 | 1));
    assert!(!copy.accepts(2, agreed) && copy.accepts(1, 1));
    // A newcomer's own beginning is no agreement that anybody follows.
    copy.heard(3.0, Member(3), 1, NEW, 1);
    assert_eq!(copy.epoch(), 10 << 8 | 1);
    assert_eq!(copy.next_timeout(), Some(3.0 + 2.0 * PATIENCE as Millis));
}

#[test]
fn what_is_garbled_or_forged_does_no_lasting_harm() {
    let mut copy = Negotiation::new(NEW, 0.0);
    let agreed = 1 << 8 | 2;
    copy.heard(0.0, Member(1), 5, NEW, agreed);
    copy.members(0.0, &[Member(1)]);
    for (reads, epoch) in [
        (NEW, u64::MAX),
        (NEW, u64::MAX - 0xff + 2),
        (NEW, 1 << 40 | 2),
        (NEW, 7 << 8 | 9),
        (NEW, 7 << 8),
        (OLD, 0),
        (Versions { least: 0, most: 255 }, 8 << 8 | 2),
        (Versions { least: 2, most: 1 }, 8 << 8 | 2),
    ] {
        // In between it goes on saying what is so.
        copy.heard(1.0, Member(1), 5, reads, epoch);
        for _ in 0..3 {
            copy.heard(2.0, Member(1), 5, NEW, agreed);
        }
        assert!(copy.epoch() >> 8 <= 2, "{reads:?} {epoch:x}");
    }
    // One garbled announcement of less was acted on at once, as it had to be, and is over after the patience.
    assert_eq!((copy.speaks(), copy.epoch()), (1, 2 << 8 | 1));
    let due = copy.next_timeout().expect("a step up to wait for");
    assert!(due <= 2.0 + PATIENCE_MOST as Millis);
    // A timer may fire a hair early.
    copy.timeout(due - 0.001);
    assert_eq!((copy.speaks(), copy.epoch()), (2, 3 << 8 | 2));
    // A tier that is really that far ahead is followed, and one step above it still has a number.
    for _ in 0..3 {
        copy.heard(70_000.0, Member(1), 5, NEW, 1 << 56 | 2);
    }
    assert_eq!(copy.epoch(), 1 << 56 | 2);
    // At the last of all numbers the version still goes down with what a member reads.
    copy.heard(80_000.0, Member(1), 6, OLD, 1);
    assert_eq!(copy.speaks(), 1);
    // An old copy that is said once to read more holds the version down again with its own word.
    copy.heard(80_000.0, Member(1), 99, NEW, 0);
    for _ in 0..3 {
        copy.heard(80_000.0, Member(1), 6, OLD, 1);
    }
    assert_eq!(copy.speaks(), 1);
}

#[test]
fn all_at_once_restarted_into_a_mix_with_pins_that_are_taken_off() {
    let mut tier = Tier::start(&[NEW; 12]);
    tier.run(3_000);
    // A pin is a narrower range; the others can't tell it from an old build.
    (0..12).for_each(|copy| tier.restart(copy, if copy % 3 == 0 { OLD } else { NEW }));
    tier.run(30_000);
    assert_eq!(tier.speaks(), [1]);
    assert!(tier.copies.iter().all(|copy| copy.negotiation.steps() <= 2));
    (0..12).filter(|copy| copy % 3 == 0).for_each(|copy| tier.restart(copy, NEW));
    tier.run(PATIENCE_MOST);
    assert_eq!(tier.speaks(), [2]);
}

#[test]
fn a_copy_that_slept_past_its_step_up_listens_first() {
    let mut tier = Tier::start(&[NEW, NEW, OLD]);
    tier.run(1_000);
    tier.stop(2);
    tier.run(GONE as u64 + PATIENCE / 2);
    tier.stop(0);
    tier.run(PATIENCE);
    let copy = &mut tier.copies[0].negotiation;
    let due = copy.next_timeout().expect("it waited when it was paused");
    copy.timeout(due + 20_000.0);
    assert_eq!((copy.speaks(), copy.steps()), (1, 0));
    assert_eq!(copy.next_timeout(), Some(due + 20_000.0 + PATIENCE as Millis));
}
