//! Jumps of a clock are not followed, corrections are.
use googletest::prelude::*;
use magpiegap_control::TimeOfDay;
use magpiegap_protocol::WallMillis;

/// What the clock shows when the steady clock shows zero.
const BASE: WallMillis = WallMillis(1_000_000);

/// A clock that has been read for a while.
fn known_clock() -> TimeOfDay {
    let mut clock = TimeOfDay::default();
    for now in (0..=20_000).step_by(100) {
        clock.read(now, BASE + now);
    }
    clock
}

#[googletest::test]
fn given_a_known_clock_when_it_jumps_and_jumps_back_then_the_time_goes_on_evenly() {
    for jump in [8_000_i64, -8_000] {
        let mut clock = known_clock();
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
fn given_a_known_clock_when_it_drifts_then_it_is_followed() {
    let mut clock = known_clock();
    expect_that!(clock.read(20_100, BASE + 20_300), eq(BASE + 20_300));
    expect_that!(clock.read(20_200, BASE + 20_600), eq(BASE + 20_600));
}

#[googletest::test]
fn given_a_known_clock_when_a_jump_lasts_for_a_minute_then_it_is_a_correction() {
    let mut clock = known_clock();
    let mut followed_at = 0;
    for now in (21_000..100_000).step_by(500) {
        if clock.read(now, BASE + now + 5000) == BASE + now + 5000 && followed_at == 0 {
            followed_at = now;
        }
    }
    expect_that!(followed_at, eq(81_000));
}

#[googletest::test]
fn given_a_clock_that_was_first_read_amid_a_jump_when_it_jumps_back_then_it_is_followed_at_once() {
    let mut clock = TimeOfDay::default();
    clock.read(0, BASE + 5000);
    clock.read(3000, BASE + 8000);
    expect_that!(clock.read(4000, BASE + 4000), eq(BASE + 4000));
}
