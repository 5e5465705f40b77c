//! Merges commute and repeat without harm, and stay within their bounds.
use proptest::prelude::*;

use balancer_gossip::knowledge::ages::PeerClocks;
use balancer_gossip::knowledge::sums::{self, LoadEntries, LoadTable};
use balancer_gossip::knowledge::verdicts::{self, Verdicts};
use balancer_gossip::wire::v1::{Verdict, VerdictState};
use balancer_gossip::wire::v2::{CompactFloat, Totals};
use balancer_gossip::{Load, Member, Millis, Subject, TenantLoad};

fn totals() -> impl Strategy<Value = Totals> {
    (1..8_u16, 0..90_u8, 0.0..100.0_f64).prop_map(|(owner, age, value)| {
        let value = CompactFloat::of(value);
        Totals {
            owner,
            age,
            values: [value; 4],
        }
    })
}

fn verdict() -> impl Strategy<Value = Verdict> {
    (0..3_u64, 1..6_u16, 0..40_u16, 0..100_u8).prop_map(|(subject, observer, sequence, age)| {
        // What an observer sends under one sequence is one thing.
        let state = if sequence % 3 == 0 {
            VerdictState::Cleared
        } else {
            VerdictState::Against
        };
        Verdict {
            subject: Subject::Upstream(subject),
            observer,
            zone: observer % 2,
            sequence,
            state,
            age,
        }
    })
}

proptest! {
    #[test]
    fn sums_are_the_same_in_any_order_and_number(
        received in prop::collection::vec(totals(), 0..30).prop_shuffle(), again in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let up: Vec<Member> = (0..8).map(Member).collect();
        let sums = |received: &[Totals]| {
            let mut entries = LoadTable::new(Member(0), 8, 2);
            entries.observe(10_000.0, Load { tenants: vec![TenantLoad::default()], ..Load::default() });
            for entry in received {
                entries.handle_loads(10_000.0, 5.0, Member(1), LoadEntries { totals: vec![*entry], ..LoadEntries::default() });
            }
            entries.sums(10_000.0, &up)
        };
        let mut other: Vec<Totals> = received.iter().rev().copied().collect();
        other.extend(again.iter().filter(|_| !received.is_empty()).map(|at| received[at.index(received.len())]));
        let (one, two) = (sums(&received), sums(&other));
        prop_assert_eq!(&one, &two);
        if let Some(sums) = one {
            prop_assert!(sums.age <= sums::TENANTS_MAX_AGE && sums.heard <= 8);
        }
    }

    #[test]
    fn verdicts_are_the_same_in_any_order_and_number(received in prop::collection::vec(verdict(), 0..40)) {
        let evidence = |received: &mut dyn Iterator<Item = &Verdict>| {
            let mut verdicts = Verdicts::new(Member(0), 0, 0);
            received.for_each(|verdict| _ = verdicts.handle_verdict(10_000.0, 5.0, verdict));
            verdicts.evidence(10_000.0)
        };
        let one = evidence(&mut received.iter());
        prop_assert_eq!(&one, &evidence(&mut received.iter().rev().chain(&received)));
        prop_assert!(one.iter().all(|evidence| evidence.age <= verdicts::MAX_AGE));
    }

    #[test]
    fn no_flood_of_verdicts_makes_more_than_their_bounds(seed in any::<u64>(), many in 100..600_u64) {
        let mut verdicts = Verdicts::new(Member(0), 0, 0);
        for at in 0..many {
            let value = seed.wrapping_mul(at.wrapping_add(7) | 1);
            let subject = Subject::Upstream(value % 211);
            let verdict = Verdict { subject, observer: 1 + (value >> 9) as u16 % 300, zone: 0, sequence: 0, state: VerdictState::Against, age: 3 };
            verdicts.handle_verdict(10_000.0, 5.0, &verdict);
        }
        let evidence = verdicts.evidence(10_000.0);
        prop_assert!(evidence.len() <= 64 && evidence.iter().all(|evidence| evidence.observers <= 8));
    }

    /// Two clocks an hour apart whose rates differ: the bound on the time in transit is never less than it was.
    #[test]
    fn the_time_in_transit_is_never_underestimated(
        skew in -3.6e6..3.6e6_f64, rate in 0.999..1.001_f64,
        steps in prop::collection::vec((1.0..4_000.0_f64, 0.1..30.0_f64, 0.1..6_000.0_f64), 1..40),
    ) {
        let theirs = |now: f64| (now + skew) * rate + 1e8;
        let (mut here, mut there) = (PeerClocks::new(2, 5, 0.0), PeerClocks::new(2, u32::MAX - 9, theirs(0.0)));
        let mut now = 0.0;
        for (pause, out, back) in steps {
            now += pause;
            // A request goes out and a response comes back.
            let sent = now;
            let stamp = here.stamp(sent);
            now += out;
            there.handle_stamp(theirs(now), Member(0), stamp, here.echo(sent, Member(1)));
            let (stamp, echo) = (there.stamp(theirs(now)), there.echo(theirs(now), Member(0)));
            prop_assert!(echo.is_some());
            now += back;
            let bound = here.handle_stamp(now, Member(1), stamp, echo);
            prop_assert!(bound.is_some_and(|bound| bound >= back && bound <= out + back + 60.0), "{bound:?} {back}");
        }
    }
}

/// Each sends the other a datagram every 100 ms, for so long; how long the last to the first was in transit.
fn talk(a: &mut PeerClocks, b: &mut PeerClocks, from: Millis, span: Millis) -> Option<Millis> {
    let (mut now, mut transit) = (from, None);
    while now < from + span {
        let (stamp, echo) = (a.stamp(now), a.echo(now, Member(1)));
        b.handle_stamp(now + 1.0, Member(0), stamp, echo);
        let (stamp, echo) = (b.stamp(now + 50.0), b.echo(now + 50.0, Member(0)));
        transit = a.handle_stamp(now + 51.0, Member(1), stamp, echo);
        now += 100.0;
    }
    transit
}

/// A restart draws its first stamp anew: wherever it falls, the two must soon know each other's clock again. Within
/// minutes of the former run's, by one chance in thousands, it takes as long as that.
#[test]
fn whatever_stamps_a_restart_begins_with_it_is_known_again_soon() {
    for step in 0..64u32 {
        let mut stays = PeerClocks::new(2, 7, 0.0);
        let mut first = PeerClocks::new(2, 3_000_000, 0.0);
        assert!(talk(&mut first, &mut stays, 0.0, 2000.0).is_some_and(|ms| ms < 10.0));
        let mut second = PeerClocks::new(2, 3_000_000 + (1 << 25) + (step << 26), 5000.0);
        let transit = talk(&mut second, &mut stays, 5000.0, 1000.0);
        assert!(transit.is_some_and(|ms| ms < 10.0), "{step}: {transit:?}");
    }
}
