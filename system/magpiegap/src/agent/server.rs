//! What the agent tells the proxy beside it.
use crate::serving::read_body;
use magpiegap_protocol::{decode, encode, CoordinatorAnswer, CoordinatorRequest, Feed, FeedPoll};
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Longest request.
const MAX_BODY: u64 = 4096;

/// Answers the proxy's long polls.
#[derive(Clone)]
pub struct FeedHandler {
    feed: watch::Receiver<Arc<Feed>>,
}

impl FeedHandler {
    /// A handler that tells what is published here.
    pub fn new(feed: watch::Receiver<Arc<Feed>>) -> FeedHandler {
        FeedHandler { feed }
    }

    async fn wait(&self, poll: &FeedPoll) -> Arc<Feed> {
        let mut feed = self.feed.clone();
        let news = feed.wait_for(|feed| feed.revision != poll.revision);
        let waited = tokio::time::timeout(Duration::from_millis(poll.wait_ms), news).await;
        match waited {
            Ok(Ok(feed)) => feed.clone(),
            _ => self.feed.borrow().clone(),
        }
    }
}

#[rocket::async_trait]
impl Handler for FeedHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match read_body(data, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return Outcome::from(request, status),
        };
        let Ok(CoordinatorRequest::Poll(poll)) = decode(&body) else {
            return Outcome::from(request, Status::BadRequest);
        };
        let feed = self.wait(&poll).await;
        let answer = CoordinatorAnswer::Feed(Box::new((*feed).clone()));
        Outcome::from(request, encode(&answer))
    }
}
