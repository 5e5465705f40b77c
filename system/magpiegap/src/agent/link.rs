//! Drives the agent's state machine: makes its calls to coordinators, and publishes the feed and the configuration.
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

/// Number of coordinators that are polled at the same time, so that the loss of one delays no update.
const LINKS: usize = 2;
/// Delay where no time-out is set and no call is in flight.
const IDLE_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between two readings of the settings file.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// The feed and the configurations that the agent serves to the proxy beside it.
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
    /// Nothing is published yet.
    pub fn new() -> Published {
        Published::default()
    }

    /// The newest feed, with notifications of newer ones.
    pub fn feed(&self) -> watch::Receiver<Arc<Feed>> {
        self.feed.subscribe()
    }

    /// Runs a function on the source of configurations, and returns its result.
    pub fn with_configurations<T>(&self, read: impl FnOnce(&mut ConfigurationSource) -> T) -> T {
        read(
            &mut self
                .configurations
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Publishes a feed with the configuration in force.
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

/// The link to the control plane.
pub struct Link {
    client: reqwest::Client,
    settings_file: PathBuf,
    settings_read_at: Instant,
    port: u16,
    start: Instant,
    agent: Agent,
    published: Published,
    calls: JoinSet<CallOutcome>,
}

impl Link {
    /// A link that has not called anyone yet.
    pub fn new(
        client: reqwest::Client,
        settings_file: PathBuf,
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
            settings_file,
            settings_read_at: now,
            port,
            start: now,
            agent,
            published,
            calls: JoinSet::new(),
        }
    }

    /// Follows the feed without end.
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
            self.published
                .publish(self.agent.feed(), self.agent.configuration());
        }
        if let Some(error) = self.agent.take_change_error() {
            log::error!("configuration change is faulty, fetching all of it error={error}");
        }
        if self.agent.is_disconnected() {
            self.read_seeds();
        }
    }

    /// Reads the addresses of coordinators from the settings file again, once in an interval.
    fn read_seeds(&mut self) {
        if self.settings_read_at.elapsed() < SETTINGS_READ_INTERVAL {
            return;
        }
        self.settings_read_at = Instant::now();
        match NodeSettings::read(&self.settings_file) {
            Ok(settings) => self.agent.set_seeds(settings.seed_addresses()),
            Err(error) => log::warn!("{error}"),
        }
    }
}
