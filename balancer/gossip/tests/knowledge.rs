//! Merges of loads and verdicts are commutative, idempotent and bounded; bounds of ages are never too low.
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
        // The state depends on the sequence number, as an observer uses each sequence number for one observation only.
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
    fn sums_ignore_order_and_repetition(
        received in prop::collection::vec(totals(), 0..30).prop_shuffle(), repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let up: Vec<Member> = (0..8).map(Member).collect();
        let sums = |received: &[Totals]| {
            let mut table = LoadTable::new(Member(0), 8, 2);
            table.observe(10_000.0, Load { tenants: vec![TenantLoad::default()], ..Load::default() });
            for entry in received {
                table.handle_loads(10_000.0, 5.0, Member(1), LoadEntries { totals: vec![*entry], ..LoadEntries::default() });
            }
            table.sums(10_000.0, &up)
        };
        let mut reordered: Vec<Totals> = received.iter().rev().copied().collect();
        reordered.extend(repeated.iter().filter(|_| !received.is_empty()).map(|at| received[at.index(received.len())]));
        let (expected, actual) = (sums(&received), sums(&reordered));
        prop_assert_eq!(&expected, &actual);
        if let Some(sums) = expected {
            prop_assert!(sums.age <= sums::TENANTS_MAX_AGE && sums.heard <= 8);
        }
    }

    #[test]
    fn verdicts_ignore_order_and_repetition(received in prop::collection::vec(verdict(), 0..40)) {
        let evidence = |received: &mut dyn Iterator<Item = &Verdict>| {
            let mut verdicts = Verdicts::new(Member(0), 0, 0);
            received.for_each(|verdict| _ = verdicts.handle_verdict(10_000.0, 5.0, verdict));
            verdicts.evidence(10_000.0)
        };
        let expected = evidence(&mut received.iter());
        prop_assert_eq!(&expected, &evidence(&mut received.iter().rev().chain(&received)));
        prop_assert!(expected.iter().all(|evidence| evidence.age <= verdicts::MAX_AGE));
    }

    #[test]
    fn verdict_floods_stay_within_bounds(seed in any::<u64>(), count in 100..600_u64) {
        let mut verdicts = Verdicts::new(Member(0), 0, 0);
        for at in 0..count {
            let value = seed.wrapping_mul(at.wrapping_add(7) | 1);
            let subject = Subject::Upstream(value % 211);
            let verdict = Verdict { subject, observer: 1 + (value >> 9) as u16 % 300, zone: 0, sequence: 0, state: VerdictState::Against, age: 3 };
            verdicts.handle_verdict(10_000.0, 5.0, &verdict);
        }
        let evidence = verdicts.evidence(10_000.0);
        prop_assert!(evidence.len() <= 64 && evidence.iter().all(|evidence| evidence.observers <= 8));
    }

    /// With two clocks up to an hour apart and of different rates, the bound is never below the actual time in transit.
    #[test]
    fn time_in_transit_is_never_underestimated(
        skew in -3.6e6..3.6e6_f64, rate in 0.999..1.001_f64,
        steps in prop::collection::vec((1.0..4_000.0_f64, 0.1..30.0_f64, 0.1..6_000.0_f64), 1..40),
    ) {
        let theirs = |now: f64| (now + skew) * rate + 1e8;
        let (mut here, mut there) = (PeerClocks::new(2, 5, 0.0), PeerClocks::new(2, u32::MAX - 9, theirs(0.0)));
        let mut now = 0.0;
        for (pause, out, back) in steps {
            now += pause;
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

/// Exchanges datagrams between two clocks every 100 ms for `span`; returns the last bound of the time in transit to
/// `a`.
fn exchange_datagrams(
    a: &mut PeerClocks,
    b: &mut PeerClocks,
    from: Millis,
    span: Millis,
) -> Option<Millis> {
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

/// A restarted process chooses a new random first stamp. For nearly all of them, its datagrams must soon have a bound
/// again. The exception, with a probability of one in thousands, is a stamp within minutes of the former process's:
/// then it takes as long as the difference.
#[test]
fn transit_bounds_return_soon_after_a_restart() {
    for step in 0..64u32 {
        let mut unchanged = PeerClocks::new(2, 7, 0.0);
        let mut first = PeerClocks::new(2, 3_000_000, 0.0);
        assert!(
            exchange_datagrams(&mut first, &mut unchanged, 0.0, 2000.0).is_some_and(|ms| ms < 10.0)
        );
        let mut second = PeerClocks::new(2, 3_000_000 + (1 << 25) + (step << 26), 5000.0);
        let transit = exchange_datagrams(&mut second, &mut unchanged, 5000.0, 1000.0);
        assert!(transit.is_some_and(|ms| ms < 10.0), "{step}: {transit:?}");
    }
}
