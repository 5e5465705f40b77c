//! The timeout of calls, by how long replies take.
use googletest::prelude::*;
use magpiegap_scheduler::ResponseTimes;

/// The timeout after so many calls with this response time; one that takes longer than the timeout counts as lost.
fn timeout_after(calls: usize, ms: u64) -> u64 {
    let mut response_times = ResponseTimes::default();
    for _ in 0..calls {
        if ms < response_times.timeout_ms() {
            response_times.record_reply(ms);
        } else {
            response_times.record_timeout();
        }
    }
    response_times.timeout_ms()
}

#[googletest::test]
fn given_no_replies_yet_when_all_workers_are_called_then_the_timeout_is_long() {
    expect_that!(
        ResponseTimes::default().timeout_ms(),
        all!(ge(300), le(400))
    );
}

#[googletest::test]
fn given_fast_replies_when_some_have_come_then_the_timeout_is_short() {
    expect_that!(timeout_after(100, 5), le(120));
}

#[googletest::test]
fn given_slow_replies_when_they_come_then_the_timeout_is_longer() {
    expect_that!(timeout_after(200, 100), all!(ge(140), le(200)));
    // A busy coordinator takes replies in late. They must not all be taken for lost: all calls would be made again.
    expect_that!(timeout_after(200, 400), gt(400));
    expect_that!(timeout_after(200, 600), gt(600));
}

#[googletest::test]
fn given_fast_replies_when_one_in_ten_is_lost_then_the_timeout_stays_short() {
    let mut response_times = ResponseTimes::default();
    for number in 1..500 {
        if number % 10 == 0 {
            response_times.record_timeout();
        } else {
            response_times.record_reply(5);
        }
    }
    expect_that!(response_times.timeout_ms(), le(120));
}
