//! Which coordinators an agent asks for news.
use googletest::prelude::*;
use magpiegap_distribution::Places;

const CHAIN: [u32; 3] = [11, 12, 13];

#[googletest::test]
fn given_two_links_when_both_have_the_same_turn_then_they_are_at_different_coordinators() {
    let mut places = Places::new(2);
    expect_that!(places.take(0, &CHAIN, 4), some(eq(12)));
    expect_that!(places.take(1, &CHAIN, 4), some(eq(13)));
}

#[googletest::test]
fn given_a_link_that_moves_on_when_the_next_place_is_taken_then_it_passes_it_by() {
    let mut places = Places::new(2);
    places.take(0, &CHAIN, 0);
    places.take(1, &CHAIN, 1);
    expect_that!(places.take(0, &CHAIN, 1), some(eq(13)));
    expect_that!(places.take(1, &CHAIN, 2), some(eq(11)));
}

#[googletest::test]
fn given_one_coordinator_when_two_links_ask_then_both_are_there() {
    let mut places = Places::new(2);
    expect_that!(places.take(0, &[11], 7), some(eq(11)));
    expect_that!(places.take(1, &[11], 8), some(eq(11)));
    expect_that!(places.take(0, &[], 8), none());
}
