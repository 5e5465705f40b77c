//! Simulates an agent and its coordinators, connected by a link of a given rate. Time is simulated, so nothing sleeps.
#![allow(dead_code)]
use magpiegap_distribution::{
    Agent, AgentSettings, Call, CallFailure, CallId, ConfigurationSource,
};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{
    encode, CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll, FencingToken, Member, Millis,
    ReplicaId, Role, RoleHolder, ViewNumber,
};
use std::collections::BTreeMap;

/// Number of coordinators.
pub(crate) const COORDINATORS: usize = 3;
/// One-way delay, in milliseconds.
const DELAY_MS: Millis = 1;
/// Overhead of HTTP and TCP per response, in bytes.
const PROTOCOL_BYTES: u64 = 300;
/// Size of the packets of a response, in bytes. The time between two packets is subject to the idle timeout.
const PACKET_BYTES: u64 = 1460;

/// Estimated size of a configuration as sent by an operator, in bytes.
pub(crate) fn body_bytes(configuration: &Configuration) -> u64 {
    const JSON_BYTES_PER_ROUTE: u64 = 150;
    configuration
        .routes
        .iter()
        .map(|route| encode(&**route).len() as u64 + JSON_BYTES_PER_ROUTE)
        .sum()
}

/// A call in flight.
struct InFlightCall {
    call: Call,
    started_at: Millis,
    /// Time at which the coordinator responds even if nothing has changed.
    wait_until: Millis,
    /// The response, once it has been sent.
    arriving: Option<ArrivingResponse>,
}

/// A response in transit on the link.
struct ArrivingResponse {
    response: CoordinatorResponse,
    /// Arrival time of the first packet.
    first_at: Millis,
    /// Arrival time of the last packet.
    last_at: Millis,
    /// Time between two packets.
    packet_ms: Millis,
}

/// A simulation of an agent, its link and its coordinators.
pub(crate) struct Simulation {
    now: Millis,
    bytes_per_second: u64,
    /// Queueing delay behind client traffic on the link, in milliseconds.
    queue_delay_ms: Millis,
    link_free_at: Millis,
    chunk_bytes: u64,
    /// Number of coordinators, counted from the first, that do not respond.
    down_count: usize,
    fetch_rejecting_coordinator: Option<usize>,
    sources: Vec<ConfigurationSource>,
    version: u64,
    token: u64,
    agent: Agent,
    calls: BTreeMap<u8, InFlightCall>,
}

fn key(id: CallId) -> u8 {
    match id {
        CallId::Poll(number) => number as u8,
        CallId::Fetch => u8::MAX,
    }
}

impl Simulation {
    /// An agent without a feed or configuration, on a link of this rate.
    pub(crate) fn new(bytes_per_second: u64) -> Simulation {
        let seeds = (0..COORDINATORS as u32).collect();
        Simulation {
            now: 0,
            bytes_per_second,
            queue_delay_ms: 0,
            link_free_at: 0,
            chunk_bytes: 0,
            down_count: 0,
            fetch_rejecting_coordinator: None,
            sources: (0..COORDINATORS)
                .map(|_| ConfigurationSource::default())
                .collect(),
            version: 0,
            token: 1,
            agent: Agent::new(AgentSettings {
                own_address: 6,
                seeds,
                links: 2,
            }),
            calls: BTreeMap::new(),
        }
    }

    /// The simulated time.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// The version in force at the agent.
    pub(crate) fn version(&self) -> u64 {
        self.agent.configuration().version
    }

    /// The highest fencing token that the agent knows.
    pub(crate) fn token(&self) -> u64 {
        self.agent
            .feed()
            .roles
            .iter()
            .map(|holder| holder.token)
            .max()
            .unwrap_or_default()
            .0
    }

    /// Total size of the chunks sent to the agent, in bytes.
    pub(crate) fn chunk_bytes(&self) -> u64 {
        self.chunk_bytes
    }

    /// Size of a complete transfer of the newest configuration, in bytes.
    pub(crate) fn source_bytes(&mut self) -> u64 {
        let fetch = Default::default();
        self.sources[0]
            .chunk(&fetch)
            .map_or(0, |chunk| chunk.length)
    }

    /// Pushes a configuration to all coordinators.
    pub(crate) fn push(&mut self, configuration: Configuration) {
        self.version = configuration.version;
        self.sources
            .iter_mut()
            .for_each(|source| source.push(configuration.clone()));
    }

    /// Restarts all coordinators with only this configuration.
    pub(crate) fn restart_with(&mut self, configuration: Configuration) {
        self.sources = (0..COORDINATORS)
            .map(|_| ConfigurationSource::default())
            .collect();
        self.push(configuration);
    }

    /// Sets the number of coordinators, counted from the first, that do not respond.
    pub(crate) fn set_down_count(&mut self, down_count: usize) {
        self.down_count = down_count;
    }

    /// Makes one coordinator reject all configuration fetches.
    pub(crate) fn reject_fetches_at(&mut self, coordinator: usize) {
        self.fetch_rejecting_coordinator = Some(coordinator);
    }

    /// Simulates a new role holder, which has the next fencing token.
    pub(crate) fn change_role_holder(&mut self) {
        self.token += 1;
    }

    /// Sets the queueing delay behind client traffic on the link.
    pub(crate) fn set_queue_delay_ms(&mut self, queue_delay_ms: Millis) {
        self.queue_delay_ms = queue_delay_ms;
    }

    /// Advances the simulation by a duration in milliseconds.
    pub(crate) fn run_for(&mut self, millis: Millis) {
        self.run_until(self.now + millis);
    }

    /// Advances the simulation to a time.
    pub(crate) fn run_until(&mut self, until: Millis) {
        while self.now < until {
            self.now += 1;
            self.send_responses();
            self.complete_calls();
            for call in self.agent.poll_calls(self.now) {
                let wait_ms = match &call.request {
                    CoordinatorRequest::Poll(poll) => poll.wait_ms,
                    _ => 0,
                };
                let wait_until = self.now + DELAY_MS + wait_ms;
                let in_flight = InFlightCall {
                    call,
                    started_at: self.now,
                    wait_until,
                    arriving: None,
                };
                self.calls.insert(key(in_flight.call.id), in_flight);
            }
        }
    }

    fn feed(&self) -> Feed {
        let holder = ReplicaId {
            member: Member {
                address: 0,
                disk: 1,
            },
            incarnation: 1,
        };
        Feed {
            view: ViewNumber(1),
            chain: (0..COORDINATORS as u32).collect(),
            roles: vec![RoleHolder {
                role: Role::PlatformReader,
                holder,
                token: FencingToken(self.token),
            }],
            configuration_version: self.version,
            revision: 1000 * self.token + self.version,
            change: None,
        }
    }

    /// Sends the responses that are due.
    fn send_responses(&mut self) {
        let feed = self.feed();
        let mut calls = std::mem::take(&mut self.calls);
        for in_flight in calls
            .values_mut()
            .filter(|in_flight| in_flight.arriving.is_none())
        {
            let coordinator = in_flight.call.coordinator as usize;
            if self.now < in_flight.started_at + DELAY_MS || coordinator < self.down_count {
                continue;
            }
            let response = match &in_flight.call.request {
                CoordinatorRequest::Poll(poll) => {
                    if poll.revision == feed.revision && self.now < in_flight.wait_until {
                        continue;
                    }
                    self.poll_response(coordinator, &feed, poll)
                }
                CoordinatorRequest::FetchConfiguration(fetch)
                    if self.fetch_rejecting_coordinator != Some(coordinator) =>
                {
                    let chunk = self.sources[coordinator].chunk(fetch);
                    chunk.map_or(CoordinatorResponse::NotServing, |chunk| {
                        CoordinatorResponse::ConfigurationChunk(Box::new(chunk))
                    })
                }
                _ => CoordinatorResponse::NotServing,
            };
            in_flight.arriving = Some(self.send(response));
        }
        self.calls = calls;
    }

    fn poll_response(
        &mut self,
        coordinator: usize,
        feed: &Feed,
        poll: &FeedPoll,
    ) -> CoordinatorResponse {
        let change = self.sources[coordinator].inline_change(poll.configuration_version);
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..feed.clone()
        }))
    }

    /// Sends a response and computes its arrival times.
    fn send(&mut self, response: CoordinatorResponse) -> ArrivingResponse {
        let bytes = encode(&response).len() as u64 + PROTOCOL_BYTES;
        let millis = |bytes: u64| bytes * 1000 / self.bytes_per_second + 1;
        let starts_at = self.link_free_at.max(self.now + self.queue_delay_ms);
        self.link_free_at = starts_at + millis(bytes);
        if let CoordinatorResponse::ConfigurationChunk(chunk) = &response {
            self.chunk_bytes += chunk.bytes.len() as u64;
        }
        ArrivingResponse {
            response,
            first_at: starts_at + millis(bytes.min(PACKET_BYTES)) + DELAY_MS,
            last_at: starts_at + millis(bytes) + DELAY_MS,
            packet_ms: millis(PACKET_BYTES),
        }
    }

    /// Reports the outcome of calls that have completed or timed out.
    fn complete_calls(&mut self) {
        let completed: Vec<u8> = self
            .calls
            .iter()
            .filter(|(_, call)| self.outcome(call).is_some())
            .map(|(key, _)| *key)
            .collect();
        for key in completed {
            let Some(in_flight) = self.calls.remove(&key) else {
                continue;
            };
            if let Some(outcome) = self.outcome(&in_flight) {
                self.agent
                    .handle_outcome(self.now, in_flight.call.id, outcome);
            }
        }
    }

    fn outcome(
        &self,
        in_flight: &InFlightCall,
    ) -> Option<Result<CoordinatorResponse, CallFailure>> {
        let call = &in_flight.call;
        let timeout_at = in_flight.started_at + call.first_byte_timeout_ms;
        let timed_out = || (self.now >= timeout_at).then_some(Err(CallFailure::NoResponse));
        let Some(arriving) = &in_flight.arriving else {
            return timed_out();
        };
        let in_time = arriving.first_at <= timeout_at && arriving.packet_ms <= call.idle_timeout_ms;
        if !in_time {
            return timed_out();
        }
        (self.now >= arriving.last_at).then(|| Ok(arriving.response.clone()))
    }
}
