//! A third of all connections fail, independently of the upstream.
mod common;
use balancer_core::*;
use common::*;
use std::cell::Cell;

/// Without a bound on ejections, two consecutive failures eject an upstream even if most are ejected already. The
/// capacity floor then shrinks with the usable upstreams, and most requests are refused although few would fail.
#[test]
fn uniform_connect_failures_do_not_eject_most_upstreams() {
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
    // One in four requests may be refused. With three of four upstreams ejected at times, more than half are.
    assert!(
        sent * 4 > 3 * 25_000 / 30,
        "{sent} of {} requests were sent",
        25_000 / 30
    );
}
