//! Connections that come up too late, a third of them, whichever upstream they go to.
mod common;
use balancer_core::*;
use common::*;
use std::cell::Cell;

/// Two in a row ejected an upstream, however many were out already: a handful of upstreams was out for most of the
/// time, the least capacity fell with what was left of them, and most requests were refused though next to none
/// failed.
#[test]
fn late_connections_everywhere_do_not_take_most_upstreams_out() {
    let settings = Settings {
        tenants: tenants(&[1.0], 40.0),
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 5, (1..=4).map(endpoint).collect());
    let drawn = Cell::new(7u32);
    let third_fails = |_: UpstreamId| {
        drawn.set(
            drawn
                .get()
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223),
        );
        Some(if drawn.get() >> 16 & 0xff < 85 {
            (Ending::ConnectFailed, 100.0)
        } else {
            (Ending::Ok, 150.0)
        })
    };
    harness.traffic(30_000.0, 30.0, &[0], &third_fails);
    let (sent, _) = harness.sent_since(5000.0);
    // One in four may be refused; with all but one out of four at times it was more than half.
    assert!(
        sent * 4 > 3 * 25_000 / 30,
        "{sent} of {} requests were sent on",
        25_000 / 30
    );
}
