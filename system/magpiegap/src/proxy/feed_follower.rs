//! Follows the feed of the local agent and receives configurations from it.
use super::cluster_watch::ClusterWatch;
use crate::endpoint::{self, ResponseTimeouts};
use magpiegap_distribution::{ChunkOutcome, ConfigurationReceiver};
use magpiegap_protocol::{
    ConfigurationChunk, CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Wait time of a long poll, in milliseconds: the agent responds after it even without a change.
const POLL_WAIT_MS: u64 = 20_000;
/// A response times out when no byte is received for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a call that failed or returned nothing usable.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the agent's feed until the future is dropped.
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

/// Follows an agent's feed. Methods return `None` when the agent did not respond or its response was not usable.
struct FeedFollower {
    client: reqwest::Client,
    agent: SocketAddr,
    cluster: Arc<ClusterWatch>,
    receiver: ConfigurationReceiver,
}

impl FeedFollower {
    /// Fetches a chunk of the configuration if the feed announces a newer one; otherwise polls the feed.
    async fn step(&mut self) -> Option<()> {
        let info = self.cluster.current();
        if self.receiver.version() < info.feed.configuration_version {
            self.fetch_chunk().await
        } else {
            self.poll(&info.feed).await
        }
    }

    /// Waits for a feed that differs from `known`, by a long poll.
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
            // If the inline change is not usable, the next step fetches the configuration.
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

    /// Processes a chunk of the configuration; `None` if it is not usable.
    fn receive(&mut self, chunk: ConfigurationChunk) -> Option<()> {
        match self.receiver.receive_chunk(chunk) {
            ChunkOutcome::Configuration(configuration) => {
                self.cluster.update_configuration(configuration);
                Some(())
            }
            ChunkOutcome::Incomplete => Some(()),
            ChunkOutcome::Unusable => None,
            ChunkOutcome::Rejected(error) => {
                log::error!(
                    "configuration change failed, fetching full configuration error={error}"
                );
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
