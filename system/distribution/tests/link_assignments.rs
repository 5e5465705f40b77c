//! Assignment of coordinators to the links of an agent.
use googletest::prelude::*;
use magpiegap_distribution::LinkAssignments;

const CHAIN: [u32; 3] = [11, 12, 13];

#[googletest::test]
fn links_with_same_start_poll_different_coordinators() {
    let mut assignments = LinkAssignments::new(2);
    expect_that!(assignments.assign(0, &CHAIN, 4), some(eq(12)));
    expect_that!(assignments.assign(1, &CHAIN, 4), some(eq(13)));
}

#[googletest::test]
fn link_skips_candidate_polled_by_another_link() {
    let mut assignments = LinkAssignments::new(2);
    assignments.assign(0, &CHAIN, 0);
    assignments.assign(1, &CHAIN, 1);
    expect_that!(assignments.assign(0, &CHAIN, 1), some(eq(13)));
    expect_that!(assignments.assign(1, &CHAIN, 2), some(eq(11)));
}

#[googletest::test]
fn links_share_a_single_coordinator() {
    let mut assignments = LinkAssignments::new(2);
    expect_that!(assignments.assign(0, &[11], 7), some(eq(11)));
    expect_that!(assignments.assign(1, &[11], 8), some(eq(11)));
    expect_that!(assignments.assign(0, &[], 8), none());
}
