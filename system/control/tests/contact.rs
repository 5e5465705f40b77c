//! Quorum contact: which echoes prove that a view is still the newest one.
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

/// The active head of a chain of three in view 1.
fn head() -> Replica {
    let chain: Vec<ReplicaId> = (1..=3).map(replica).collect();
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    let disk = DurableState::empty(0, Some(ViewNumber(0)), voters.clone(), no_state());
    let mut head = started(settings(replica(1), vec![1, 2, 3]), disk);
    let view = View::initial(voters.clone()).next(voters, chain);
    head.handle_message(
        0,
        WallMillis(0),
        replica(2),
        PeerMessage::Decided(view),
        &mut NoState,
    );
    assert!(head.is_active());
    head
}

/// Delivers a message to the head.
fn deliver(head: &mut Replica, now: Millis, from: ReplicaId, message: PeerMessage) {
    head.handle_message(now, WallMillis(0), from, message, &mut NoState);
}

/// A heartbeat that echoes the head's heartbeat sent at time `echo`.
fn echo(view: u64, echo: Millis, sealed: bool) -> PeerMessage {
    let reports = vec![PeerReport {
        serving: true,
        echo,
        ..report(replica(1), 1)
    }];
    PeerMessage::Heartbeat(Heartbeat {
        serving: true,
        reports,
        sent_at: 1,
        sealed,
        ..heartbeat(view)
    })
}

#[googletest::test]
fn majority_echo_confirms_view_at_send_time() {
    let mut head = head();
    expect_that!(head.has_quorum_contact(100), eq(false));
    deliver(&mut head, 150, replica(2), echo(1, 100, false));
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
fn delayed_echoes_do_not_confirm_newer_times() {
    let mut head = head();
    // The machine was frozen, and old heartbeats were queued in its sockets.
    for echoed_at in [100, 160, 220] {
        deliver(&mut head, 20_000, replica(2), echo(1, echoed_at, false));
        deliver(&mut head, 20_000, replica(3), echo(1, echoed_at, false));
    }
    expect_that!(head.has_quorum_contact(20_000), eq(false));
    expect_that!(head.confirmed_at(20_000), eq(220));
}

#[googletest::test]
fn sealed_voter_does_not_confirm_view() {
    let mut head = head();
    deliver(&mut head, 150, replica(2), echo(1, 100, true));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn echo_from_another_view_does_not_confirm() {
    let mut head = head();
    deliver(&mut head, 150, replica(2), echo(2, 100, false));
    deliver(&mut head, 150, replica(3), echo(0, 100, false));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn echo_from_wiped_voter_does_not_confirm() {
    let mut head = head();
    let wiped = ReplicaId {
        member: Member {
            address: 2,
            disk: 77,
        },
        incarnation: 9,
    };
    deliver(&mut head, 150, wiped, echo(1, 100, false));
    expect_that!(head.has_quorum_contact(150), eq(false));
}

#[googletest::test]
fn reordered_echoes_keep_newest_confirmation() {
    let mut head = head();
    deliver(&mut head, 150, replica(2), echo(1, 140, false));
    deliver(&mut head, 160, replica(2), echo(1, 100, false));
    expect_that!(head.confirmed_at(160), eq(140));
}

#[googletest::test]
fn commit_knowledge_requires_echo_from_tail() {
    let mut head = head();
    deliver(&mut head, 150, replica(2), echo(1, 100, false));
    expect_that!(head.has_quorum_contact(160), eq(true));
    expect_that!(head.knows_committed(160), eq(false));
    deliver(&mut head, 170, replica(3), echo(1, 140, false));
    expect_that!(head.knows_committed(180), eq(true));
    // From then on only the middle replica sends heartbeats.
    deliver(&mut head, 900, replica(2), echo(1, 880, false));
    expect_that!(head.has_quorum_contact(910), eq(true));
    expect_that!(head.knows_committed(910), eq(false));
}

#[googletest::test]
fn every_chain_member_knows_committed_entries() {
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
