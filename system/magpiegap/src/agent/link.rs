//! Drives the agent's state machine: makes the calls that are due, and publishes what they bring.
use crate::{
    endpoint::{self, CallError},
    settings::NodeSettings,
};
use magpiegap_distribution::{
    Agent, AgentSettings, Call, CallFailure, CallId, ConfigurationSource,
};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{CoordinatorResponse, Feed, Millis};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{sync::watch, task::JoinSet, time::sleep};

/// How many coordinators are asked for news at the same time, so that the loss of one delays none.
const LINKS: usize = 2;
/// Pause where nothing is due and no call is under way.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// The settings file is read again at most this often.
const READ_EVERY: Duration = Duration::from_secs(1);

/// What the agent tells the proxy beside it.
#[derive(Clone)]
pub struct Published {
    feed: watch::Sender<Arc<Feed>>,
    configurations: Arc<Mutex<ConfigurationSource>>,
}

impl Default for Published {
    fn default() -> Published {
        Published {
            feed: watch::Sender::new(Arc::new(Feed::default())),
            configurations: Arc::default(),
        }
    }
}

impl Published {
    /// Nothing is known yet.
    pub fn new() -> Published {
        Published::default()
    }

    /// The news, and word when there are others.
    pub fn feed(&self) -> watch::Receiver<Arc<Feed>> {
        self.feed.subscribe()
    }

    /// Asks what leads to the newest configuration.
    pub fn with_configurations<T>(&self, ask: impl FnOnce(&mut ConfigurationSource) -> T) -> T {
        ask(&mut self
            .configurations
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Publishes news with the configuration in place.
    fn publish(&self, feed: Feed, configuration: &Arc<Configuration>) {
        if configuration.version > 0 {
            self.with_configurations(|configurations| configurations.push_shared(configuration));
        }
        self.feed.send_replace(Arc::new(feed));
    }
}

/// The outcome of a call.
type Outcome = (CallId, Result<CoordinatorResponse, CallFailure>);

/// The link to the control plane.
pub struct Link {
    client: reqwest::Client,
    file: PathBuf,
    read_at: Instant,
    port: u16,
    start: Instant,
    agent: Agent,
    published: Published,
    calls: JoinSet<Outcome>,
}

impl Link {
    /// A link that has not asked anyone yet.
    pub fn new(
        client: reqwest::Client,
        file: PathBuf,
        settings: &NodeSettings,
        published: Published,
    ) -> Link {
        let agent = Agent::new(AgentSettings {
            own_address: u32::from(settings.ip),
            seeds: settings.seed_addresses(),
            links: LINKS,
        });
        let now = Instant::now();
        let port = settings.request_port();
        Link {
            client,
            file,
            read_at: now,
            port,
            start: now,
            agent,
            published,
            calls: JoinSet::new(),
        }
    }

    /// Asks for news without end.
    pub async fn run(mut self) {
        loop {
            for call in self.agent.poll_calls(self.now()) {
                self.begin(call);
            }
            let pause = self
                .agent
                .next_timeout()
                .map(|due| due.saturating_sub(self.now()).max(1));
            tokio::select! {
                Some(ended) = self.calls.join_next() => {
                    if let Ok((id, answer)) = ended {
                        self.take(id, answer);
                    }
                }
                () = sleep(Duration::from_millis(pause.unwrap_or_default())), if pause.is_some() => {}
                else => sleep(IDLE_PAUSE).await,
            }
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn begin(&mut self, call: Call) {
        let client = self.client.clone();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(call.coordinator)), self.port);
        self.calls.spawn(async move {
            let first_byte = Duration::from_millis(call.first_byte_timeout_ms);
            let silence = Duration::from_millis(call.idle_timeout_ms);
            let answer = endpoint::call_while_bytes_come(
                &client,
                address,
                &call.request,
                first_byte,
                silence,
            )
            .await;
            let failure = |error| match error {
                CallError::NotSent => CallFailure::NotConnected,
                CallError::Unanswered => CallFailure::Unanswered,
            };
            (call.id, answer.map_err(failure))
        });
    }

    fn take(&mut self, id: CallId, answer: Result<CoordinatorResponse, CallFailure>) {
        if self.agent.answered(self.now(), id, answer) {
            self.published
                .publish(self.agent.feed(), self.agent.configuration());
        }
        if let Some(fault) = self.agent.take_fault() {
            log::error!(
                "a change of the configuration can't be used, the whole is asked for: {fault}"
            );
        }
        if self.agent.is_lost() {
            self.read_seeds();
        }
    }

    fn read_seeds(&mut self) {
        if self.read_at.elapsed() < READ_EVERY {
            return;
        }
        self.read_at = Instant::now();
        match NodeSettings::read(&self.file) {
            Ok(settings) => self.agent.set_seeds(settings.seed_addresses()),
            Err(error) => log::warn!("{error}"),
        }
    }
}
