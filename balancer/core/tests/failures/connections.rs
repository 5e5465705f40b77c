//! Idle connections that the network drops unseen.
use crate::common::*;
use crate::setup::{new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

/// A request on connections that are dropped unseen after 300 ms without use: returns whether it got lost. `open` holds
/// when each upstream's connection was last used; responses come at once.
fn on_reaped_connections(
    harness: &mut Harness,
    open: &mut BTreeMap<UpstreamId, f64>,
    id: u32,
) -> bool {
    let mut lost = false;
    for action in harness.request(id, 0, 0) {
        match action {
            Action::CloseIdle(upstream) => drop(open.remove(&upstream)),
            Action::Send { upstream, .. } => {
                let idle = open
                    .insert(upstream, harness.now)
                    .map_or(0.0, |used| harness.now - used);
                lost = idle > 300.0 && idle < harness.settings.idle_close;
                if lost {
                    // Nothing comes back, and the connection with it.
                    open.remove(&upstream);
                } else {
                    harness.outcome(id, 0, Ending::Ok);
                }
            }
            _ => {}
        }
    }
    lost
}

/// Connections that idle were dropped on the way unseen: each call on one waited for nothing.
#[test]
fn idle_connections_are_closed_before_use_once_calls_on_them_get_lost() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    let (mut open, mut lost) = (BTreeMap::new(), [0, 0]);
    for id in 0..2000 {
        lost[usize::from(id >= 1000)] +=
            u32::from(on_reaped_connections(&mut harness, &mut open, id));
        harness.advance(200.0);
    }
    assert!(lost[0] > 5, "it has to be met first: {lost:?}");
    assert!(
        lost[1] * 10 < 1000,
        "later, {} of 1000 calls take a connection that is gone",
        lost[1]
    );
}

/// Lost calls, waited for until their timeouts, filled what may be in flight, and the rest was refused.
#[test]
fn calls_lost_with_their_connection_do_not_fill_what_may_be_in_flight() {
    let class = Class {
        objective: 200.0,
        deadline: 6000.0,
        late_value: 0.5,
        ..class(Effect::SingleShot)
    };
    let settings = Settings {
        classes: vec![class],
        tenants: tenants(&[1.0], 40.0),
        ..Settings::default()
    };
    let mut harness = new_harness(settings, 12);
    let mut open = BTreeMap::new();
    for id in 0..140 {
        on_reaped_connections(&mut harness, &mut open, id);
        harness.advance(40.0);
    }
    let (sent, _) = harness.sent_since(3000.0);
    assert!(
        sent > 40,
        "{sent} of 65 calls pass before the first time-out tells"
    );
}
