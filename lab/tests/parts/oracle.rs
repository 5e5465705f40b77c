//! The oracle: cases that keep each rule and cases that break it.
use balancer_lab::experiment::{Effect, Group, Millis};
use balancer_lab::oracle::{ClassRules, End, Final, Limits, Oracle, OracleConfig, Place, Rule};

/// Class 0 is safe, 1 is keyed by cell, 2 is sent once. Upstreams 0 and 1 share a cell; 2 has its own.
fn oracle() -> Oracle {
    Oracle::new(config())
}

fn config() -> OracleConfig {
    let class = |effect| ClassRules {
        effect,
        group: Group::Cell,
        window: 1000.0,
    };
    let place = |cell| Place {
        zone: 0,
        cell,
        tier: 0,
    };
    OracleConfig {
        classes: vec![
            class(Effect::Safe),
            class(Effect::Keyed),
            class(Effect::Once),
        ],
        places: vec![place(1), place(1), place(2)],
        balancers: vec!["b".into()],
        upstreams: vec!["u1".into(), "u2".into(), "u3".into()],
        max_attempts: 3,
        drain_grace: 500.0,
        members: vec![(0, 0)],
        limits: Limits::default(),
    }
}

fn rules(o: &mut Oracle) -> Vec<Rule> {
    o.judge(f64::INFINITY);
    o.violations().0.iter().map(|b| b.rule).collect()
}

/// One attempt that ends with `first`, then another attempt at upstream `to`.
fn again(class: usize, first: End, to: usize, after: Millis) -> Vec<Rule> {
    let mut o = oracle();
    o.request_sent(0.0, 7, class, 0, 3000.0);
    let n = o.attempt(1.0, 7, 0, 0).expect("known");
    o.attempt_ended(2.0, 7, n, first, false);
    o.attempt(after, 7, 0, to);
    rules(&mut o)
}

#[test]
fn repeats_follow_class_group_and_window() {
    assert_eq!(again(0, End::Error, 2, 10.0), []);
    assert_eq!(again(1, End::Error, 1, 10.0), []);
    assert_eq!(again(1, End::Error, 2, 10.0), [Rule::Repeated]);
    assert_eq!(again(1, End::Closed, 1, 1100.0), [Rule::Repeated]);
    assert_eq!(again(2, End::Declined, 2, 10.0), []);
    assert_eq!(again(2, End::Closed, 0, 10.0), [Rule::Repeated]);
}

#[test]
fn attempts_may_overlap_within_the_slack_only() {
    for (ends, hidden, wanted) in [(60.0, false, 0), (140.0, false, 1), (140.0, true, 0)] {
        let mut o = oracle();
        o.request_sent(0.0, 7, 0, 0, 3000.0);
        let first = o.attempt(1.0, 7, 0, 0).expect("known");
        o.attempt(50.0, 7, 0, 2);
        o.attempt_ended(ends, 7, first, End::Closed, hidden);
        assert_eq!(
            rules(&mut o),
            vec![Rule::ConcurrentAttempts; wanted],
            "{ends}"
        );
    }
}

#[test]
fn requests_need_one_response_unless_the_interval_is_excluded() {
    let mut o = oracle();
    for id in 1..=6 {
        o.request_sent(0.0, id, 2, 0, 1000.0);
    }
    o.ended(900.0, 1, Final::Failed);
    o.ended(1200.0, 2, Final::Refused);
    o.ended(300.0, 3, Final::Abandoned);
    o.ended(400.0, 4, Final::Partial);
    assert_eq!(rules(&mut o), []);
    o.ended(500.0, 5, Final::Closed);
    o.finish(3000.0);
    assert_eq!(rules(&mut o), [Rule::Lost, Rule::Lost]);
    o.request_sent(0.0, 8, 2, 0, 1000.0);
    o.exclude_interval(0, 100.0, 5000.0);
    o.ended(1600.0, 8, Final::TimedOut);
    assert_eq!(rules(&mut o).len(), 2);
    assert_eq!(o.checked(), 7);
}

#[test]
fn detects_invented_responses_and_false_refusals() {
    let mut o = oracle();
    o.request_sent(0.0, 1, 2, 0, 1000.0);
    let n = o.attempt(1.0, 1, 0, 0).expect("known");
    o.attempt_ended(2.0, 1, n, End::Served(42), false);
    o.ended(3.0, 1, Final::Served(Some(42)));
    assert_eq!(rules(&mut o), []);
    o.request_sent(0.0, 2, 2, 0, 1000.0);
    o.ended(3.0, 2, Final::Served(Some(42)));
    o.request_sent(0.0, 3, 2, 0, 1000.0);
    o.attempt(1.0, 3, 0, 0);
    o.ended(5.0, 3, Final::Refused);
    o.attempt(90.0, 3, 0, 1);
    o.attempt(91.0, 99, 0, 1);
    assert_eq!(
        rules(&mut o),
        [
            Rule::Invented,
            Rule::Refused,
            Rule::Repeated,
            Rule::Foreign,
            Rule::AfterEnd
        ]
    );
}

#[test]
fn drains_and_the_attempt_limit_are_checked() {
    let mut o = oracle();
    o.request_sent(0.0, 1, 0, 0, 9000.0);
    o.notified(100.0, 0, 2, 1, false);
    for (at, upstream) in [(600.0, 2), (640.0, 2), (660.0, 2), (670.0, 0)] {
        if let Some(n) = o.attempt(at, 1, 0, upstream) {
            o.attempt_ended(at, 1, n, End::Error, false);
        }
    }
    assert_eq!(rules(&mut o), [Rule::Attempts, Rule::Drained]);
    o.notified(700.0, 0, 2, 1, true);
    o.request_sent(0.0, 2, 0, 0, 9000.0);
    o.attempt(900.0, 2, 0, 2);
    assert_eq!(rules(&mut o).len(), 2);
}

#[test]
fn lateness_of_the_lab_excuses_violations() {
    for (late, wanted) in [(30.0, 1), (100.0, 0)] {
        let mut o = oracle();
        o.request_sent(0.0, 7, 0, 0, 3000.0);
        let first = o.attempt(1.0, 7, 0, 0).expect("known");
        o.attempt(50.0, 7, 0, 2);
        o.attempt_ended(140.0, 7, first, End::Closed, false);
        o.lab_late(141.0, late);
        assert_eq!(rules(&mut o), vec![Rule::ConcurrentAttempts; wanted]);
    }
}

#[test]
fn keys_take_effect_once_per_group_and_window() {
    let mut o = oracle();
    assert_eq!(
        (o.effect(0.0, 5, 1, 0), o.effect(100.0, 5, 1, 1)),
        (false, true)
    );
    assert_eq!(o.effects_twice(), 0);
    assert!(!o.effect(200.0, 5, 1, 2));
    assert!(!o.effect(1500.0, 5, 1, 0));
    assert_eq!(o.effects_twice(), 2);
}

/// A datagram of a version, from a sender that reads versions 1 to `most`.
fn datagram(version: u8, most: u8, place: u16, epoch: u64) -> Vec<u8> {
    let mut bytes = b"oP".to_vec();
    bytes.extend([version, 1, most]);
    bytes.extend(place.to_be_bytes());
    bytes.extend([0; 12]);
    bytes.extend(epoch.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes
}

#[test]
fn detects_versions_that_a_live_member_cannot_read() {
    let tier = || {
        let limits = Limits {
            version_grace: 100.0,
            agree: Some(300.0),
            ..Limits::default()
        };
        let members = vec![(0, 0), (0, 1), (1, 0)];
        let balancers = vec!["a".into(), "b".into(), "other".into()];
        let mut o = Oracle::new(OracleConfig {
            members,
            limits,
            balancers,
            ..config()
        });
        (0..3).for_each(|b| o.started(b, 0.0));
        o
    };
    // Both members have announced their versions at 10 ms. The balancer of the other tier is not a member.
    for (at, before, wanted) in [
        (100.0, None, vec![]),
        (120.0, None, vec![Rule::Version]),
        (120.0, Some((true, 60.0)), vec![]),
        (180.0, Some((false, 100.0)), vec![]),
        (220.0, Some((false, 100.0)), vec![Rule::Version]),
    ] {
        let mut o = tier();
        o.datagram(5.0, 2, &datagram(1, 1, 0, 0));
        o.datagram(10.0, 0, &datagram(1, 1, 0, 0));
        o.datagram(10.0, 1, &datagram(1, 2, 1, 0));
        if let Some((partitioned, when)) = before {
            o.set_partitioned(1, 0, true, 50.0);
            o.set_partitioned(1, 0, partitioned, when);
        }
        for n in 0..3 {
            o.datagram(at + f64::from(n), 1, &datagram(2, 2, 1, 1));
        }
        assert_eq!(rules(&mut o), wanted, "{at}");
    }
    // A stopped member no longer counts, and a restarted one has the grace time again.
    let mut o = tier();
    o.datagram(10.0, 0, &datagram(1, 1, 0, 0));
    o.datagram(10.0, 1, &datagram(1, 2, 1, 0));
    o.stopped(0, 200.0);
    o.datagram(300.0, 1, &datagram(2, 2, 1, 1));
    o.started(0, 350.0);
    o.datagram(400.0, 0, &datagram(1, 1, 0, 1));
    o.datagram(450.0, 1, &datagram(2, 2, 1, 1));
    assert_eq!(rules(&mut o), []);
    o.datagram(510.0, 1, &datagram(2, 2, 1, 1));
    o.datagram(520.0, 1, &datagram(1, 2, 1, 0));
    assert_eq!(rules(&mut o), [Rule::Version, Rule::Epoch]);
    // Both read version 2 from 600 ms on.
    o.datagram(600.0, 0, &datagram(1, 2, 0, 1));
    o.datagram(850.0, 1, &datagram(1, 2, 1, 1));
    assert_eq!(rules(&mut o).len(), 2);
    o.datagram(950.0, 1, &datagram(1, 2, 1, 1));
    assert_eq!(rules(&mut o)[2..], [Rule::Agreed]);
}

#[test]
fn datagrams_are_checked_by_header_and_checksum() {
    let good = datagram(1, 2, 0, 3);
    let mut flipped = good.clone();
    flipped[9] ^= 4;
    for (bytes, wanted) in [
        (good.clone(), 0),
        (flipped, 1),
        (good[..20].to_vec(), 1),
        (Vec::new(), 1),
        (datagram(3, 2, 0, 3), 1),
        (datagram(1, 2, 5, 3), 1),
    ] {
        let mut o = oracle();
        o.datagram(1.0, 0, &bytes);
        assert_eq!(rules(&mut o), vec![Rule::Header; wanted], "{bytes:?}");
    }
}
