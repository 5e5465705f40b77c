//! Temporary jumps of a wall clock are filtered out; corrections that last are accepted.
use googletest::prelude::*;
use magpiegap_control::TimeOfDay;
use magpiegap_protocol::WallMillis;

/// The reading of the wall clock when the steady clock reads zero.
const BASE: WallMillis = WallMillis(1_000_000);

/// A clock that has been read for longer than the warm-up.
fn warmed_up_clock() -> TimeOfDay {
    let mut clock = TimeOfDay::default();
    for now in (0..=20_000).step_by(100) {
        clock.read(now, BASE + now);
    }
    clock
}

#[googletest::test]
fn temporary_jump_does_not_change_time() {
    for jump in [8_000_i64, -8_000] {
        let mut clock = warmed_up_clock();
        for now in (20_100..26_000).step_by(100) {
            expect_that!(
                clock.read(now, WallMillis((BASE + now).0.saturating_add_signed(jump))),
                eq(BASE + now)
            );
        }
        expect_that!(clock.read(26_000, BASE + 26_000), eq(BASE + 26_000));
    }
}

#[googletest::test]
fn drift_is_accepted() {
    let mut clock = warmed_up_clock();
    expect_that!(clock.read(20_100, BASE + 20_300), eq(BASE + 20_300));
    expect_that!(clock.read(20_200, BASE + 20_600), eq(BASE + 20_600));
}

#[googletest::test]
fn jump_lasting_a_minute_is_accepted() {
    let mut clock = warmed_up_clock();
    let mut accepted_at = 0;
    for now in (21_000..100_000).step_by(500) {
        if clock.read(now, BASE + now + 5000) == BASE + now + 5000 && accepted_at == 0 {
            accepted_at = now;
        }
    }
    expect_that!(accepted_at, eq(81_000));
}

#[googletest::test]
fn jump_during_warm_up_is_corrected_at_once() {
    let mut clock = TimeOfDay::default();
    clock.read(0, BASE + 5000);
    clock.read(3000, BASE + 8000);
    expect_that!(clock.read(4000, BASE + 4000), eq(BASE + 4000));
}
