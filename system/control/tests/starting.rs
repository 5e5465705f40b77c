//! When replicas that have started propose a view.
use googletest::prelude::*;
use magpiegap_control::{ControlSettings, Output, Replica, Snapshot, StateMachine};
use magpiegap_protocol::{
    Entry, Heartbeat, Member, PeerMessage, PeerReport, Position, Replica as ReplicaId, View,
};

/// A state that nothing is done with.
struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _entry: &Entry) {}
    fn position(&self) -> Position {
        Position::default()
    }
    fn encode(&self) -> Vec<u8> {
        Vec::new()
    }
    fn restore(&mut self, _state: &[u8]) -> bool {
        true
    }
}

fn replica(address: u32) -> ReplicaId {
    ReplicaId { member: Member { address, disk: 0 }, boot: u64::from(address) }
}

/// The first of three replicas that have all started anew: view 1, with all three, is on its disk.
fn restarted() -> Replica {
    let voters: Vec<Member> = (1..=3).map(|address| replica(address).member).collect();
    let chain = (1..=3).map(replica).collect();
    let mut disk = Snapshot::empty(0, Some(1), voters.clone(), Vec::new());
    disk.agreement.current = View::initial(voters.clone()).next(voters, chain);
    let own = ReplicaId { boot: 99, ..replica(1) };
    let settings = ControlSettings {
        own,
        seeds: vec![1, 2, 3],
        tolerance: 1,
        heartbeat_ms: 60,
        suspect_ms: 320,
        seed: 1,
    };
    Replica::new(settings, &disk, 0)
}

/// A heartbeat of a replica that hears the first one.
fn heartbeat(view: u64, serving: bool) -> PeerMessage {
    let replica = ReplicaId { boot: 99, ..replica(1) };
    let heard = PeerReport { replica, age_ms: 1, view, serving: false, unfit: false };
    PeerMessage::Heartbeat(Heartbeat {
        view,
        serving,
        unfit: false,
        heard: vec![heard],
        wall_ms: 0,
        committed: 0,
    })
}

fn proposes(outputs: &[Output]) -> bool {
    let prepares =
        |output: &Output| matches!(output, Output::Send { message: PeerMessage::Prepare { .. }, .. });
    outputs.iter().any(prepares)
}

#[googletest::test]
fn given_a_start_of_all_when_all_voters_are_heard_then_a_view_is_proposed_at_once() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.receive(10, 0, replica(other), heartbeat(1, false), &mut NoState);
    }
    replica_1.tick(20, 20, &mut NoState);
    expect_that!(proposes(&replica_1.take_outputs()), eq(true));
}

#[googletest::test]
fn given_a_start_of_all_when_one_is_missing_then_the_others_are_given_time_to_settle() {
    let mut replica_1 = restarted();
    let mut proposed_at = None;
    for now in (0..1000).step_by(20) {
        replica_1.receive(now, 0, replica(2), heartbeat(1, false), &mut NoState);
        replica_1.tick(now, now, &mut NoState);
        let proposed = proposes(&replica_1.take_outputs());
        proposed_at = proposed_at.or(proposed.then_some(now));
    }
    expect_that!(proposed_at, some(ge(150)));
}

#[googletest::test]
fn given_others_that_serve_when_a_replica_starts_then_it_disturbs_them_only_once_it_has_settled() {
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.receive(10, 0, replica(other), heartbeat(1, true), &mut NoState);
    }
    replica_1.tick(20, 20, &mut NoState);
    expect_that!(proposes(&replica_1.take_outputs()), eq(false));
}

#[googletest::test]
fn given_a_replica_that_is_heard_for_the_first_time_then_it_is_answered_at_the_next_tick() {
    let mut replica_1 = restarted();
    replica_1.tick(0, 0, &mut NoState);
    replica_1.take_outputs();
    replica_1.receive(10, 0, replica(2), heartbeat(1, false), &mut NoState);
    replica_1.tick(20, 20, &mut NoState);
    let heartbeats =
        |output: &Output| matches!(output, Output::Send { to: 2, message: PeerMessage::Heartbeat(_) });
    expect_that!(replica_1.take_outputs().iter().any(heartbeats), eq(true));
}

#[googletest::test]
fn given_a_view_with_all_when_they_serve_before_they_have_settled_then_no_other_view_is_proposed() {
    // Given: a view with this life of all three, agreed a moment after they were first heard
    let mut replica_1 = restarted();
    for other in [2, 3] {
        replica_1.receive(10, 0, replica(other), heartbeat(1, false), &mut NoState);
    }
    let own = ReplicaId { boot: 99, ..replica(1) };
    let chain = vec![own, replica(2), replica(3)];
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    let view = View::initial(voters.clone()).next(voters.clone(), chain.clone()).next(voters, chain);
    replica_1.receive(20, 0, replica(2), PeerMessage::Decided(view), &mut NoState);
    // When
    let mut proposed = false;
    for now in (20..140).step_by(20) {
        for other in [2, 3] {
            replica_1.receive(now, 0, replica(other), heartbeat(2, true), &mut NoState);
        }
        replica_1.tick(now, now, &mut NoState);
        proposed |= proposes(&replica_1.take_outputs());
    }
    // Then
    expect_that!(proposed, eq(false));
}
