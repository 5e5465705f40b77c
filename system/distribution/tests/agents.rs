//! Agents receive configurations over links of any rate, and configurations do not delay the feed.
mod common;
mod slow_link;

use common::configuration;
use googletest::prelude::*;
use magpiegap_distribution::{Agent, AgentSettings, Call, CallFailure, CallId};
use magpiegap_protocol::{
    ConfigurationChunk, ConfigurationFetch, CoordinatorRequest, CoordinatorResponse, Feed,
    TransferId, ViewNumber,
};
use slow_link::{body_bytes, Simulation, COORDINATORS};

/// Number of routes in a large configuration.
const LARGE_ROUTE_COUNT: u64 = 2000;
/// Rate of a slow link in bytes per second: 2 Mbit/s.
const SLOW_LINK: u64 = 250_000;
/// Rate of a very slow link in bytes per second: 64 kbit/s.
const VERY_SLOW_LINK: u64 = 8_000;

#[googletest::test]
fn large_configuration_arrives_in_time_over_slow_link() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.push(configuration(1, 0..LARGE_ROUTE_COUNT));
    simulation.run_until(3000);
    expect_that!(simulation.version(), eq(1));
    // The operator's body would not have arrived in a single response within its timeout.
    expect_that!(
        body_bytes(&configuration(1, 0..LARGE_ROUTE_COUNT)),
        gt(SLOW_LINK / 4)
    );
}

#[googletest::test]
fn large_configuration_arrives_once_over_very_slow_link() {
    let mut simulation = Simulation::new(VERY_SLOW_LINK);
    simulation.push(configuration(1, 0..LARGE_ROUTE_COUNT));
    simulation.run_until(60_000);
    expect_that!(simulation.version(), eq(1));
    // No byte is transferred twice.
    let complete = simulation.source_bytes();
    expect_that!(simulation.chunk_bytes(), eq(complete));
}

#[googletest::test]
fn newest_of_many_large_configurations_arrives_soon() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.push(configuration(1, 0..LARGE_ROUTE_COUNT));
    simulation.run_until(3000);
    for version in 2..20 {
        simulation.push(configuration(version, 0..LARGE_ROUTE_COUNT + version));
        simulation.run_for(330);
        expect_that!(simulation.version(), ge(version - 1));
    }
    simulation.run_for(400);
    expect_that!(simulation.version(), eq(19));
}

#[googletest::test]
fn feed_does_not_wait_for_configuration_transfer() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.push(configuration(1, 0..10 * LARGE_ROUTE_COUNT));
    simulation.run_until(400);
    expect_that!(
        simulation.version(),
        eq(0),
        "the transfer is still in progress"
    );
    simulation.change_role_holder();
    let changed_at = simulation.now();
    while simulation.token() < 2 {
        simulation.run_for(10);
        assert_that!(simulation.now(), lt(changed_at + 300));
    }
    expect_that!(
        simulation.version(),
        eq(0),
        "the transfer is still in progress"
    );
    simulation.run_for(6000);
    expect_that!(simulation.version(), eq(1));
}

#[googletest::test]
fn large_change_arrives_after_all_coordinators_restart() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.push(configuration(1, 0..LARGE_ROUTE_COUNT));
    simulation.run_until(3000);
    simulation.set_down_count(COORDINATORS);
    simulation.run_for(9500);
    // After the restart they have only this version.
    simulation.restart_with(configuration(9, LARGE_ROUTE_COUNT..2 * LARGE_ROUTE_COUNT));
    simulation.set_down_count(0);
    simulation.run_for(2500);
    expect_that!(simulation.version(), eq(9));
}

#[googletest::test]
fn agent_is_served_despite_long_client_queue() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.set_queue_delay_ms(1100);
    simulation.push(configuration(1, 0..10));
    simulation.run_until(8000);
    expect_that!(simulation.version(), eq(1));
    simulation.push(configuration(2, 0..LARGE_ROUTE_COUNT));
    simulation.run_for(25_000);
    expect_that!(simulation.version(), eq(2));
}

#[googletest::test]
fn fetch_moves_on_from_coordinator_that_refuses_it() {
    let mut simulation = Simulation::new(SLOW_LINK);
    simulation.push(configuration(1, 0..LARGE_ROUTE_COUNT));
    simulation.reject_fetches_at(0);
    simulation.run_until(5000);
    expect_that!(simulation.version(), eq(1));
}

#[googletest::test]
fn agent_without_successful_poll_is_disconnected() {
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
    // After a delay it polls another coordinator.
    expect_that!(agent.poll_calls(1).len(), eq(0));
    let due = agent.next_timeout().unwrap_or_default();
    expect_that!(
        agent.poll_calls(due)[0].coordinator,
        not(eq(calls[0].coordinator))
    );
}

#[googletest::test]
fn faulty_change_is_reported_once_and_refetched_completely() {
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
    let next_request = agent
        .poll_calls(1000)
        .into_iter()
        .find(is_fetch)
        .map(|call| call.request);
    let complete = CoordinatorRequest::FetchConfiguration(ConfigurationFetch::default());
    expect_that!(next_request, some(eq(&complete)));
}

#[googletest::test]
fn coordinator_with_older_feed_may_not_hold_polls() {
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
    let may_hold_poll = |agent: &mut Agent, now| match &agent.poll_calls(now)[..] {
        [call] => matches!(&call.request, CoordinatorRequest::Poll(poll) if poll.wait_ms > 0),
        _ => false,
    };
    expect_that!(
        may_hold_poll(&mut agent, 2),
        eq(true),
        "a coordinator that has served may hold the poll"
    );
    expect_that!(receive(&mut agent, 3, feed(ViewNumber(3), 30)), eq(false));
    expect_that!(agent.feed().view, eq(ViewNumber(4)));
    expect_that!(may_hold_poll(&mut agent, 1000), eq(false));
}
