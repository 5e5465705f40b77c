//! Drives the agent's state machine: performs its calls to coordinators and publishes the feed and the configuration.
use crate::{
    endpoint::{self, CallError, ResponseTimeouts},
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

/// Number of coordinators that are polled concurrently, so that the failure of one does not delay updates.
const LINK_COUNT: usize = 2;
/// Delay before the next poll of the state machine when it has neither a timeout nor a call in flight.
const IDLE_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between rereads of the settings file.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the feed and the configurations that the agent serves to the proxy.
#[derive(Clone)]
pub struct FeedPublisher {
    feed: watch::Sender<Arc<Feed>>,
    configurations: Arc<Mutex<ConfigurationSource>>,
}

impl Default for FeedPublisher {
    fn default() -> FeedPublisher {
        FeedPublisher {
            feed: watch::Sender::new(Arc::new(Feed::default())),
            configurations: Arc::default(),
        }
    }
}

impl FeedPublisher {
    /// Creates a publisher with an empty feed and no configuration.
    pub fn new() -> FeedPublisher {
        FeedPublisher::default()
    }

    /// Subscribes to the feed.
    pub fn feed(&self) -> watch::Receiver<Arc<Feed>> {
        self.feed.subscribe()
    }

    /// Calls `read` with the configuration source while holding its lock.
    pub fn with_configurations<T>(&self, read: impl FnOnce(&mut ConfigurationSource) -> T) -> T {
        read(
            &mut self
                .configurations
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Publishes a feed and the current configuration. Version 0 means that there is no configuration yet.
    fn publish(&self, feed: Feed, configuration: &Arc<Configuration>) {
        if configuration.version > 0 {
            self.with_configurations(|configurations| configurations.push_shared(configuration));
        }
        self.feed.send_replace(Arc::new(feed));
    }
}

/// The outcome of a call.
struct CallOutcome {
    id: CallId,
    response: Result<CoordinatorResponse, CallFailure>,
}

/// The connection of the agent to the control plane.
pub struct Link {
    client: reqwest::Client,
    settings_file: PathBuf,
    settings_read_at: Instant,
    port: u16,
    start: Instant,
    agent: Agent,
    publisher: FeedPublisher,
    calls: JoinSet<CallOutcome>,
}

impl Link {
    /// Creates a link; the first calls are made by [`Link::run`].
    pub fn new(
        client: reqwest::Client,
        settings_file: PathBuf,
        settings: &NodeSettings,
        publisher: FeedPublisher,
    ) -> Link {
        let agent = Agent::new(AgentSettings {
            own_address: u32::from(settings.ip),
            seeds: settings.seed_addresses(),
            links: LINK_COUNT,
        });
        let now = Instant::now();
        let port = settings.request_port();
        Link {
            client,
            settings_file,
            settings_read_at: now,
            port,
            start: now,
            agent,
            publisher,
            calls: JoinSet::new(),
        }
    }

    /// Follows the feed until the future is dropped.
    pub async fn run(mut self) {
        loop {
            for call in self.agent.poll_calls(self.now()) {
                self.start_call(call);
            }
            let timeout_ms = self
                .agent
                .next_timeout()
                .map(|at| at.saturating_sub(self.now()).max(1));
            tokio::select! {
                Some(joined) = self.calls.join_next() => {
                    if let Ok(outcome) = joined {
                        self.handle_outcome(outcome);
                    }
                }
                () = sleep(Duration::from_millis(timeout_ms.unwrap_or_default())), if timeout_ms.is_some() => {}
                else => sleep(IDLE_DELAY).await,
            }
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn start_call(&mut self, call: Call) {
        let client = self.client.clone();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(call.coordinator)), self.port);
        self.calls.spawn(async move {
            let timeouts = ResponseTimeouts {
                first_byte: Duration::from_millis(call.first_byte_timeout_ms),
                idle: Duration::from_millis(call.idle_timeout_ms),
            };
            let response =
                endpoint::call_while_progressing(&client, address, &call.request, timeouts).await;
            let failure = |error| match error {
                CallError::NotSent => CallFailure::NotConnected,
                CallError::Unanswered => CallFailure::NoResponse,
            };
            CallOutcome {
                id: call.id,
                response: response.map_err(failure),
            }
        });
    }

    fn handle_outcome(&mut self, outcome: CallOutcome) {
        if self
            .agent
            .handle_outcome(self.now(), outcome.id, outcome.response)
        {
            self.publisher
                .publish(self.agent.feed(), self.agent.configuration());
        }
        if let Some(error) = self.agent.take_change_error() {
            log::error!("configuration change failed, fetching full configuration error={error}");
        }
        if self.agent.is_disconnected() {
            self.reload_seeds();
        }
    }

    /// Rereads the coordinator addresses from the settings file, at most once per [`SETTINGS_READ_INTERVAL`].
    fn reload_seeds(&mut self) {
        if self.settings_read_at.elapsed() < SETTINGS_READ_INTERVAL {
            return;
        }
        self.settings_read_at = Instant::now();
        match NodeSettings::read(&self.settings_file) {
            Ok(settings) => self.agent.set_seeds(settings.seed_addresses()),
            Err(error) => log::warn!("cannot reread settings error={error}"),
        }
    }
}
