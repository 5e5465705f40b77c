//! The timeout of calls adapts to response times.
use googletest::prelude::*;
use magpiegap_scheduler::ResponseTimes;

/// The timeout after `calls` calls that take `ms` each; a call that exceeds the timeout counts as lost.
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
fn initial_timeout_is_long() {
    expect_that!(
        ResponseTimes::default().timeout_ms(),
        all!(ge(300), le(400))
    );
}

#[googletest::test]
fn fast_replies_shorten_timeout() {
    expect_that!(timeout_after(100, 5), le(120));
}

#[googletest::test]
fn slow_replies_lengthen_timeout() {
    expect_that!(timeout_after(200, 100), all!(ge(140), le(200)));
    // A busy coordinator handles replies late. If they all counted as lost, every call would be retried.
    expect_that!(timeout_after(200, 400), gt(400));
    expect_that!(timeout_after(200, 600), gt(600));
}

#[googletest::test]
fn timeout_stays_short_when_few_replies_are_lost() {
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
