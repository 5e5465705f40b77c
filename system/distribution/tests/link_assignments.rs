//! Which coordinators the links of an agent poll.
use googletest::prelude::*;
use magpiegap_distribution::LinkAssignments;

const CHAIN: [u32; 3] = [11, 12, 13];

#[googletest::test]
fn given_two_links_when_both_begin_at_the_same_candidate_then_they_poll_different_coordinators() {
    let mut assignments = LinkAssignments::new(2);
    expect_that!(assignments.assign(0, &CHAIN, 4), some(eq(12)));
    expect_that!(assignments.assign(1, &CHAIN, 4), some(eq(13)));
}

#[googletest::test]
fn given_a_link_that_moves_on_when_another_link_polls_the_next_candidate_then_it_is_skipped() {
    let mut assignments = LinkAssignments::new(2);
    assignments.assign(0, &CHAIN, 0);
    assignments.assign(1, &CHAIN, 1);
    expect_that!(assignments.assign(0, &CHAIN, 1), some(eq(13)));
    expect_that!(assignments.assign(1, &CHAIN, 2), some(eq(11)));
}

#[googletest::test]
fn given_one_coordinator_when_there_are_two_links_then_both_poll_it() {
    let mut assignments = LinkAssignments::new(2);
    expect_that!(assignments.assign(0, &[11], 7), some(eq(11)));
    expect_that!(assignments.assign(1, &[11], 8), some(eq(11)));
    expect_that!(assignments.assign(0, &[], 8), none());
}
