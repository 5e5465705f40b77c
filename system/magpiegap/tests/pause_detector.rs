//! Requests read after a long pause of the process are recognized.
use googletest::prelude::*;
use magpiegap::pause_detector::PauseDetector;
use std::time::{Duration, Instant};

/// Guards against a submission that is forwarded after the coordinators have forgotten its job or its cancellation.
#[googletest::test]
fn requests_read_after_a_long_pause_may_be_stale() {
    // Times of the observations in milliseconds, and whether requests read at the last one may be stale.
    let cases: [(&str, &[u64], bool); 6] = [
        ("first request", &[0], false),
        ("no pause", &[0, 250, 500, 750], false),
        ("short pause", &[0, 250, 30_000], false),
        ("long pause, request first", &[0, 250, 90_000], true),
        (
            "long pause, tick first",
            &[0, 250, 90_000, 90_010, 90_500],
            true,
        ),
        ("recovered", &[0, 250, 90_000, 90_250, 91_100], false),
    ];
    for (name, observed_at, expected) in cases {
        let start = Instant::now();
        let detector = PauseDetector::new(start);
        let mut is_stale = false;
        for at in observed_at {
            is_stale = detector.observe(start + Duration::from_millis(*at));
        }
        expect_that!(is_stale, eq(expected), "{name}");
    }
}
