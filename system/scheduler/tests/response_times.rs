//! How long answers are waited for.
use googletest::prelude::*;
use magpiegap_scheduler::ResponseTimes;

/// The wait after so many answers that took this long; one that takes longer than is waited counts as none.
fn wait_after(answers: usize, ms: u64) -> u64 {
    let mut occurrences = ResponseTimes::default();
    for _ in 0..answers {
        if ms < occurrences.wait_ms() {
            occurrences.answered(ms);
        } else {
            occurrences.unanswered();
        }
    }
    occurrences.wait_ms()
}

#[googletest::test]
fn given_nothing_known_when_all_workers_are_greeted_then_their_answers_are_waited_for_a_while() {
    expect_that!(ResponseTimes::default().wait_ms(), all!(ge(300), le(400)));
}

#[googletest::test]
fn given_quick_answers_when_some_have_come_then_a_lost_one_is_noticed_soon() {
    expect_that!(wait_after(100, 5), le(120));
}

#[googletest::test]
fn given_slow_answers_when_they_come_then_they_are_waited_for() {
    expect_that!(wait_after(200, 100), all!(ge(140), le(200)));
    // A busy coordinator takes answers in late. They must not all be taken for lost: all calls would be made again.
    expect_that!(wait_after(200, 400), gt(400));
    expect_that!(wait_after(200, 600), gt(600));
}

#[googletest::test]
fn given_quick_answers_when_one_in_ten_is_lost_then_the_wait_stays_short() {
    let mut occurrences = ResponseTimes::default();
    for number in 1..500 {
        if number % 10 == 0 {
            occurrences.unanswered();
        } else {
            occurrences.answered(5);
        }
    }
    expect_that!(occurrences.wait_ms(), le(120));
}
