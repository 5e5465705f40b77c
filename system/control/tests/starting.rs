//! When restarted replicas propose a view and vote.
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

/// The incarnation of a replica after a restart.
fn new_incarnation(address: u32) -> ReplicaId {
    ReplicaId {
        incarnation: 90 + u64::from(address),
        ..replica(address)
    }
}

/// The first of three restarted replicas. View 1, with all three in the chain, is on its disk.
fn restarted() -> Replica {
    restarted_after(None)
}

/// The same replica, with an earlier promise on its disk.
fn restarted_after(promised: Option<Ballot>) -> Replica {
    let voters: Vec<Member> = (1..=3).map(|address| replica(address).member).collect();
    let chain = (1..=3).map(replica).collect();
    let mut disk = DurableState::empty(0, Some(ViewNumber(1)), voters.clone(), no_state());
    disk.agreement.current = View::initial(voters.clone()).next(voters, chain);
    disk.agreement.promised = promised;
    let own = new_incarnation(1);
    started(settings(own, vec![1, 2, 3]), disk)
}

/// A heartbeat of a replica that receives heartbeats from the first one.
fn heard_heartbeat(view: u64, serving: bool) -> PeerMessage {
    let reports = vec![report(new_incarnation(1), view)];
    PeerMessage::Heartbeat(Heartbeat {
        serving,
        reports,
        ..heartbeat(view)
    })
}

/// Whether a round was started.
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
fn new_round_uses_ballot_above_promised_one() {
    for (round, is_proposed) in [(0, true), (u64::MAX - 1, true), (u64::MAX, false)] {
        let promised = Ballot { round, proposer: 7 };
        let mut replica_1 = restarted_after(Some(promised));
        for other in [2, 3] {
            let heard = heard_heartbeat(1, false);
            let from = new_incarnation(other);
            replica_1.handle_message(10, WallMillis(0), from, heard, &mut NoState);
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
fn view_is_proposed_at_once_with_all_voters() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.handle_message(
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
fn proposal_waits_for_stability_without_all_voters() {
    let mut replica_1 = restarted();
    let mut proposed_at = None;
    for now in (0..1000).step_by(20) {
        replica_1.handle_message(
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
fn unstable_replica_does_not_disturb_serving_ones() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.handle_message(
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
fn new_replica_is_answered_at_next_tick() {
    let mut replica_1 = restarted();
    replica_1.on_timeout(0, WallMillis(0), &mut NoState);
    replica_1.poll_outputs();
    replica_1.handle_message(
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
fn unstable_member_is_not_removed_from_view() {
    // Given: a view with the current incarnations of all three, decided shortly after the first heartbeat of the last
    // one
    let mut replica_1 = restarted();
    for now in (0..100).step_by(20) {
        replica_1.handle_message(
            now,
            WallMillis(0),
            new_incarnation(2),
            heard_heartbeat(1, false),
            &mut NoState,
        );
    }
    replica_1.handle_message(
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
    replica_1.handle_message(
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
            replica_1.handle_message(
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
fn restarted_voter_defers_vote_until_majority_heard_it() {
    let ballot = Ballot {
        round: 1,
        proposer: 7,
    };
    let prepare = PeerMessage::Prepare {
        number: ViewNumber(2),
        ballot,
    };
    // Given: no voter has reported a heartbeat from this process
    let mut replica_1 = restarted();
    let proposer = new_incarnation(2);
    replica_1.handle_message(10, WallMillis(10), proposer, prepare, &mut NoState);
    expect_that!(writes_a_promise(&replica_1.poll_outputs()), eq(false));
    // When
    let heard = heard_heartbeat(1, false);
    replica_1.handle_message(20, WallMillis(20), proposer, heard, &mut NoState);
    // Then: together with this replica itself, a majority of three has heard from it
    expect_that!(writes_a_promise(&replica_1.poll_outputs()), eq(true));
}

/// Whether a promise for the next view is written to disk.
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
