//! Replicas use the median of the wall clocks in the heartbeats that they receive and of their own, so that a single
//! wrong clock has no effect.
mod common;

use common::{heartbeat, no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Replica};
use magpiegap_protocol::{
    Heartbeat, Member, Millis, PeerMessage, ReplicaId, ViewNumber, WallMillis,
};

/// The true time of day when the replica's steady clock reads zero.
const TRUE_MS: WallMillis = WallMillis(1_700_000_000_000);

fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: u64::from(address),
    }
}

fn first_of_three() -> Replica {
    let voters: Vec<Member> = (1..=3).map(|address| replica(address).member).collect();
    started(
        settings(replica(1), vec![1, 2, 3]),
        DurableState::empty(0, Some(ViewNumber(0)), voters, no_state()),
    )
}

fn receive_clock(to: &mut Replica, from: u32, now: Millis, wall_ms: WallMillis) {
    let heartbeat = Heartbeat {
        wall_ms,
        ..heartbeat(0)
    };
    to.handle_message(
        now,
        TRUE_MS + now,
        replica(from),
        PeerMessage::Heartbeat(heartbeat),
        &mut NoState,
    );
}

#[googletest::test]
fn own_clock_far_ahead_is_outvoted() {
    let mut replica_1 = first_of_three();
    receive_clock(&mut replica_1, 2, 100, TRUE_MS + 100);
    receive_clock(&mut replica_1, 3, 100, TRUE_MS + 103);
    let own_wall = TRUE_MS + 60_100;
    expect_that!(
        replica_1.median_time_of_day(own_wall, 100),
        eq(TRUE_MS + 103)
    );
    // The reported wall clocks advance with the steady clock.
    expect_that!(
        replica_1.median_time_of_day(own_wall, 300),
        eq(TRUE_MS + 303)
    );
}

#[googletest::test]
fn peer_clock_far_behind_is_outvoted() {
    let mut replica_1 = first_of_three();
    receive_clock(&mut replica_1, 2, 100, TRUE_MS - 3_600_000);
    receive_clock(&mut replica_1, 3, 100, TRUE_MS + 90);
    expect_that!(
        replica_1.median_time_of_day(TRUE_MS + 100, 100),
        eq(TRUE_MS + 90)
    );
}
