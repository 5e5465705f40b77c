//! A replica that joins asks its predecessor for what is missing, and does not keep it from its work.
use googletest::prelude::*;
use magpiegap_control::{ControlSettings, Output, Replica, Snapshot, StateMachine};
use magpiegap_protocol::{Entry, Member, PeerMessage, Position, Replica as ReplicaId, View};

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

fn replica(address: u32, disk: u64) -> ReplicaId {
    ReplicaId { member: Member { address, disk }, boot: u64::from(address) }
}

#[googletest::test]
fn given_a_predecessor_that_takes_long_when_a_replica_joins_then_it_asks_less_and_less_often() {
    // Given: a replica with an empty disk, in a chain behind one that does not answer
    let (head, own) = (replica(1, 0), replica(2, 7));
    let settings =
        ControlSettings { own, seeds: vec![1], tolerance: 1, heartbeat_ms: 60, suspect_ms: 320, seed: 1 };
    let empty = Snapshot::empty(7, None, Vec::new(), Vec::new());
    let mut joining = Replica::new(settings, &empty, 0);
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own]);
    joining.receive(0, 0, head, PeerMessage::Decided(view), &mut NoState);
    // When
    let mut asked_at = Vec::new();
    for now in (0..6000).step_by(20) {
        joining.tick(now, now, &mut NoState);
        let asks =
            |output: &Output| matches!(output, Output::Send { message: PeerMessage::Synchronize { .. }, .. });
        if joining.take_outputs().iter().any(asks) {
            asked_at.push(now);
        }
    }
    // Then
    expect_that!(asked_at.first(), some(eq(&0)));
    expect_that!(asked_at.len(), le(8));
    expect_that!(asked_at.len(), ge(4));
    let pauses: Vec<u64> = asked_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(pauses.is_sorted(), eq(true), "{pauses:?}");
    expect_that!(pauses.last(), some(le(&2020)));
}
