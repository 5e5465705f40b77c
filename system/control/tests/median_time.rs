//! The time of day that replicas go by is the middle one of all that are heard.
mod common;

use common::{heartbeat, no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Replica};
use magpiegap_protocol::{
    Heartbeat, Member, Millis, PeerMessage, ReplicaId, ViewNumber, WallMillis,
};

/// True time of day when the replica's steady clock shows zero.
const TRUE_MS: WallMillis = WallMillis(1_700_000_000_000);

fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: u64::from(address),
    }
}

fn one_of_three() -> Replica {
    let voters: Vec<Member> = (1..=3).map(|address| replica(address).member).collect();
    started(
        settings(replica(1), vec![1, 2, 3]),
        DurableState::empty(0, Some(ViewNumber(0)), voters, no_state()),
    )
}

fn exchange_clocks(to: &mut Replica, from: u32, now: Millis, wall_ms: WallMillis) {
    let heartbeat = Heartbeat {
        wall_ms,
        ..heartbeat(0)
    };
    to.handle_messages(
        now,
        TRUE_MS + now,
        replica(from),
        PeerMessage::Heartbeat(heartbeat),
        &mut NoState,
    );
}

#[googletest::test]
fn given_a_clock_that_is_far_ahead_when_two_others_are_heard_then_it_is_not_followed() {
    let mut replica_1 = one_of_three();
    exchange_clocks(&mut replica_1, 2, 100, TRUE_MS + 100);
    exchange_clocks(&mut replica_1, 3, 100, TRUE_MS + 103);
    let own_wall = TRUE_MS + 60_100;
    expect_that!(
        replica_1.median_time_of_day(own_wall, 100),
        eq(TRUE_MS + 103)
    );
    // What others reported counts on with the steady clock.
    expect_that!(
        replica_1.median_time_of_day(own_wall, 300),
        eq(TRUE_MS + 303)
    );
}

#[googletest::test]
fn given_another_clock_that_is_far_behind_when_it_is_heard_then_the_median_counts() {
    let mut replica_1 = one_of_three();
    exchange_clocks(&mut replica_1, 2, 100, TRUE_MS - 3_600_000);
    exchange_clocks(&mut replica_1, 3, 100, TRUE_MS + 90);
    expect_that!(
        replica_1.median_time_of_day(TRUE_MS + 100, 100),
        eq(TRUE_MS + 90)
    );
}
