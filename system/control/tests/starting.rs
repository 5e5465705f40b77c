//! When replicas that have started propose a view.
mod common;

use common::{heartbeat, no_state, report, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableRecord, DurableState, Output, Replica};
use magpiegap_protocol::{
    Ballot, Heartbeat, Member, PeerMessage, ReplicaId, View, ViewNumber, WallMillis,
};

fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: u64::from(address),
    }
}

/// The incarnation of a replica after its start.
fn new_incarnation(address: u32) -> ReplicaId {
    ReplicaId {
        incarnation: 90 + u64::from(address),
        ..replica(address)
    }
}

/// The first of three replicas that have all started anew: view 1, with all three, is on its disk.
fn restarted() -> Replica {
    restarted_after(None)
}

/// The same, when it has promised a ballot before.
fn restarted_after(promised: Option<Ballot>) -> Replica {
    let voters: Vec<Member> = (1..=3).map(|address| replica(address).member).collect();
    let chain = (1..=3).map(replica).collect();
    let mut disk = DurableState::empty(0, Some(ViewNumber(1)), voters.clone(), no_state());
    disk.agreement.current = View::initial(voters.clone()).next(voters, chain);
    disk.agreement.promised = promised;
    let own = new_incarnation(1);
    started(settings(own, vec![1, 2, 3]), disk)
}

/// A heartbeat of a replica that hears the first one.
fn heard_heartbeat(view: u64, serving: bool) -> PeerMessage {
    let heard = vec![report(new_incarnation(1), view)];
    PeerMessage::Heartbeat(Heartbeat {
        serving,
        reports: heard,
        ..heartbeat(view)
    })
}

fn proposes(outputs: &[Output]) -> bool {
    let prepares = |output: &Output| {
        matches!(
            output,
            Output::Send {
                message: PeerMessage::Prepare { .. },
                ..
            }
        )
    };
    outputs.iter().any(prepares)
}

#[googletest::test]
fn given_a_promise_when_a_view_is_needed_then_a_round_starts_only_with_a_ballot_above_it() {
    for (round, is_proposed) in [(0, true), (u64::MAX - 1, true), (u64::MAX, false)] {
        let promised = Ballot { round, proposer: 7 };
        let mut replica_1 = restarted_after(Some(promised));
        for other in [2, 3] {
            let heard = heard_heartbeat(1, false);
            let from = new_incarnation(other);
            replica_1.handle_messages(10, WallMillis(0), from, heard, &mut NoState);
        }
        let mut outputs = Vec::new();
        for now in (20..10_000).step_by(20) {
            replica_1.on_timeout(now, WallMillis(now), &mut NoState);
            outputs.extend(replica_1.poll_outputs());
        }
        expect_that!(proposes(&outputs), eq(is_proposed), "{round}");
    }
}

#[googletest::test]
fn given_a_start_of_all_when_all_voters_are_heard_then_a_view_is_proposed_at_once() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.handle_messages(
            10,
            WallMillis(0),
            new_incarnation(other),
            heard_heartbeat(1, false),
            &mut NoState,
        );
    }
    replica_1.on_timeout(20, WallMillis(20), &mut NoState);
    expect_that!(proposes(&replica_1.poll_outputs()), eq(true));
}

#[googletest::test]
fn given_a_start_of_all_when_one_is_missing_then_the_others_wait_until_they_are_stable() {
    let mut replica_1 = restarted();
    let mut proposed_at = None;
    for now in (0..1000).step_by(20) {
        replica_1.handle_messages(
            now,
            WallMillis(0),
            new_incarnation(2),
            heard_heartbeat(1, false),
            &mut NoState,
        );
        replica_1.on_timeout(now, WallMillis(now), &mut NoState);
        let proposed = proposes(&replica_1.poll_outputs());
        proposed_at = proposed_at.or(proposed.then_some(now));
    }
    expect_that!(proposed_at, some(ge(150)));
}

#[googletest::test]
fn given_others_that_serve_when_a_replica_starts_then_it_disturbs_them_only_once_it_is_stable() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.handle_messages(
            10,
            WallMillis(0),
            new_incarnation(other),
            heard_heartbeat(1, true),
            &mut NoState,
        );
    }
    replica_1.on_timeout(20, WallMillis(20), &mut NoState);
    expect_that!(proposes(&replica_1.poll_outputs()), eq(false));
}

#[googletest::test]
fn given_a_replica_that_is_heard_for_the_first_time_then_it_is_answered_at_the_next_tick() {
    let mut replica_1 = restarted();
    replica_1.on_timeout(0, WallMillis(0), &mut NoState);
    replica_1.poll_outputs();
    replica_1.handle_messages(
        10,
        WallMillis(0),
        new_incarnation(2),
        heard_heartbeat(1, false),
        &mut NoState,
    );
    replica_1.on_timeout(20, WallMillis(20), &mut NoState);
    let heartbeats = |output: &Output| {
        matches!(
            output,
            Output::Send {
                to: 2,
                message: PeerMessage::Heartbeat(_)
            }
        )
    };
    expect_that!(replica_1.poll_outputs().iter().any(heartbeats), eq(true));
}

#[googletest::test]
fn given_a_view_with_all_when_one_of_them_is_not_stable_yet_then_no_view_without_it_is_proposed() {
    // Given: a view with this incarnation of all three, agreed a moment after the last of them was first heard
    let mut replica_1 = restarted();
    for now in (0..100).step_by(20) {
        replica_1.handle_messages(
            now,
            WallMillis(0),
            new_incarnation(2),
            heard_heartbeat(1, false),
            &mut NoState,
        );
    }
    replica_1.handle_messages(
        100,
        WallMillis(0),
        new_incarnation(3),
        heard_heartbeat(1, false),
        &mut NoState,
    );
    let chain: Vec<ReplicaId> = (1..=3).map(new_incarnation).collect();
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    let view = View::initial(voters.clone())
        .next(voters.clone(), chain.clone())
        .next(voters, chain);
    replica_1.handle_messages(
        110,
        WallMillis(0),
        new_incarnation(2),
        PeerMessage::Decided(view),
        &mut NoState,
    );
    // When
    let mut proposed = false;
    for now in (120..400).step_by(20) {
        for other in [2, 3] {
            replica_1.handle_messages(
                now,
                WallMillis(0),
                new_incarnation(other),
                heard_heartbeat(2, true),
                &mut NoState,
            );
        }
        replica_1.on_timeout(now, WallMillis(now), &mut NoState);
        proposed |= proposes(&replica_1.poll_outputs());
    }
    // Then
    expect_that!(proposed, eq(false));
}

#[googletest::test]
fn given_a_voter_that_has_started_when_too_few_have_heard_it_then_its_vote_waits_for_them() {
    let ballot = Ballot {
        round: 1,
        proposer: 7,
    };
    let prepare = PeerMessage::Prepare {
        number: ViewNumber(2),
        ballot,
    };
    // Given: no voter has said that it hears this process
    let mut replica_1 = restarted();
    let proposer = new_incarnation(2);
    replica_1.handle_messages(10, WallMillis(10), proposer, prepare, &mut NoState);
    expect_that!(writes_a_promise(&replica_1.poll_outputs()), eq(false));
    // When
    let heard = heard_heartbeat(1, false);
    replica_1.handle_messages(20, WallMillis(20), proposer, heard, &mut NoState);
    // Then: with itself that is a majority of three
    expect_that!(writes_a_promise(&replica_1.poll_outputs()), eq(true));
}

/// Whether a promise for the next view goes to disk.
fn writes_a_promise(outputs: &[Output]) -> bool {
    let promises = |record: &DurableRecord| match record {
        DurableRecord::Agreement(agreement) => agreement.promised.is_some(),
        _ => false,
    };
    outputs.iter().any(|output| match output {
        Output::Persist { records, .. } => records.iter().any(promises),
        _ => false,
    })
}
