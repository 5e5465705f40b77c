//! An emulated machine: slots, queue, cores, and the effects of overload and slow start.
use balancer_lab::draw::{OverloadModel, Upstream};
use balancer_lab::experiment::Millis;
use balancer_lab::machine::{Admission, CollapseLimit, Machine, Token};

fn plan() -> Upstream {
    Upstream {
        name: "u".into(),
        tier: 0,
        zone: 0,
        kind: 0,
        cell: 1,
        cores: 2,
        speed: 1.0,
        slots: 4,
        queue: 1,
        slow_start_from: 0.25,
        slow_start_time: 10_000.0,
        errors: 0.0,
        cancel_stops: false,
        connections: 10,
        round_trips: 1.0,
        connection_work: 1.0,
        full_tax: 0.0,
        report_period: 100.0,
        report_delay: 10.0,
        overload: Some(OverloadModel {
            at: 2.0,
            over: 1000.0,
            slower: 2.0,
            rest: 2000.0,
            below: 0.5,
            most: 20_000.0,
        }),
    }
}

fn machine() -> Machine {
    Machine::new(
        plan(),
        CollapseLimit {
            multiple: 2.5,
            window: 3000.0,
        },
        10.0,
    )
}

fn done(m: &mut Machine, now: Millis) -> Vec<Token> {
    let mut done = Vec::new();
    m.on_timeout(now, &mut done);
    done
}

#[test]
fn fills_slots_then_the_queue_then_rejects() {
    let mut m = machine();
    let admissions: Vec<Admission> = (0..6)
        .map(|t| m.handle_request(0.0, t, 10.0, true))
        .collect();
    assert_eq!(admissions[..4], [Admission::Slot; 4]);
    assert_eq!(admissions[4..], [Admission::Queued, Admission::Full]);
    assert_eq!(
        m.handle_departure(1.0, 0),
        Some(4),
        "the queued request gets the slot"
    );
    assert_eq!(m.in_flight(), 4);
}

#[test]
fn late_polls_do_not_delay_work() {
    let mut m = machine();
    for t in 0..4 {
        m.handle_request(0.0, t, 10.0, true);
        m.start_work(0.0, t, 10.0);
    }
    assert_eq!(m.next_timeout(), Some(10.0));
    // Polled only at 25 ms: the second pair still ran from 10 ms to 20 ms.
    assert_eq!(done(&mut m, 25.0).len(), 4);
    m.start_work(25.0, 9, 10.0);
    assert_eq!((done(&mut m, 34.0), done(&mut m, 35.0)), (vec![], vec![9]));
}

#[test]
fn overload_degrades_it_until_it_has_been_idle() {
    let mut m = machine();
    (0..4).for_each(|t| assert_eq!(m.handle_request(0.0, t, 10.0, true), Admission::Slot));
    done(&mut m, 999.0);
    assert!(!m.is_degraded());
    done(&mut m, 1000.0);
    assert!(m.is_degraded());
    m.start_work(1000.0, 0, 10.0);
    assert_eq!(
        (done(&mut m, 1019.0), done(&mut m, 1020.0)),
        (vec![], vec![0])
    );
    (0..4).for_each(|t| assert_eq!(m.handle_departure(2000.0, t), None));
    done(&mut m, 3999.0);
    assert!(m.is_degraded());
    done(&mut m, 4000.0);
    assert!(!m.is_degraded());
}

#[test]
fn excessive_work_during_slow_start_collapses_the_machine() {
    let mut m = machine();
    m.restart(0.0);
    assert_eq!(
        (
            m.slow_start_weight(0.0),
            m.slow_start_weight(5000.0),
            m.slow_start_weight(10_000.0)
        ),
        (0.25, 0.625, 1.0)
    );
    // The limit is 2.5 times the work of half a core in 3 s, 3,750 ms, plus an allowance for random variation.
    for n in 0..37 {
        m.handle_request(n as f64, n, 100.0, n % 4 != 0);
        m.handle_departure(n as f64, n);
    }
    assert_eq!(m.collapse(), None);
    for n in 37..50 {
        m.handle_request(40.0, n, 100.0, true);
    }
    let collapse = m.collapse().expect("it collapsed");
    assert!(
        collapse.sent > collapse.limit && collapse.informed_share > 0.7,
        "{collapse:?}"
    );
    assert_eq!(m.handle_request(50.0, 99, 1.0, true), Admission::Full);
    m.restart(60.0);
    assert_eq!(
        (m.collapse(), m.handle_request(61.0, 1, 1.0, true)),
        (None, Admission::Slot)
    );
}

#[test]
fn a_slowdown_fault_slows_it_down() {
    let mut m = machine();
    m.slow_down(3.0);
    m.start_work(0.0, 1, 10.0);
    assert_eq!((done(&mut m, 29.0), done(&mut m, 30.0)), (vec![], vec![1]));
}
