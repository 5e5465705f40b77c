//! More requests than the upstreams can serve: what is admitted and what is refused.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;

/// Judged by responses alone, a tier that stops responding looks well until the timeouts come.
#[test]
fn calls_in_flight_are_bounded_before_any_answer_is_late() {
    let class = Class {
        late_value: 0.5,
        ..class(Effect::Free)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    harness.traffic(5000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(1500.0, 60.0, &[0], &|_| None);
    let (sent, _) = harness.sent_since(from);
    assert!(
        sent < 60,
        "{sent} of 90 calls went into a tier that answers nothing"
    );
}

/// In an overload each timeout was taken for its upstream's own fault, and capacity never heard of it: all that
/// was admitted, up to the quotas and beyond, was lost.
#[test]
fn failures_of_most_upstreams_are_not_blamed_on_each_and_cut_capacity_below_the_quotas() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(10_000.0, 60.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let from = harness.now;
    harness.traffic(5000.0, 60.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let (sent, _) = harness.sent_since(from);
    assert!(sent < 150, "{sent} of 300 calls went where nearly all fail");
    assert!(sent > 0, "some are left to learn from");
    let lines = harness
        .log
        .iter()
        .filter(|a| matches!(a, Action::Log(_)))
        .count();
    assert!(
        (1..=3).contains(&lines),
        "the log tells of a change of state, once: {lines} lines"
    );
}

/// Clients with little time left came again and again. Their calls were sent and given up soon after, and kept
/// those waiting who had time.
#[test]
fn requests_with_less_time_than_answers_take_are_refused_while_others_are_out() {
    let short = Class {
        deadline: 80.0,
        ..class(Effect::Free)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class(Effect::Free), short],
            ..shared(&[1.0])
        },
        8,
    );
    let sent = |harness: &Harness, id: u32| !harness.requests[&RequestId(id)].sends.is_empty();
    // Nothing is known yet: it is tried.
    harness.request(10_000, 1, 0);
    assert!(sent(&harness, 10_000), "refused before anything was heard");
    harness.traffic(3000.0, 40.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    harness.request(10_001, 0, 0);
    harness.request(10_002, 1, 0);
    assert!(
        sent(&harness, 10_001) && !sent(&harness, 10_002),
        "one has the time and the other has not"
    );
    // Nobody waits for an answer: to try it costs nothing, and shows whether responses take less by now.
    harness.advance(3000.0);
    harness.request(10_003, 1, 0);
    assert!(
        sent(&harness, 10_003),
        "what was learned once holds for ever"
    );
}

/// Instances of a fleet.
const INSTANCES: u32 = 40;

/// All instances before eight upstreams, with quotas of ten requests a second for each.
fn all_instances() -> Vec<Harness> {
    let tenants = vec![Tenant {
        share: 1.0,
        quota_per_s: 10.0 * f64::from(INSTANCES),
    }];
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        tenants: tenants.clone(),
        ..shared(&[1.0])
    };
    (0..INSTANCES)
        .map(|i| new_harness(settings(i), 8))
        .collect()
}

/// Traffic is uneven over the instances. With an even part of the quotas each, the busy ones refused while all together
/// used three quarters of them.
#[test]
fn a_busy_instance_may_use_what_others_leave_of_the_quotas() {
    let mut harnesses = all_instances();
    // Ten instances request twice their even part, the others for less than half of it. Responses are a little late, so
    // that nothing more is learned.
    let requested = |i: usize| if i < 10 { 20.0 } else { 4.0 };
    let answer = |_| Some((Ending::Ok, 240.0));
    let mut served = 0;
    for _ in 0..30 {
        let from = harnesses[0].now;
        for (i, harness) in harnesses.iter_mut().enumerate() {
            for id in (1..=8).map(UpstreamId).filter(|_| served > 0) {
                harness.handle(Event::Served {
                    upstream: id,
                    per_s: f64::from(served) / 8.0,
                });
            }
            harness.traffic(1000.0, requested(i), &[0], &answer);
        }
        served = harnesses
            .iter()
            .map(|harness| harness.sent_since(from).0 as u32)
            .sum();
    }
    let from = harnesses[0].now - 10_000.0;
    let busy: usize = harnesses[..10]
        .iter()
        .map(|harness| harness.sent_since(from).0)
        .sum();
    assert!(busy > 1800, "ten busy copies get {busy} of 2000 through");
    assert!(served < 400, "{served} a second are more than the quotas");
}

/// Every instance learned a capacity of up to twice what it let pass, in sum more than there was. A burst then
/// overloaded the upstreams before responses showed it.
#[test]
fn a_burst_passes_little_more_than_the_quotas_once_saved_up_tokens_are_spent() {
    let mut harnesses = all_instances();
    let mut second = |requested: f64, served: usize| -> usize {
        let sent = |harness: &mut Harness| {
            let from = harness.now;
            for id in (1..=8).map(UpstreamId) {
                harness.handle(Event::Served {
                    upstream: id,
                    per_s: served as f64 / 8.0,
                });
            }
            harness.traffic(1000.0, requested, &[0], &fast);
            harness.sent_since(from).0
        };
        harnesses.iter_mut().map(sent).sum()
    };
    let mut served = 9 * INSTANCES as usize;
    for _ in 0..15 {
        served = second(9.0, served);
    }
    assert!(served > 350, "{served} of 360 pass in a quiet time");
    for _ in 0..12 {
        served = second(25.0, served);
    }
    assert!(served < 500, "{served} pass in a burst, quotas are 400");
}
