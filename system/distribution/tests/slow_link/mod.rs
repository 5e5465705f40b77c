//! One agent and its coordinators, with a link of a certain rate between: simulated time, nothing sleeps.
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

/// How many coordinators there are.
pub(crate) const COORDINATORS: usize = 3;
/// One way, in milliseconds.
const DELAY_MS: Millis = 1;
/// What HTTP and TCP add to an answer, in bytes.
const HEADS: u64 = 300;
/// Pieces in which an answer comes, in bytes: the time between two of them is what silence is judged by.
const PIECE: u64 = 1460;

/// About how many bytes a configuration has as an operator sends it.
pub(crate) fn whole_body_bytes(configuration: &Configuration) -> u64 {
    const JSON_NAMES: u64 = 150;
    configuration
        .routes
        .iter()
        .map(|route| encode(&**route).len() as u64 + JSON_NAMES)
        .sum()
}

/// A call under way.
struct UnderWay {
    call: Call,
    begun_at: Millis,
    /// When it waits no longer for news.
    until: Millis,
    /// The answer, once it is on its way, and when its first and last bytes arrive.
    arriving: Option<(CoordinatorResponse, Millis, Millis, Millis)>,
}

/// An agent, its link and its coordinators.
pub(crate) struct World {
    now: Millis,
    bytes_a_second: u64,
    /// What clients have waiting in the link, as time.
    queue_ms: Millis,
    link_free_at: Millis,
    bytes_of_parts: u64,
    down: usize,
    refuses_fetches: Option<usize>,
    sources: Vec<ConfigurationSource>,
    version: u64,
    token: u64,
    agent: Agent,
    calls: BTreeMap<u8, UnderWay>,
}

fn key(id: CallId) -> u8 {
    match id {
        CallId::Poll(number) => number as u8,
        CallId::Fetch => u8::MAX,
    }
}

impl World {
    /// A world whose agent knows nothing yet, with a link of this rate.
    pub(crate) fn new(bytes_a_second: u64) -> World {
        let seeds = (0..COORDINATORS as u32).collect();
        World {
            now: 0,
            bytes_a_second,
            queue_ms: 0,
            link_free_at: 0,
            bytes_of_parts: 0,
            down: 0,
            refuses_fetches: None,
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

    /// The time.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// The version in force at the agent.
    pub(crate) fn version(&self) -> u64 {
        self.agent.configuration().version
    }

    /// The newest token of the role that the agent knows.
    pub(crate) fn token(&self) -> u64 {
        self.agent
            .feed()
            .roles
            .iter()
            .map(|held| held.token)
            .max()
            .unwrap_or_default()
            .0
    }

    /// All that was sent to the agent in parts of configurations.
    pub(crate) fn bytes_of_parts(&self) -> u64 {
        self.bytes_of_parts
    }

    /// How many bytes the whole of the newest configuration takes on its way.
    pub(crate) fn source_bytes(&mut self) -> u64 {
        let fetch = Default::default();
        self.sources[0]
            .chunk(&fetch)
            .map_or(0, |chunk| chunk.length)
    }

    /// The operator's change is in force at the coordinators.
    pub(crate) fn push(&mut self, configuration: Configuration) {
        self.version = configuration.version;
        self.sources
            .iter_mut()
            .for_each(|source| source.push(configuration.clone()));
    }

    /// The coordinators start anew, with this configuration only.
    pub(crate) fn restart_with(&mut self, configuration: Configuration) {
        self.sources = (0..COORDINATORS)
            .map(|_| ConfigurationSource::default())
            .collect();
        self.push(configuration);
    }

    /// So many coordinators, from the first on, answer nobody.
    pub(crate) fn set_down(&mut self, down: usize) {
        self.down = down;
    }

    /// One coordinator answers no fetches.
    pub(crate) fn refuse_fetches_at(&mut self, coordinator: usize) {
        self.refuses_fetches = Some(coordinator);
    }

    /// Another coordinator takes the role.
    pub(crate) fn pass_role_on(&mut self) {
        self.token += 1;
    }

    /// All that is sent to the agent waits so long behind what is for others.
    pub(crate) fn queue_delay_ms(&mut self, queue_ms: Millis) {
        self.queue_ms = queue_ms;
    }

    /// Lets so much time pass.
    pub(crate) fn run_for(&mut self, millis: Millis) {
        self.run_until(self.now + millis);
    }

    /// Lets time pass.
    pub(crate) fn run_until(&mut self, until: Millis) {
        while self.now < until {
            self.now += 1;
            self.answer_calls();
            self.end_calls();
            for call in self.agent.poll_calls(self.now) {
                let waits_ms = match &call.request {
                    CoordinatorRequest::Poll(poll) => poll.wait_ms,
                    _ => 0,
                };
                let until = self.now + DELAY_MS + waits_ms;
                let under_way = UnderWay {
                    call,
                    begun_at: self.now,
                    until,
                    arriving: None,
                };
                self.calls.insert(key(under_way.call.id), under_way);
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

    /// Puts the answers whose time has come on the link.
    fn answer_calls(&mut self) {
        let feed = self.feed();
        let mut calls = std::mem::take(&mut self.calls);
        for under_way in calls
            .values_mut()
            .filter(|under_way| under_way.arriving.is_none())
        {
            let at = under_way.call.coordinator as usize;
            if self.now < under_way.begun_at + DELAY_MS || at < self.down {
                continue;
            }
            let answer = match &under_way.call.request {
                CoordinatorRequest::Poll(poll) => {
                    if poll.revision == feed.revision && self.now < under_way.until {
                        continue;
                    }
                    self.answer_poll(at, &feed, poll)
                }
                CoordinatorRequest::FetchConfiguration(fetch)
                    if self.refuses_fetches != Some(at) =>
                {
                    let chunk = self.sources[at].chunk(fetch);
                    chunk.map_or(CoordinatorResponse::NotServing, |chunk| {
                        CoordinatorResponse::ConfigurationChunk(Box::new(chunk))
                    })
                }
                _ => CoordinatorResponse::NotServing,
            };
            under_way.arriving = Some(self.put_on_link(answer));
        }
        self.calls = calls;
    }

    fn answer_poll(&mut self, at: usize, feed: &Feed, poll: &FeedPoll) -> CoordinatorResponse {
        let change = self.sources[at].small_change(poll.configuration_version);
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..feed.clone()
        }))
    }

    /// The answer with the times of its first piece, of its last one, and between two pieces.
    fn put_on_link(
        &mut self,
        answer: CoordinatorResponse,
    ) -> (CoordinatorResponse, Millis, Millis, Millis) {
        let bytes = encode(&answer).len() as u64 + HEADS;
        let millis = |bytes: u64| bytes * 1000 / self.bytes_a_second + 1;
        let begins = self.link_free_at.max(self.now + self.queue_ms);
        let first = begins + millis(bytes.min(PIECE)) + DELAY_MS;
        let last = begins + millis(bytes) + DELAY_MS;
        self.link_free_at = begins + millis(bytes);
        if let CoordinatorResponse::ConfigurationChunk(chunk) = &answer {
            self.bytes_of_parts += chunk.bytes.len() as u64;
        }
        (answer, first, last, millis(PIECE))
    }

    /// Ends the calls whose answers are there, and those that are given up.
    fn end_calls(&mut self) {
        let ended: Vec<u8> = self
            .calls
            .iter()
            .filter(|(_, call)| self.outcome(call).is_some())
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            let Some(under_way) = self.calls.remove(&key) else {
                continue;
            };
            if let Some(outcome) = self.outcome(&under_way) {
                self.agent.answered(self.now, under_way.call.id, outcome);
            }
        }
    }

    fn outcome(&self, under_way: &UnderWay) -> Option<Result<CoordinatorResponse, CallFailure>> {
        let call = &under_way.call;
        let patience_ends = under_way.begun_at + call.first_byte_timeout_ms;
        match &under_way.arriving {
            Some((answer, first, last, piece_ms)) => {
                let in_time = *first <= patience_ends && *piece_ms <= call.idle_timeout_ms;
                if in_time {
                    (self.now >= *last).then(|| Ok(answer.clone()))
                } else {
                    (self.now >= patience_ends).then_some(Err(CallFailure::Unanswered))
                }
            }
            None => (self.now >= patience_ends).then_some(Err(CallFailure::Unanswered)),
        }
    }
}
