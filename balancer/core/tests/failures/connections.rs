//! Idle connections that the network drops without notice.
use crate::common::*;
use crate::setup::{new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

/// Sends a request over connections that the network silently drops after 300 ms idle; returns whether it was lost.
/// `open` holds the last use of each upstream's connection; responses arrive immediately.
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
                    // No response arrives, and the connection is unusable.
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

/// The network may drop idle connections without notice; every call on one waits for its timeout.
#[test]
fn lossy_idle_connections_are_closed_before_use() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    let (mut open, mut lost) = (BTreeMap::new(), [0, 0]);
    for id in 0..2000 {
        lost[usize::from(id >= 1000)] +=
            u32::from(on_reaped_connections(&mut harness, &mut open, id));
        harness.advance(200.0);
    }
    assert!(lost[0] > 5, "too few calls were lost at first: {lost:?}");
    assert!(
        lost[1] * 10 < 1000,
        "later, {} of 1000 calls used a dropped connection",
        lost[1]
    );
}

/// Lost calls that wait for their timeouts must not use up the bound on calls in flight, or further requests are
/// refused.
#[test]
fn lost_calls_do_not_count_as_in_flight() {
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
        "{sent} of 65 calls sent before the first timeout"
    );
}
