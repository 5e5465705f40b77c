//! What the proxy knows: the feed of the agent beside it.
use crate::endpoint;
use magpiegap_distribution::{ConfigurationReceiver, Received};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{
    ConfigurationChunk, CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll, Role, RoleHolder,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::sync::watch;

/// How long the agent may wait with its answer.
const WAIT_MS: u64 = 20_000;
/// How long bytes of an answer may stay away.
const SILENCE: Duration = Duration::from_secs(1);
/// Pause after an agent that did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// The feed and what it means.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The feed.
    pub feed: Feed,
    /// The configuration; `None`: there is none yet.
    pub configuration: Option<Arc<Configuration>>,
}

impl Known {
    fn holder(&self, service: &str) -> Option<&RoleHolder> {
        let is_scheduler =
            |held: &&RoleHolder| matches!(&held.role, Role::Scheduler(name) if name == service);
        self.feed.roles.iter().find(is_scheduler)
    }

    /// The address of the coordinator that schedules a service.
    pub fn scheduler(&self, service: &str) -> Option<u32> {
        self.holder(service).map(|held| held.holder.member.address)
    }

    /// Names the scheduler of a service at this time: another one each time that the role passes on.
    pub fn scheduler_tag(&self, service: &str) -> u64 {
        self.holder(service).map_or(0, |held| {
            (u64::from(held.holder.member.address) << 24) ^ held.token.0
        })
    }

    /// The coordinators, the one that reads are answered by first.
    pub fn readers(&self) -> Vec<u32> {
        self.feed.chain.iter().rev().copied().collect()
    }
}

/// What all parts of the proxy share.
pub struct Knowledge {
    known: watch::Sender<Arc<Known>>,
    ending: AtomicBool,
}

impl Default for Knowledge {
    fn default() -> Knowledge {
        Knowledge {
            known: watch::Sender::new(Arc::new(Known::default())),
            ending: AtomicBool::new(false),
        }
    }
}

impl Knowledge {
    /// Nothing is known yet.
    pub fn new() -> Knowledge {
        Knowledge::default()
    }

    /// What is known now.
    pub fn now(&self) -> Arc<Known> {
        self.known.borrow().clone()
    }

    /// Waits until something else is known, or for this long.
    pub async fn news(&self, since: &Arc<Known>, most: Duration) {
        let mut receiver = self.known.subscribe();
        let changed = receiver.wait_for(|known| !Arc::ptr_eq(known, since));
        let _ = tokio::time::timeout(most, changed).await;
    }

    /// Waits until what is known is as wanted.
    pub async fn until(&self, wanted: impl Fn(&Known) -> bool) {
        let mut receiver = self.known.subscribe();
        // The sender lives as long as this, so that waiting can't fail.
        let _ = receiver.wait_for(|known| wanted(known)).await;
    }

    /// What is known as soon as there is a configuration, or after this long.
    pub async fn configured(&self, most: Duration) -> Arc<Known> {
        if self.known.borrow().configuration.is_none() {
            let configured = self.until(|known| known.configuration.is_some());
            let _ = tokio::time::timeout(most, configured).await;
        }
        self.now()
    }

    /// The process has been told to end.
    pub fn begin_to_end(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// Whether the process has been told to end.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// Whether clients can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_ending() && self.known.borrow().configuration.is_some()
    }

    /// Takes up a feed, unless it is older than what is known. Returns whether it is not.
    pub fn take(&self, feed: Feed) -> bool {
        let known = self.now();
        let is_newer = feed.supersedes(&known.feed);
        if is_newer {
            let configuration = known.configuration.clone();
            self.known.send_replace(Arc::new(Known {
                feed,
                configuration,
            }));
        }
        is_newer
    }

    /// Takes up a configuration, unless it is older than the one in force.
    pub fn configure(&self, configuration: Arc<Configuration>) {
        let known = self.now();
        if known
            .configuration
            .as_ref()
            .is_some_and(|old| old.version >= configuration.version)
        {
            return;
        }
        let feed = known.feed.clone();
        self.known.send_replace(Arc::new(Known {
            feed,
            configuration: Some(configuration),
        }));
    }
}

/// Follows the agent's feed without end.
pub async fn follow(client: reqwest::Client, agent: SocketAddr, knowledge: Arc<Knowledge>) {
    let mut follower = Follower {
        client,
        agent,
        knowledge,
        receiver: ConfigurationReceiver::default(),
    };
    loop {
        if follower.step().await.is_none() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// What follows the agent.
struct Follower {
    client: reqwest::Client,
    agent: SocketAddr,
    knowledge: Arc<Knowledge>,
    receiver: ConfigurationReceiver,
}

impl Follower {
    /// Fetches a part of the configuration where a newer one is known, or else waits for news. `None`: the agent did not
    /// answer, or with nothing of use.
    async fn step(&mut self) -> Option<()> {
        let known = self.knowledge.now();
        if self.receiver.version() < known.feed.configuration_version {
            return self.fetch().await;
        }
        let poll = FeedPoll {
            revision: known.feed.revision,
            configuration_version: self.receiver.version(),
            wait_ms: WAIT_MS,
        };
        let patience = Duration::from_millis(WAIT_MS) + SILENCE;
        let answer = self.call(&CoordinatorRequest::Poll(poll), patience).await?;
        let CoordinatorResponse::Feed(mut feed) = answer else {
            return None;
        };
        if feed.revision == known.feed.revision {
            return Some(());
        }
        if let Some(chunk) = feed.change.take() {
            // Where it is of no use the fetch that follows brings what is.
            let _ = self.take(chunk);
        }
        self.knowledge.take(*feed).then_some(())
    }

    /// Fetches one part of the configuration.
    async fn fetch(&mut self) -> Option<()> {
        let request = CoordinatorRequest::FetchConfiguration(self.receiver.fetch());
        match self.call(&request, SILENCE).await? {
            CoordinatorResponse::ConfigurationChunk(chunk) => self.take(*chunk),
            _ => None,
        }
    }

    /// Takes a part of the configuration. `None`: it is of no use.
    fn take(&mut self, chunk: ConfigurationChunk) -> Option<()> {
        match self.receiver.take(chunk) {
            Received::Configuration(configuration) => {
                self.knowledge.configure(configuration);
                Some(())
            }
            Received::More => Some(()),
            Received::Unusable => None,
            Received::Faulty(error) => {
                log::error!("a change of the configuration can't be used, the whole is asked for: {error:?}");
                None
            }
        }
    }

    async fn call(
        &self,
        request: &CoordinatorRequest,
        first_byte: Duration,
    ) -> Option<CoordinatorResponse> {
        endpoint::call_while_bytes_come(&self.client, self.agent, request, first_byte, SILENCE)
            .await
            .ok()
    }
}
