//! Merges commute and repeat without harm, and stay within their bounds.
use proptest::prelude::*;

use balancer_gossip::knowledge::ages::Clocks;
use balancer_gossip::knowledge::sums::{self, Entries};
use balancer_gossip::knowledge::verdicts::{self, Verdicts};
use balancer_gossip::wire::v1::{Stance, Verdict};
use balancer_gossip::wire::v2::{Figure, Totals};
use balancer_gossip::{Figures, Member, Millis, Subject, TenantFigures};

fn totals() -> impl Strategy<Value = Totals> {
    (1..8_u16, 0..90_u8, 0.0..100.0_f64).prop_map(|(owner, age, value)| {
        let figure = Figure::of(value);
        Totals {
            owner,
            age,
            figures: [figure; 4],
        }
    })
}

fn verdict() -> impl Strategy<Value = Verdict> {
    (0..3_u64, 1..6_u16, 0..40_u16, 0..100_u8).prop_map(|(subject, observer, sequence, age)| {
        // What an observer sends under one sequence is one thing.
        let stance = if sequence % 3 == 0 {
            Stance::Cleared
        } else {
            Stance::Against
        };
        Verdict {
            subject: Subject::Upstream(subject),
            observer,
            zone: observer % 2,
            sequence,
            stance,
            age,
        }
    })
}

proptest! {
    #[test]
    fn sums_are_the_same_in_any_order_and_number(
        entries_read in prop::collection::vec(totals(), 0..30).prop_shuffle(), again in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let up: Vec<Member> = (0..8).map(Member).collect();
        let sums = |entries_read: &[Totals]| {
            let mut entries = Entries::new(Member(0), 8, 2);
            entries.observe(10_000.0, Figures { tenants: vec![TenantFigures::default()], ..Figures::default() });
            for entry in entries_read {
                entries.read(10_000.0, 5.0, Member(1), &[*entry], None, Vec::new());
            }
            entries.sums(10_000.0, &up)
        };
        let mut other: Vec<Totals> = entries_read.iter().rev().copied().collect();
        other.extend(again.iter().filter(|_| !entries_read.is_empty()).map(|at| entries_read[at.index(entries_read.len())]));
        let (one, two) = (sums(&entries_read), sums(&other));
        prop_assert_eq!(&one, &two);
        if let Some(sums) = one {
            prop_assert!(sums.age <= sums::TENANTS_MAX_AGE && sums.heard <= 8);
        }
    }

    #[test]
    fn verdicts_are_the_same_in_any_order_and_number(entries_read in prop::collection::vec(verdict(), 0..40)) {
        let evidence = |entries_read: &mut dyn Iterator<Item = &Verdict>| {
            let mut verdicts = Verdicts::new(Member(0), 0, 0);
            entries_read.for_each(|verdict| _ = verdicts.read(10_000.0, 5.0, verdict));
            verdicts.evidence(10_000.0)
        };
        let one = evidence(&mut entries_read.iter());
        prop_assert_eq!(&one, &evidence(&mut entries_read.iter().rev().chain(&entries_read)));
        prop_assert!(one.iter().all(|evidence| evidence.age <= verdicts::MAX_AGE));
    }

    #[test]
    fn no_flood_of_verdicts_makes_more_than_their_bounds(seed in any::<u64>(), many in 100..600_u64) {
        let mut verdicts = Verdicts::new(Member(0), 0, 0);
        for at in 0..many {
            let value = seed.wrapping_mul(at.wrapping_add(7) | 1);
            let subject = Subject::Upstream(value % 211);
            let verdict = Verdict { subject, observer: 1 + (value >> 9) as u16 % 300, zone: 0, sequence: 0, stance: Stance::Against, age: 3 };
            verdicts.read(10_000.0, 5.0, &verdict);
        }
        let evidence = verdicts.evidence(10_000.0);
        prop_assert!(evidence.len() <= 64 && evidence.iter().all(|evidence| evidence.observers <= 8));
    }

    /// Two clocks an hour apart whose rates differ: the bound on the time in transit is never less than it was.
    #[test]
    fn the_time_under_way_is_never_taken_for_less(
        skew in -3.6e6..3.6e6_f64, rate in 0.999..1.001_f64,
        steps in prop::collection::vec((1.0..4_000.0_f64, 0.1..30.0_f64, 0.1..6_000.0_f64), 1..40),
    ) {
        let theirs = |now: f64| (now + skew) * rate + 1e8;
        let (mut here, mut there) = (Clocks::new(2, 5, 0.0), Clocks::new(2, u32::MAX - 9, theirs(0.0)));
        let mut now = 0.0;
        for (pause, out, back) in steps {
            now += pause;
            // A question goes out and an answer comes back.
            let asked = now;
            let stamp = here.stamp(asked);
            now += out;
            there.read(theirs(now), Member(0), stamp, here.echo(asked, Member(1)));
            let (stamp, echo) = (there.stamp(theirs(now)), there.echo(theirs(now), Member(0)));
            prop_assert!(echo.is_some());
            now += back;
            let bound = here.read(now, Member(1), stamp, echo);
            prop_assert!(bound.is_some_and(|bound| bound >= back && bound <= out + back + 60.0), "{bound:?} {back}");
        }
    }
}

/// Each sends the other a datagram every 100 ms, for so long; how long the last to the first was in transit.
fn talk(a: &mut Clocks, b: &mut Clocks, from: Millis, span: Millis) -> Option<Millis> {
    let (mut now, mut underway) = (from, None);
    while now < from + span {
        let (stamp, echo) = (a.stamp(now), a.echo(now, Member(1)));
        b.read(now + 1.0, Member(0), stamp, echo);
        let (stamp, echo) = (b.stamp(now + 50.0), b.echo(now + 50.0, Member(0)));
        underway = a.read(now + 51.0, Member(1), stamp, echo);
        now += 100.0;
    }
    underway
}

/// A restart draws its first stamp anew: wherever it falls, the two must soon know each other's clock again. Within
/// minutes of the former run's, by one chance in thousands, it takes as long as that.
#[test]
fn whatever_stamps_a_restart_begins_with_it_is_known_again_soon() {
    for step in 0..64u32 {
        let mut stays = Clocks::new(2, 7, 0.0);
        let mut first = Clocks::new(2, 3_000_000, 0.0);
        assert!(talk(&mut first, &mut stays, 0.0, 2000.0).is_some_and(|ms| ms < 10.0));
        let mut second = Clocks::new(2, 3_000_000 + (1 << 25) + (step << 26), 5000.0);
        let underway = talk(&mut second, &mut stays, 5000.0, 1000.0);
        assert!(underway.is_some_and(|ms| ms < 10.0), "{step}: {underway:?}");
    }
}
