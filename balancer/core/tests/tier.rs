//! Many copies before the same servers: what words of each other change, and what they must not.
mod common;

use balancer_core::*;
use common::tier::*;
use common::{endpoint, tenants, Harness};
use std::cell::Cell;

/// Two tenants of equal shares, each asking for so many times what the servers can do.
fn ask(t: &mut Tier, first: f64, second: f64) {
    t.rates = vec![(first * t.can(), 0.5), (second * t.can(), 0.5)];
}

fn calm(copies: usize, seed: u64) -> Tier {
    let mut t = Tier::new(copies, 12, settings(copies), seed);
    ask(&mut t, 0.4, 0.4);
    t.run(10_000.0);
    t
}

fn any(_: &Want) -> bool {
    true
}

type Word = fn(f64, TierUpdate) -> Option<TierUpdate>;

/// The same with room for hardly anything, from so long ago.
fn tight(mut word: TierUpdate, age: f64) -> TierUpdate {
    if let Some(s) = &mut word.sums {
        (s.load.room, s.load.tenants[0].demand, s.age) = (1.0, 1000.0, s.age + age);
    }
    word.evidence.iter_mut().for_each(|e| e.age += age);
    word
}

#[test]
fn words_that_do_not_count_change_nothing() {
    let play = |word: Word| {
        let mut t = Tier::new(6, 3, settings(6), 3);
        t.word = word;
        t.slow = Box::new(|server, at| if server == 1 && at < 9000.0 { 6.0 } else { 1.0 });
        t.run(5000.0);
        t.log.clear();
        ask(&mut t, 1.5, 0.5);
        t.run(8000.0);
        t.log
    };
    let without = play(|_, _| None);
    assert!(
        without
            .iter()
            .any(|(_, a)| matches!(a, Action::Refuse { .. })),
        "nothing was refused"
    );
    let words: [(&str, Word); 5] = [
        ("of a copy that is cut off", |_, word| {
            Some(TierUpdate {
                joined: false,
                ..word
            })
        }),
        ("that stopped coming", |now, word| {
            (now < 3000.0).then_some(tight(word, 0.0))
        }),
        ("that tell of what is too old", |_, word| {
            Some(tight(word, 3000.0))
        }),
        ("with a place that is none", |_, word| {
            Some(TierUpdate {
                place: word.up,
                ..word
            })
        }),
        ("with a figure that is none", |_, mut word| {
            word.sums.iter_mut().for_each(|s| s.load.room = f64::NAN);
            Some(word)
        }),
    ];
    for (name, word) in words {
        assert!(play(word) == without, "words {name} change what is decided");
    }
    assert!(
        play(|_, word| Some(word)) != without,
        "the words that count change nothing either"
    );
}

/// The part of all copies that refuses a request with this tie.
fn refusals(t: &mut Tier, class: usize, tie: u64) -> f64 {
    let (began, before) = (t.now, t.answers.len());
    (0..t.copies.len()).for_each(|copy| {
        t.ask_at(
            copy,
            Want {
                class,
                tenant: 0,
                tie,
                began,
                tries: 9,
            },
        )
    });
    let refused = t.answers[before..]
        .iter()
        .filter(|a| !a.served && a.want.tie == tie)
        .count();
    t.run(200.0);
    refused as f64 / t.copies.len() as f64
}

#[test]
fn a_tenant_that_asks_for_too_much_is_refused_the_same_requests_by_all_copies() {
    for (seed, copies) in [(1, 12), (2, 24), (3, 96)] {
        let mut t = calm(copies, seed);
        ask(&mut t, 1.6, 0.4);
        t.run(15_000.0);
        let (from, to, can) = (t.now - 12_000.0, t.now, t.can());
        let all = t.goodput(from, to, any) / can;
        assert!(
            all > 0.95,
            "{copies} copies: {all:.2} of what the servers can do is answered in time"
        );
        let beside = t.met(from, to, 1);
        assert!(
            beside > 0.97,
            "{copies} copies: the tenant within its share gets {beside:.2}"
        );
        let class = |class| t.goodput(from, to, |w| (w.tenant, w.class) == (0, class)) / can;
        let (cheap, dear) = (class(0), class(1));
        assert!(
            dear > 0.4 && dear > 5.0 * cheap,
            "{copies} copies: {dear:.2} of the dear, {cheap:.2} of the cheap"
        );
        // What is refused by one copy is so by the next.
        let same = (0..20)
            .map(|k| refusals(&mut t, 0, (2 * k + 1) * (u64::MAX / 40)))
            .sum::<f64>()
            / 20.0;
        assert!(
            same > 0.95,
            "{copies} copies: {same:.2} refuse what goes first"
        );
        let last = (0..20)
            .map(|k| refusals(&mut t, 1, u64::MAX - k))
            .sum::<f64>()
            / 20.0;
        assert!(
            last < 0.4,
            "{copies} copies: {last:.2} refuse what goes last"
        );
    }
}

#[test]
fn refused_clients_are_told_to_come_back_spread_over_what_they_heed() {
    for most in [0.0, 800.0, 6000.0] {
        let mut t = Tier::new(
            12,
            6,
            Settings {
                max_retry_after: most,
                ..settings(12)
            },
            1,
        );
        ask(&mut t, 1.5, 1.5);
        t.run(6000.0);
        let told: Vec<f64> = t
            .answers
            .iter()
            .filter(|a| !a.served && a.at > 3000.0)
            .map(|a| a.retry_after)
            .collect();
        assert!(
            told.len() > 1000 && told.iter().all(|&after| after <= most),
            "more than {most} ms"
        );
        let bins = (1..=10).map(|k| {
            told.iter()
                .filter(|&&a| a > most * 0.1 * f64::from(k - 1) && a <= most * 0.1 * f64::from(k))
                .count()
        });
        let fullest = bins.max().unwrap_or(0) as f64 / told.len() as f64;
        assert!(
            fullest < 0.25,
            "of {most} ms one tenth is given to {fullest:.2} of them"
        );
    }
}

#[test]
fn evidence_of_others_lets_less_of_ones_own_do_and_does_nothing_alone() {
    let subject = Subject::Upstream(UpstreamId(1));
    let word = || TierUpdate {
        up: 12,
        joined: true,
        evidence: vec![Evidence {
            subject,
            observers: 5,
            zones: 3,
            cleared: 0,
            age: 100.0,
        }],
        ..TierUpdate::default()
    };
    // Calls to it in the second after its first ones ended so.
    let calls = |endings: &'static [Ending], words: bool| {
        let endpoints = (0..6).map(endpoint).collect();
        let mut harness = Harness::new(
            Settings {
                tenants: tenants(&[1.0], 100.0),
                ..Settings::default()
            },
            1,
            endpoints,
        );
        let answered = Cell::new(0);
        while answered.get() < endings.len() {
            if words {
                harness.handle(Event::Tier(Box::new(word())));
            }
            harness.traffic(10.0, 100.0, &[0], &|id| {
                let n = answered.replace(answered.get() + usize::from(id.0 == 1));
                Some((
                    if id.0 == 1 {
                        endings.get(n).copied().unwrap_or(Ending::Ok)
                    } else {
                        Ending::Ok
                    },
                    20.0,
                ))
            });
        }
        harness.traffic(50.0, 100.0, &[0], &|_| Some((Ending::Ok, 20.0)));
        let from = harness.now;
        harness.traffic(1000.0, 100.0, &[0], &|_| Some((Ending::Ok, 20.0)));
        harness
            .sent_since(from)
            .1
            .get(&UpstreamId(1))
            .copied()
            .unwrap_or(0)
    };
    assert!(calls(&[Ending::Ok], true) > 5, "evidence alone took it out");
    assert!(
        calls(&[Ending::Error], false) > 5,
        "one failure took it out without evidence"
    );
    assert_eq!(
        calls(&[Ending::Error], true),
        0,
        "one failure and evidence did not take it out"
    );
    assert!(
        calls(&[Ending::Ok, Ending::Error], true) > 5,
        "a fresh answer did not count for more"
    );
}

#[test]
fn after_the_trigger_goodput_is_back_within_three_seconds() {
    type Trigger = fn(&mut Tier);
    let triggers: [(&str, Trigger); 5] = [
        ("a burst with errors from three in ten calls", |t| {
            t.errs = Box::new(|_, at| {
                if (10_000.0..20_000.0).contains(&at) {
                    0.3
                } else {
                    0.0
                }
            });
            ask(t, 1.25, 1.25);
            t.run(10_000.0);
            ask(t, 0.4, 0.4);
        }),
        ("errors from all of them", |t| {
            t.errs = Box::new(|_, at| f64::from(u8::from((10_000.0..15_000.0).contains(&at))));
            t.run(5000.0);
        }),
        ("a burst of 2.5 times what the servers can do", |t| {
            ask(t, 1.25, 1.25);
            t.run(5000.0);
            ask(t, 0.4, 0.4);
        }),
        ("half of the servers slow", |t| {
            t.slow = Box::new(|server, at| {
                if server % 2 == 0 && at < 15_000.0 {
                    5.0
                } else {
                    1.0
                }
            });
            t.run(5000.0);
        }),
        ("all of them silent", |t| {
            t.slow = Box::new(|_, at| {
                if (10_000.0..13_000.0).contains(&at) {
                    f64::INFINITY
                } else {
                    1.0
                }
            });
            t.run(3000.0);
        }),
    ];
    for (copies, seed) in [(12, 1), (24, 2), (96, 3)] {
        for (name, trigger) in triggers {
            let mut t = calm(copies, seed);
            trigger(&mut t);
            let over = t.now;
            // Until sums tell of it, each copy goes on as it did alone; and all together had some saved up.
            let during = t.sends.iter().filter(|s| s.0 > 12_000.0);
            let (all, firsts) = (
                during.clone().count() as f64,
                during.filter(|s| s.3 == 0).count() as f64,
            );
            assert!(
                all < 1.1 * firsts + 100.0,
                "{copies} copies, {name}: {:.3} attempts a request",
                all / firsts
            );
            if (t.errs)(0, t.now - 1.0) == 1.0 {
                let again = t
                    .sends
                    .iter()
                    .filter(|s| s.0 > over - 1000.0 && s.3 > 0)
                    .count();
                assert_eq!(
                    again, 0,
                    "{copies} copies: repeats at a tier that declines as a whole"
                );
            }
            t.run(8000.0);
            let back = t.goodput(over + 3000.0, over + 8000.0, any) / (0.8 * t.can());
            assert!(back > 0.95, "{copies} copies after {name}: {back:.2}");
        }
    }
}

#[test]
fn copies_that_disagree_are_cut_off_or_stop_leave_the_tier_its_goodput() {
    type Fault = fn(&mut Tier, i32);
    let faults: [(&str, f64, Fault); 4] = [
        // They learn, so that it takes telling again each second to keep them four times apart and more.
        ("disagree", 0.9, |t, _| {
            (0..t.copies.len())
                .for_each(|copy| t.believe(copy, if copy % 2 == 0 { 1.26 } else { 0.8 }));
        }),
        ("are cut off, every third", 0.95, |t, _| {
            (0..t.copies.len()).for_each(|copy| t.copies[copy].joined = copy % 3 != 0);
        }),
        ("hear nothing, two of them", 0.95, |t, _| {
            (5..7).for_each(|copy| t.copies[copy].joined = false);
        }),
        ("stop, seven in ten", 0.95, |t, second| {
            if second == 3 {
                t.kill(|copy| copy % 10 < 7);
            }
        }),
    ];
    for (name, least, fault) in faults {
        let mut t = calm(24, 1);
        ask(&mut t, 1.6, 0.4);
        for second in 0..12 {
            fault(&mut t, second);
            t.run(1000.0);
        }
        let (from, to) = (t.now - 6000.0, t.now);
        let (all, beside) = (t.goodput(from, to, any) / t.can(), t.met(from, to, 1));
        assert!(
            all > 0.95,
            "copies {name}: {all:.2} of what the servers can do"
        );
        assert!(
            beside > least,
            "copies {name}: the tenant within its share gets {beside:.2}"
        );
    }
}

#[test]
fn trials_of_a_lost_zone_do_not_grow_with_the_copies_and_it_comes_back() {
    let lost = |at: f64| (10_000.0..30_000.0).contains(&at);
    let trials = |copies: usize, word: Word, is: fn(UpstreamId) -> bool| {
        let mut t = Tier::new(copies, 24, settings(copies), 5);
        t.word = word;
        ask(&mut t, 0.2, 0.2);
        t.slow = Box::new(move |s, at| {
            if is(UpstreamId(s as u64)) && lost(at) {
                f64::INFINITY
            } else {
                1.0
            }
        });
        t.run(45_000.0);
        (
            t.sent(15_000.0, 30_000.0, is),
            t.sent(40_000.0, 45_000.0, is) / t.sent(0.0, 10_000.0, is),
        )
    };
    let zone: fn(UpstreamId) -> bool = |id| zone_of(id) == 1;
    let one: fn(UpstreamId) -> bool = |id| id.0 == 1;
    for copies in [12, 24, 48] {
        let (rate, back) = trials(copies, |_, word| Some(word), zone);
        assert!(
            rate > 0.1 && rate < 3.0,
            "{copies} copies: {rate:.1} trials a second"
        );
        assert!(
            back > 0.5,
            "{copies} copies: {back:.2} of its calls are back after ten seconds"
        );
        let (rate, _) = trials(copies, |_, word| Some(word), one);
        assert!(
            rate < 1.5,
            "{copies} copies: {rate:.1} trials a second of one server"
        );
    }
    let (cut_off, _) = trials(48, |now, word| (now < 15_000.0).then_some(word), zone);
    assert!(
        cut_off > 0.1 && cut_off < 3.0,
        "{cut_off:.1} trials a second by copies that hear nothing any more"
    );
    let (alone, _) = trials(48, |_, _| None, zone);
    assert!(
        alone > 8.0,
        "without words {alone:.1} a second: the test shows nothing"
    );
    let (alone, _) = trials(48, |_, _| None, one);
    assert!(
        alone > 2.0,
        "without words {alone:.1} a second: the test shows nothing"
    );
}
