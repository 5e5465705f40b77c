//! What the agent tells the proxy beside it.
use super::link::Published;
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

/// Longest request.
const MAX_BODY: u64 = 4096;

/// Answers the proxy's long polls, and hands it configurations.
#[derive(Clone)]
pub(super) struct FeedHandler {
    published: Published,
}

impl FeedHandler {
    /// A handler that tells what is published here.
    pub(super) fn new(published: Published) -> FeedHandler {
        FeedHandler { published }
    }

    async fn feed(&self, poll: &FeedPoll) -> CoordinatorResponse {
        let feed = self.wait(poll).await;
        let small_change = |configurations: &mut ConfigurationSource| {
            configurations.small_change(poll.configuration_version)
        };
        let change = self.published.with_configurations(small_change);
        CoordinatorResponse::Feed(Box::new(Feed {
            change,
            ..(*feed).clone()
        }))
    }

    fn configuration(&self, fetch: &ConfigurationFetch) -> CoordinatorResponse {
        match self
            .published
            .with_configurations(|configurations| configurations.chunk(fetch))
        {
            Some(chunk) => CoordinatorResponse::ConfigurationChunk(Box::new(chunk)),
            None => CoordinatorResponse::NotServing,
        }
    }

    async fn wait(&self, poll: &FeedPoll) -> Arc<Feed> {
        let mut feed = self.published.feed();
        let news = feed.wait_for(|feed| feed.revision != poll.revision);
        // Without news the caller is told what it knows, as a sign of life.
        let _ = tokio::time::timeout(Duration::from_millis(poll.wait_ms), news).await;
        let latest = feed.borrow();
        latest.clone()
    }
}

#[rocket::async_trait]
impl Handler for FeedHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match read_body(data, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return Outcome::from(request, status),
        };
        let answer = match decode(&body) {
            Ok(CoordinatorRequest::Poll(poll)) => self.feed(&poll).await,
            Ok(CoordinatorRequest::FetchConfiguration(fetch)) => self.configuration(&fetch),
            _ => return Outcome::from(request, Status::BadRequest),
        };
        Outcome::from(request, encode(&answer))
    }
}
