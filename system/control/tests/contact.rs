//! What counts as proof that a view is still the newest one.
mod common;

use common::{group::Group, heartbeat, no_state, report, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Replica, QUORUM_CONTACT_TIMEOUT_MS};
use magpiegap_protocol::{
    Heartbeat, Member, Millis, PeerMessage, PeerReport, ReplicaId, View, ViewNumber, WallMillis,
};

fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: u64::from(address),
    }
}

/// The first of three in view 1, at work.
fn head() -> Replica {
    let chain: Vec<ReplicaId> = (1..=3).map(replica).collect();
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    let disk = DurableState::empty(0, Some(ViewNumber(0)), voters.clone(), no_state());
    let mut head = started(settings(replica(1), vec![1, 2, 3]), disk);
    let view = View::initial(voters.clone()).next(voters, chain);
    head.handle_messages(
        0,
        WallMillis(0),
        replica(2),
        PeerMessage::Decided(view),
        &mut NoState,
    );
    assert!(head.is_active());
    head
}

/// Lets the head hear a message of another replica at a time.
fn hear(head: &mut Replica, now: Millis, from: ReplicaId, message: PeerMessage) {
    head.handle_messages(now, WallMillis(0), from, message, &mut NoState);
}

/// A heartbeat from a voter that has got the head's heartbeat of a time.
fn echo(view: u64, echo: Millis, sealed: bool) -> PeerMessage {
    let heard = vec![PeerReport {
        serving: true,
        echo,
        ..report(replica(1), 1)
    }];
    PeerMessage::Heartbeat(Heartbeat {
        serving: true,
        reports: heard,
        sent_at: 1,
        sealed,
        ..heartbeat(view)
    })
}

#[googletest::test]
fn given_an_echo_of_a_majority_when_it_comes_then_the_view_stood_when_its_heartbeat_was_sent() {
    let mut head = head();
    expect_that!(head.has_quorum_contact(100), eq(false));
    hear(&mut head, 150, replica(2), echo(1, 100, false));
    expect_that!(head.confirmed_at(160), eq(100));
    expect_that!(head.has_quorum_contact_since(99, 160), eq(true));
    expect_that!(head.has_quorum_contact_since(100, 160), eq(false));
    expect_that!(
        head.has_quorum_contact(100 + QUORUM_CONTACT_TIMEOUT_MS),
        eq(true)
    );
    expect_that!(
        head.has_quorum_contact(101 + QUORUM_CONTACT_TIMEOUT_MS),
        eq(false)
    );
}

#[googletest::test]
fn given_a_machine_that_was_frozen_when_older_heartbeats_come_then_they_prove_nothing_newer() {
    let mut head = head();
    // They were sent before, and waited in its sockets.
    for waited in [100, 160, 220] {
        hear(&mut head, 20_000, replica(2), echo(1, waited, false));
        hear(&mut head, 20_000, replica(3), echo(1, waited, false));
    }
    expect_that!(head.has_quorum_contact(20_000), eq(false));
    expect_that!(head.confirmed_at(20_000), eq(220));
}

#[googletest::test]
fn given_a_voter_that_takes_part_in_the_next_view_when_it_is_heard_then_it_confirms_nothing() {
    let mut head = head();
    hear(&mut head, 150, replica(2), echo(1, 100, true));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn given_a_voter_that_knows_another_view_when_it_is_heard_then_it_confirms_nothing_of_this_one() {
    let mut head = head();
    hear(&mut head, 150, replica(2), echo(2, 100, false));
    hear(&mut head, 150, replica(3), echo(0, 100, false));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn given_a_voter_whose_disk_was_lost_when_its_machine_is_heard_then_it_confirms_nothing() {
    let mut head = head();
    let wiped = ReplicaId {
        member: Member {
            address: 2,
            disk: 77,
        },
        incarnation: 9,
    };
    hear(&mut head, 150, wiped, echo(1, 100, false));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn given_heartbeats_that_overtake_each_other_when_the_older_comes_last_then_the_newer_counts() {
    let mut head = head();
    hear(&mut head, 150, replica(2), echo(1, 140, false));
    hear(&mut head, 160, replica(2), echo(1, 100, false));
    expect_that!(head.confirmed_at(160), eq(140));
}

#[googletest::test]
fn given_contact_with_a_majority_when_the_tail_is_not_heard_then_what_is_committed_is_not_known() {
    let mut head = head();
    hear(&mut head, 150, replica(2), echo(1, 100, false));
    expect_that!(head.has_quorum_contact(160), eq(true));
    expect_that!(head.knows_committed(160), eq(false));
    hear(&mut head, 170, replica(3), echo(1, 140, false));
    expect_that!(head.knows_committed(180), eq(true));
    // From then on only the middle one is heard.
    hear(&mut head, 900, replica(2), echo(1, 880, false));
    expect_that!(head.has_quorum_contact(910), eq(true));
    expect_that!(head.knows_committed(910), eq(false));
}

#[googletest::test]
fn given_a_chain_of_any_length_when_it_serves_then_each_member_knows_what_is_committed() {
    for size in [3, 9, 10, 11, 13, 16] {
        let mut group = Group::start(size, 2);
        for _ in 0..10 {
            group.write();
            group.run(200);
        }
        expect_that!(group.chain().len() as u32, eq(size));
        for address in group.chain() {
            let knows = group.replica(address).knows_committed(group.now);
            expect_that!(knows, eq(true), "{address} of {size}");
        }
    }
}
