//! Agents on links of any rate get every configuration, and the feed never waits behind one.
mod common;
mod slow_link;

use common::configuration;
use googletest::prelude::*;
use magpiegap_distribution::{Agent, AgentSettings, Call, CallFailure, CallId};
use magpiegap_protocol::{
    ConfigurationChunk, ConfigurationFetch, CoordinatorRequest, CoordinatorResponse, Feed,
    TransferId, ViewNumber,
};
use slow_link::{body_bytes, World, COORDINATORS};

/// Routes of a large configuration.
const MANY: u64 = 2000;
/// A link of 2 Mbit/s, in bytes a second.
const SLOW: u64 = 250_000;
/// A link of 64 kbit/s.
const VERY_SLOW: u64 = 8_000;

#[googletest::test]
fn given_a_slow_link_when_a_large_configuration_comes_then_it_arrives_in_time() {
    let mut world = World::new(SLOW);
    world.push(configuration(1, 0..MANY));
    world.run_until(3000);
    expect_that!(world.version(), eq(1));
    // A body as the operator sent it would not have come within the timeout of one response.
    expect_that!(body_bytes(&configuration(1, 0..MANY)), gt(SLOW / 4));
}

#[googletest::test]
fn given_a_very_slow_link_when_a_large_configuration_comes_then_it_arrives_however_long_that_takes()
{
    let mut world = World::new(VERY_SLOW);
    world.push(configuration(1, 0..MANY));
    world.run_until(60_000);
    expect_that!(world.version(), eq(1));
    // Nothing is sent twice.
    let complete = world.source_bytes();
    expect_that!(world.chunk_bytes(), eq(complete));
}

#[googletest::test]
fn given_a_burst_of_large_configurations_when_the_link_is_slow_then_the_newest_is_in_force_soon_after(
) {
    let mut world = World::new(SLOW);
    world.push(configuration(1, 0..MANY));
    world.run_until(3000);
    for version in 2..20 {
        world.push(configuration(version, 0..MANY + version));
        world.run_for(330);
        expect_that!(world.version(), ge(version - 1));
    }
    world.run_for(400);
    expect_that!(world.version(), eq(19));
}

#[googletest::test]
fn given_a_configuration_in_transfer_when_a_role_changes_its_holder_then_the_feed_does_not_wait_behind_it(
) {
    let mut world = World::new(SLOW);
    world.push(configuration(1, 0..10 * MANY));
    world.run_until(400);
    expect_that!(world.version(), eq(0), "it is still on its way");
    world.change_role_holder();
    let changed_at = world.now();
    while world.token() < 2 {
        world.run_for(10);
        assert_that!(world.now(), lt(changed_at + 300));
    }
    expect_that!(world.version(), eq(0), "it is still on its way");
    world.run_for(6000);
    expect_that!(world.version(), eq(1));
}

#[googletest::test]
fn given_all_coordinators_down_for_a_while_when_they_restart_with_a_large_change_then_it_arrives() {
    let mut world = World::new(SLOW);
    world.push(configuration(1, 0..MANY));
    world.run_until(3000);
    world.set_down(COORDINATORS);
    world.run_for(9500);
    // They remember no other version after their start.
    world.restart_with(configuration(9, MANY..2 * MANY));
    world.set_down(0);
    world.run_for(2500);
    expect_that!(world.version(), eq(9));
}

#[googletest::test]
fn given_clients_that_fill_the_link_when_responses_take_a_second_then_the_agent_is_served_all_the_same(
) {
    let mut world = World::new(SLOW);
    world.queue_delay_ms(1100);
    world.push(configuration(1, 0..10));
    world.run_until(8000);
    expect_that!(world.version(), eq(1));
    world.push(configuration(2, 0..MANY));
    world.run_for(25_000);
    expect_that!(world.version(), eq(2));
}

#[googletest::test]
fn given_one_coordinator_that_serves_no_fetches_when_it_fails_then_another_one_is_chosen() {
    let mut world = World::new(SLOW);
    world.push(configuration(1, 0..MANY));
    world.refuse_fetches_at(0);
    world.run_until(5000);
    expect_that!(world.version(), eq(1));
}

#[googletest::test]
fn given_an_agent_that_knows_nothing_when_no_poll_succeeds_then_its_feed_is_empty_and_it_is_lost() {
    let mut agent = Agent::new(AgentSettings {
        own_address: 5,
        seeds: vec![1, 2, 3],
        links: 2,
    });
    expect_that!(agent.feed(), eq(&Feed::default()));
    expect_that!(agent.is_disconnected(), eq(true));
    let calls = agent.poll_calls(0);
    expect_that!(calls.len(), eq(2));
    expect_that!(calls[0].coordinator, not(eq(calls[1].coordinator)));
    expect_that!(agent.next_timeout(), none());
    expect_that!(
        agent.handle_outcome(1, CallId::Poll(0), Err(CallFailure::NotConnected)),
        eq(false)
    );
    // It moves on after a delay.
    expect_that!(agent.poll_calls(1).len(), eq(0));
    let due = agent.next_timeout().unwrap_or_default();
    expect_that!(
        agent.poll_calls(due)[0].coordinator,
        not(eq(calls[0].coordinator))
    );
}

#[googletest::test]
fn given_a_change_that_can_not_be_read_when_it_comes_then_that_is_reported_once_and_the_complete_one_requested(
) {
    let mut agent = Agent::new(AgentSettings {
        own_address: 5,
        seeds: vec![1],
        links: 1,
    });
    agent.poll_calls(0);
    let feed = Feed {
        view: ViewNumber(1),
        configuration_version: 4,
        revision: 1,
        chain: vec![1],
        ..Feed::default()
    };
    agent.handle_outcome(
        1,
        CallId::Poll(0),
        Ok(CoordinatorResponse::Feed(Box::new(feed))),
    );
    let is_fetch = |call: &Call| call.id == CallId::Fetch;
    expect_that!(
        agent
            .poll_calls(1)
            .iter()
            .filter(|call| is_fetch(call))
            .count(),
        eq(1)
    );
    let transfer = TransferId {
        base: 0,
        version: 4,
        checksum: 7,
    };
    let chunk = ConfigurationChunk {
        transfer,
        length: 3,
        offset: 0,
        bytes: vec![1, 2, 3],
    };
    agent.handle_outcome(
        2,
        CallId::Fetch,
        Ok(CoordinatorResponse::ConfigurationChunk(Box::new(chunk))),
    );
    let error = agent.take_change_error().map(|error| error.to_string());
    expect_that!(error, some(contains_substring("checksum")));
    expect_that!(agent.take_change_error().is_none(), eq(true));
    let again = agent
        .poll_calls(1000)
        .into_iter()
        .find(is_fetch)
        .map(|call| call.request);
    let complete = CoordinatorRequest::FetchConfiguration(ConfigurationFetch::default());
    expect_that!(again, some(eq(&complete)));
}

#[googletest::test]
fn given_a_feed_that_is_older_when_it_comes_then_that_coordinator_is_not_given_time() {
    let mut agent = Agent::new(AgentSettings {
        own_address: 5,
        seeds: vec![1, 2, 3],
        links: 1,
    });
    agent.poll_calls(0);
    let feed = |view, revision| Feed {
        view,
        revision,
        chain: vec![1, 2, 3],
        ..Feed::default()
    };
    let receive = |agent: &mut Agent, now, feed| {
        agent.handle_outcome(
            now,
            CallId::Poll(0),
            Ok(CoordinatorResponse::Feed(Box::new(feed))),
        )
    };
    expect_that!(receive(&mut agent, 1, feed(ViewNumber(4), 40)), eq(true));
    let waits = |agent: &mut Agent, now| match &agent.poll_calls(now)[..] {
        [call] => matches!(&call.request, CoordinatorRequest::Poll(poll) if poll.wait_ms > 0),
        _ => false,
    };
    expect_that!(
        waits(&mut agent, 2),
        eq(true),
        "one that has served may hold the poll"
    );
    expect_that!(receive(&mut agent, 3, feed(ViewNumber(3), 30)), eq(false));
    expect_that!(agent.feed().view, eq(ViewNumber(4)));
    expect_that!(waits(&mut agent, 1000), eq(false));
}
