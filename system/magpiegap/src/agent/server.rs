//! Serves the feed and configurations to the proxy on the same machine.
use super::link::FeedPublisher;
use crate::serving::read_body;
use magpiegap_distribution::ConfigurationSource;
use magpiegap_protocol::{
    decode, encode, ConfigurationFetch, CoordinatorRequest, CoordinatorResponse, Feed, FeedPoll,
};
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};
use std::{sync::Arc, time::Duration};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 4096;

/// Handles long polls of the feed and fetches of configuration chunks.
#[derive(Clone)]
pub(super) struct FeedHandler {
    publisher: FeedPublisher,
}

impl FeedHandler {
    /// Creates a handler that serves the feed and configurations of `publisher`.
    pub(super) fn new(publisher: FeedPublisher) -> FeedHandler {
        FeedHandler { publisher }
    }

    async fn feed(&self, poll: &FeedPoll) -> CoordinatorResponse {
        let feed = self.changed_feed(poll).await;
        let inline_change = |configurations: &mut ConfigurationSource| {
            configurations.inline_change(poll.configuration_version)
        };
        let change = self.publisher.with_configurations(inline_change);
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..(*feed).clone()
        }))
    }

    fn configuration(&self, fetch: &ConfigurationFetch) -> CoordinatorResponse {
        match self
            .publisher
            .with_configurations(|configurations| configurations.chunk(fetch))
        {
            Some(chunk) => CoordinatorResponse::ConfigurationChunk(Box::new(chunk)),
            None => CoordinatorResponse::NotServing,
        }
    }

    /// Returns the feed as soon as its revision differs from the one that the caller has, or after the poll's wait time.
    async fn changed_feed(&self, poll: &FeedPoll) -> Arc<Feed> {
        let mut feed = self.publisher.feed();
        let changed = feed.wait_for(|feed| feed.revision != poll.revision);
        // On a timeout the unchanged feed is returned, which serves as a heartbeat.
        let _ = tokio::time::timeout(Duration::from_millis(poll.wait_ms), changed).await;
        let latest = feed.borrow();
        latest.clone()
    }
}

#[rocket::async_trait]
impl Handler for FeedHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match read_body(data, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return Outcome::from(request, status),
        };
        let response = match decode(&body) {
            Ok(CoordinatorRequest::Poll(poll)) => self.feed(&poll).await,
            Ok(CoordinatorRequest::FetchConfiguration(fetch)) => self.configuration(&fetch),
            _ => return Outcome::from(request, Status::BadRequest),
        };
        Outcome::from(request, encode(&response))
    }
}
