//! Follows the feed of the agent beside the proxy, and receives configurations from it.
use super::cluster_watch::ClusterWatch;
use crate::endpoint::{self, ResponseTimeouts};
use magpiegap_distribution::{ConfigurationReceiver, Received};
use magpiegap_protocol::{
    ConfigurationChunk, CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// How long the agent may hold a poll without a change.
const POLL_WAIT_MS: u64 = 20_000;
/// A response of which no byte comes for this long has timed out.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a call that failed, or brought nothing of use.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the agent's feed without end.
pub(super) async fn follow(client: reqwest::Client, agent: SocketAddr, cluster: Arc<ClusterWatch>) {
    let mut follower = FeedFollower {
        client,
        agent,
        cluster,
        receiver: ConfigurationReceiver::default(),
    };
    loop {
        if follower.step().await.is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// The follower of an agent's feed. Its calls return `None` where the agent did not respond, or with nothing of use.
struct FeedFollower {
    client: reqwest::Client,
    agent: SocketAddr,
    cluster: Arc<ClusterWatch>,
    receiver: ConfigurationReceiver,
}

impl FeedFollower {
    /// Fetches a chunk of the configuration where a newer one is known, or else waits for a change of the feed.
    async fn step(&mut self) -> Option<()> {
        let info = self.cluster.current();
        if self.receiver.version() < info.feed.configuration_version {
            self.fetch_chunk().await
        } else {
            self.poll(&info.feed).await
        }
    }

    /// Waits for a feed other than the known one.
    async fn poll(&mut self, known: &Feed) -> Option<()> {
        let poll = CoordinatorRequest::Poll(FeedPoll {
            revision: known.revision,
            configuration_version: self.receiver.version(),
            wait_ms: POLL_WAIT_MS,
        });
        let first_byte = Duration::from_millis(POLL_WAIT_MS) + IDLE_TIMEOUT;
        let response = self.call(&poll, first_byte).await?;
        let CoordinatorResponse::Feed(mut feed) = response else {
            return None;
        };
        if feed.revision == known.revision {
            return Some(());
        }
        if let Some(chunk) = feed.change.take() {
            // Where it is of no use the fetch that follows brings what is.
            let _ = self.receive(chunk);
        }
        self.cluster.update_feed(*feed).then_some(())
    }

    /// Fetches one chunk of the configuration.
    async fn fetch_chunk(&mut self) -> Option<()> {
        let request = CoordinatorRequest::FetchConfiguration(self.receiver.fetch());
        match self.call(&request, IDLE_TIMEOUT).await? {
            CoordinatorResponse::ConfigurationChunk(chunk) => self.receive(*chunk),
            _ => None,
        }
    }

    /// Adds a chunk of the configuration. `None`: it is of no use.
    fn receive(&mut self, chunk: ConfigurationChunk) -> Option<()> {
        match self.receiver.take(chunk) {
            Received::Configuration(configuration) => {
                self.cluster.update_configuration(configuration);
                Some(())
            }
            Received::More => Some(()),
            Received::Unusable => None,
            Received::Rejected(error) => {
                log::error!("configuration change is faulty, fetching all of it error={error}");
                None
            }
        }
    }

    async fn call(
        &self,
        request: &CoordinatorRequest,
        first_byte: Duration,
    ) -> Option<CoordinatorResponse> {
        let timeouts = ResponseTimeouts {
            first_byte,
            idle: IDLE_TIMEOUT,
        };
        endpoint::call_while_progressing(&self.client, self.agent, request, timeouts)
            .await
            .ok()
    }
}
