//! The agent: keeps the feed up to date with long polls to several coordinators, and fetches the configuration
//! independently of them.
//!
//! It is sans-I/O: the caller makes the calls returned by [`Agent::poll_calls`] and reports each outcome to
//! [`Agent::handle_outcome`].
use crate::{
    call::{Call, CallFailure, CallId},
    configuration_fetcher::ConfigurationFetcher,
    feed_link::FeedLink,
    link_assignments::LinkAssignments,
    receiver::{ChangeError, ChunkOutcome, ConfigurationReceiver},
};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll, Millis};
use std::sync::Arc;

/// The outcome of a call.
type CallOutcome = Result<CoordinatorResponse, CallFailure>;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The agent's IPv4 address as an integer. It selects the first coordinator, which spreads agents over
    /// coordinators.
    pub own_address: u32,
    /// Addresses of possible coordinators, as integers.
    pub seeds: Vec<u32>,
    /// Number of coordinators polled concurrently, so that the failure of one does not delay updates.
    pub links: usize,
}

/// An agent's view of the control plane, and the calls that keep it up to date.
pub struct Agent {
    seeds: Vec<u32>,
    /// The newest feed received.
    feed: Feed,
    receiver: ConfigurationReceiver,
    assignments: LinkAssignments,
    links: Vec<FeedLink>,
    fetcher: ConfigurationFetcher,
    /// Error of the latest change that could not be applied, until it is taken.
    change_error: Option<ChangeError>,
}

impl Agent {
    /// An agent that has neither a feed nor a configuration yet.
    pub fn new(settings: AgentSettings) -> Agent {
        let first_candidate = settings.own_address as usize;
        Agent {
            links: (0..settings.links)
                .map(|number| FeedLink::new(first_candidate + number))
                .collect(),
            assignments: LinkAssignments::new(settings.links),
            seeds: settings.seeds,
            feed: Feed::default(),
            receiver: ConfigurationReceiver::default(),
            fetcher: ConfigurationFetcher::new(),
            change_error: None,
        }
    }

    /// Takes the error of the latest configuration change that could not be applied. Each error is returned once.
    pub fn take_change_error(&mut self) -> Option<ChangeError> {
        self.change_error.take()
    }

    /// Replaces the addresses of possible coordinators.
    pub fn set_seeds(&mut self, seeds: Vec<u32>) {
        self.seeds = seeds;
    }

    /// Whether no coordinator currently serves this agent.
    pub fn is_disconnected(&self) -> bool {
        self.links.iter().all(|link| link.serving().is_none())
    }

    /// The configuration in force; its version is zero if there is none yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.receiver.configuration()
    }

    /// The feed for the local proxy: the newest feed, with the version of the configuration in force at this agent.
    pub fn feed(&self) -> Feed {
        let version = self.receiver.version();
        // Changes whenever the feed's revision or the version changes, because coordinators' revisions are hashes; zero
        // while there is neither a feed nor a configuration.
        let revision = self.feed.revision.wrapping_mul(3).wrapping_add(version);
        Feed {
            configuration_version: version,
            revision,
            change: None,
            ..self.feed.clone()
        }
    }

    /// When the next call is due; `None` if none is due before another outcome is reported.
    pub fn next_timeout(&self) -> Option<Millis> {
        let polls = self.links.iter().filter_map(FeedLink::due_at);
        let fetch = self
            .fetch_source()
            .and_then(|_coordinator| self.fetcher.due_at());
        polls.chain(fetch).min()
    }

    /// Returns the calls to be made now.
    pub fn poll_calls(&mut self, now: Millis) -> Vec<Call> {
        let mut calls: Vec<Call> = (0..self.links.len())
            .filter_map(|link| self.due_poll(link, now))
            .collect();
        calls.extend(self.due_fetch(now));
        calls
    }

    /// Handles the outcome of a call. Returns whether the proxy's feed has changed.
    pub fn handle_outcome(&mut self, now: Millis, id: CallId, outcome: CallOutcome) -> bool {
        let before = self.versions();
        match id {
            CallId::Poll(link) => self.handle_poll_outcome(now, link, outcome),
            CallId::Fetch => self.handle_fetch_outcome(now, outcome),
        }
        self.versions() != before
    }

    /// The revision of the feed and the version of the configuration.
    fn versions(&self) -> (u64, u64) {
        (self.feed.revision, self.receiver.version())
    }

    /// The coordinators that can be polled: those of the chain, then the remaining seeds.
    fn candidates(&self) -> Vec<u32> {
        let chain = &self.feed.chain;
        let others = self.seeds.iter().filter(|seed| !chain.contains(seed));
        chain.iter().chain(others).copied().collect()
    }

    fn due_poll(&mut self, number: usize, now: Millis) -> Option<Call> {
        let candidates = self.candidates();
        let link = self.links.get_mut(number).filter(|link| link.is_due(now))?;
        let assigned = self
            .assignments
            .assign(number, &candidates, link.next_candidate());
        let Some(coordinator) = assigned else {
            link.defer(now);
            return None;
        };
        let times = link.start(coordinator);
        let poll = FeedPoll {
            revision: self.feed.revision,
            configuration_version: self.receiver.version(),
            wait_ms: times.wait_ms,
        };
        Some(Call {
            id: CallId::Poll(number),
            coordinator,
            request: CoordinatorRequest::Poll(poll),
            first_byte_timeout_ms: times.wait_ms + times.timeout_ms,
            idle_timeout_ms: times.timeout_ms,
        })
    }

    /// The coordinator to fetch the configuration from; `None` if no newer version or no coordinator is known.
    fn fetch_source(&self) -> Option<u32> {
        if self.feed.configuration_version <= self.receiver.version() {
            return None;
        }
        let serving = self.links.iter().filter_map(FeedLink::serving);
        self.fetcher.choose(serving)
    }

    fn due_fetch(&mut self, now: Millis) -> Option<Call> {
        let coordinator = self.fetch_source()?;
        if !self.fetcher.is_due(now) {
            return None;
        }
        let timeout_ms = self.fetcher.start(coordinator);
        Some(Call {
            id: CallId::Fetch,
            coordinator,
            request: CoordinatorRequest::FetchConfiguration(self.receiver.fetch()),
            first_byte_timeout_ms: timeout_ms,
            idle_timeout_ms: timeout_ms,
        })
    }

    fn handle_poll_outcome(&mut self, now: Millis, number: usize, outcome: CallOutcome) {
        let has_timed_out = outcome == Err(CallFailure::NoResponse);
        let is_served = match outcome {
            Ok(CoordinatorResponse::Feed(feed)) => self.update_feed(*feed),
            Ok(_) | Err(_) => false,
        };
        let Some(link) = self.links.get_mut(number) else {
            return;
        };
        if is_served {
            link.handle_response(now);
        } else {
            link.handle_failure(now, has_timed_out);
        }
    }

    /// Replaces the feed unless the new one is older in any part. Returns whether it was replaced.
    fn update_feed(&mut self, mut feed: Feed) -> bool {
        if !feed.supersedes(&self.feed) {
            return false;
        }
        if let Some(change) = feed.change.take() {
            // The result is ignored: if the change is not usable, the next fetch returns one that is.
            self.receiver.receive_chunk(change);
        }
        self.feed = feed;
        true
    }

    fn handle_fetch_outcome(&mut self, now: Millis, outcome: CallOutcome) {
        if !self.fetcher.is_in_flight() {
            return;
        }
        let has_timed_out = outcome == Err(CallFailure::NoResponse);
        let received = match outcome {
            Ok(CoordinatorResponse::ConfigurationChunk(chunk)) => {
                self.receiver.receive_chunk(*chunk)
            }
            Ok(_) | Err(_) => ChunkOutcome::Unusable,
        };
        match received {
            ChunkOutcome::Configuration(_) | ChunkOutcome::Incomplete => {
                self.fetcher.handle_response(now)
            }
            ChunkOutcome::Unusable => self.fetcher.handle_failure(now, has_timed_out),
            ChunkOutcome::Rejected(error) => {
                self.change_error = Some(error);
                self.fetcher.handle_failure(now, has_timed_out);
            }
        }
    }
}
