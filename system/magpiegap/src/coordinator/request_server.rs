//! Requests of agents and proxies.
use super::events::Handle;
use crate::serving::read_body;
use magpiegap_protocol::{decode, encode, CoordinatorRequest};
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};

/// Longest request, in bytes.
const MAX_BODY: u64 = 1 << 20;

/// Hands requests to the coordinator.
#[derive(Clone)]
pub(super) struct RequestHandler {
    handle: Handle,
}

impl RequestHandler {
    /// A handler for this coordinator.
    pub(super) fn new(handle: Handle) -> RequestHandler {
        RequestHandler { handle }
    }
}

#[rocket::async_trait]
impl Handler for RequestHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match read_body(data, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return Outcome::from(request, status),
        };
        let Ok(what) = decode::<CoordinatorRequest>(&body) else {
            return Outcome::from(request, Status::BadRequest);
        };
        match self.handle.ask(what).await {
            Some(answer) => Outcome::from(request, encode(&answer)),
            None => Outcome::from(request, Status::ServiceUnavailable),
        }
    }
}
