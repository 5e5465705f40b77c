//! An agent: keeps what the control plane tells, by long polls at several coordinators, and one fetch of the
//! configuration beside them.
use crate::{
    patience::Patience,
    places::Places,
    receiver::{ConfigurationReceiver, Received},
};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll, Millis};
use std::sync::Arc;

/// How long a coordinator may wait with its answer.
const WAIT_MS: Millis = 1500;
/// Pause after a coordinator that could not serve.
const PAUSE_MS: Millis = 30;
/// How long at least a coordinator that was not asked before, or has failed, has for its first answer: one that stands
/// still is not waited for.
const FIRST_ANSWER_MS: Millis = 250;
/// How much longer than it was asked to wait a coordinator has at least that has just served.
const TRUSTED_MS: Millis = 400;
/// How long the bytes of a part may stay away at least.
const PART_SILENCE_MS: Millis = 1000;

/// What an agent goes by.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Its own address: agents begin at different coordinators.
    pub own_address: u32,
    /// Where coordinators may be found.
    pub seeds: Vec<u32>,
    /// How many coordinators are asked for news at the same time, so that the loss of one delays none.
    pub links: usize,
}

/// Names a call: each has at most one under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallId {
    /// The long poll of a link.
    Poll(usize),
    /// The fetch of the configuration.
    Fetch,
}

/// A call that is to be made. Its outcome is always told.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// Which coordinator is asked.
    pub coordinator: u32,
    /// What it is asked.
    pub request: CoordinatorRequest,
    /// How long the first byte of the answer is waited for.
    pub first_byte_timeout_ms: Millis,
    /// How long each further byte is waited for. The whole answer may take any time.
    pub idle_timeout_ms: Millis,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection came up.
    NotConnected,
    /// No answer came in time, or none that can be read.
    Unanswered,
}

enum Activity {
    /// The next call is due at this time.
    Resting { until: Millis },
    /// A call to this coordinator is under way.
    Asking { coordinator: u32 },
}

impl Activity {
    fn is_due(&self, now: Millis) -> bool {
        matches!(self, Activity::Resting { until } if now >= *until)
    }

    fn due_at(&self) -> Option<Millis> {
        match self {
            Activity::Resting { until } => Some(*until),
            Activity::Asking { .. } => None,
        }
    }
}

/// One long poll after the other.
struct Link {
    activity: Activity,
    patience: Patience,
    /// Where to begin among the candidates.
    turn: usize,
    /// The coordinator that has just served.
    trusted: Option<u32>,
}

/// The fetch of the configuration.
struct Fetch {
    activity: Activity,
    patience: Patience,
    /// A coordinator that failed last: another one is asked where there is one.
    failed: Option<u32>,
}

/// What an agent knows and asks.
pub struct Agent {
    seeds: Vec<u32>,
    /// The newest news.
    feed: Feed,
    receiver: ConfigurationReceiver,
    places: Places,
    links: Vec<Link>,
    fetch: Fetch,
    /// What was wrong with a change that could not be used, until it is told.
    fault: Option<String>,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(settings: AgentSettings) -> Agent {
        let link = |number: usize| Link {
            activity: Activity::Resting { until: 0 },
            patience: Patience::of_at_least(FIRST_ANSWER_MS),
            turn: settings.own_address as usize + number,
            trusted: None,
        };
        Agent {
            links: (0..settings.links).map(link).collect(),
            places: Places::new(settings.links),
            seeds: settings.seeds,
            feed: Feed::default(),
            receiver: ConfigurationReceiver::default(),
            fetch: Fetch {
                activity: Activity::Resting { until: 0 },
                patience: Patience::of_at_least(PART_SILENCE_MS),
                failed: None,
            },
            fault: None,
        }
    }

    /// What was wrong with a change of the configuration that could not be used: told once.
    pub fn take_fault(&mut self) -> Option<String> {
        self.fault.take()
    }

    /// Replaces the addresses at which coordinators may be found.
    pub fn set_seeds(&mut self, seeds: Vec<u32>) {
        self.seeds = seeds;
    }

    /// Whether no coordinator serves this agent now.
    pub fn is_lost(&self) -> bool {
        self.links.iter().all(|link| link.trusted.is_none())
    }

    /// The configuration in place; version zero: there is none yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.receiver.configuration()
    }

    /// What the proxy beside is told: the news, with the configuration that is in place here.
    pub fn feed(&self) -> Feed {
        let version = self.receiver.version();
        // Differs from what it was whenever one of the two does, as coordinators' revisions are hashes; zero while nothing
        // is known.
        let revision = self.feed.revision.wrapping_mul(3).wrapping_add(version);
        Feed {
            configuration_version: version,
            revision,
            change: None,
            ..self.feed.clone()
        }
    }

    /// When the next call is due; `None`: not before an answer.
    pub fn next_timeout(&self) -> Option<Millis> {
        let links = self.links.iter().filter_map(|link| link.activity.due_at());
        let fetch = self
            .fetch_source()
            .and_then(|_| self.fetch.activity.due_at());
        links.chain(fetch).min()
    }

    /// The calls to be made now.
    pub fn poll_calls(&mut self, now: Millis) -> Vec<Call> {
        let mut calls: Vec<Call> = (0..self.links.len())
            .filter_map(|number| self.due_poll(number, now))
            .collect();
        calls.extend(self.due_fetch(now));
        calls
    }

    fn candidates(&self) -> Vec<u32> {
        let others = self
            .seeds
            .iter()
            .filter(|seed| !self.feed.chain.contains(seed));
        self.feed.chain.iter().chain(others).copied().collect()
    }

    fn due_poll(&mut self, number: usize, now: Millis) -> Option<Call> {
        let candidates = self.candidates();
        let link = self
            .links
            .get_mut(number)
            .filter(|link| link.activity.is_due(now))?;
        let Some(coordinator) = self.places.take(number, &candidates, link.turn) else {
            link.activity = Activity::Resting {
                until: now + PAUSE_MS,
            };
            return None;
        };
        link.activity = Activity::Asking { coordinator };
        let is_trusted = link.trusted == Some(coordinator);
        let (wait_ms, patience) = match is_trusted {
            true => (WAIT_MS, link.patience.ms().max(TRUSTED_MS)),
            false => (0, link.patience.ms()),
        };
        let poll = FeedPoll {
            revision: self.feed.revision,
            configuration_version: self.receiver.version(),
            wait_ms,
        };
        Some(Call {
            id: CallId::Poll(number),
            coordinator,
            request: CoordinatorRequest::Poll(poll),
            first_byte_timeout_ms: wait_ms + patience,
            idle_timeout_ms: patience,
        })
    }

    /// The coordinator to fetch the configuration from, where there is a newer one.
    fn fetch_source(&self) -> Option<u32> {
        if self.feed.configuration_version <= self.receiver.version() {
            return None;
        }
        let serving = || self.links.iter().filter_map(|link| link.trusted);
        serving()
            .find(|coordinator| self.fetch.failed != Some(*coordinator))
            .or_else(|| serving().next())
    }

    fn due_fetch(&mut self, now: Millis) -> Option<Call> {
        let coordinator = self
            .fetch_source()
            .filter(|_| self.fetch.activity.is_due(now))?;
        self.fetch.activity = Activity::Asking { coordinator };
        let idle_timeout_ms = self.fetch.patience.ms();
        Some(Call {
            id: CallId::Fetch,
            coordinator,
            request: CoordinatorRequest::FetchConfiguration(self.receiver.fetch()),
            first_byte_timeout_ms: idle_timeout_ms,
            idle_timeout_ms,
        })
    }

    /// Takes the outcome of a call. Returns whether there is something new for the proxy.
    pub fn answered(
        &mut self,
        now: Millis,
        id: CallId,
        answer: Result<CoordinatorResponse, CallFailure>,
    ) -> bool {
        let before = (self.feed.revision, self.receiver.version());
        match id {
            CallId::Poll(number) => self.polled(now, number, answer),
            CallId::Fetch => self.fetched(now, answer),
        }
        (self.feed.revision, self.receiver.version()) != before
    }

    fn polled(
        &mut self,
        now: Millis,
        number: usize,
        answer: Result<CoordinatorResponse, CallFailure>,
    ) {
        let is_slow = answer == Err(CallFailure::Unanswered);
        let served = match answer {
            Ok(CoordinatorResponse::Feed(feed)) => self.take_feed(*feed),
            Ok(_) | Err(_) => false,
        };
        let Some(link) = self.links.get_mut(number) else {
            return;
        };
        let Activity::Asking { coordinator } = link.activity else {
            return;
        };
        link.trusted = served.then_some(coordinator);
        if served {
            link.patience.answered();
            link.activity = Activity::Resting { until: now };
            return;
        }
        if is_slow {
            link.patience.unanswered();
        }
        link.turn = link.turn.wrapping_add(1);
        link.activity = Activity::Resting {
            until: now + PAUSE_MS,
        };
    }

    /// Takes up news, unless they are older than what is known. Returns whether they are not.
    fn take_feed(&mut self, mut feed: Feed) -> bool {
        if !feed.supersedes(&self.feed) {
            return false;
        }
        if let Some(change) = feed.change.take() {
            // Where it is of no use the fetch that follows brings what is.
            self.receiver.take(change);
        }
        self.feed = feed;
        true
    }

    fn fetched(&mut self, now: Millis, answer: Result<CoordinatorResponse, CallFailure>) {
        let Activity::Asking { coordinator } = self.fetch.activity else {
            return;
        };
        let is_slow = answer == Err(CallFailure::Unanswered);
        let received = match answer {
            Ok(CoordinatorResponse::ConfigurationChunk(chunk)) => self.receiver.take(*chunk),
            Ok(_) | Err(_) => Received::Unusable,
        };
        match received {
            Received::Configuration(_) | Received::More => {
                self.fetch.patience.answered();
                self.fetch.failed = None;
                self.fetch.activity = Activity::Resting { until: now };
            }
            Received::Unusable | Received::Faulty(_) => {
                if let Received::Faulty(error) = received {
                    let error = error.map_or_else(
                        || "its checksum differs".to_owned(),
                        |error| error.to_string(),
                    );
                    self.fault = Some(error);
                }
                if is_slow {
                    self.fetch.patience.unanswered();
                }
                self.fetch.failed = Some(coordinator);
                self.fetch.activity = Activity::Resting {
                    until: now + PAUSE_MS,
                };
            }
        }
    }
}
