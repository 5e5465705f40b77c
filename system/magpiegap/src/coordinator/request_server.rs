//! Serves requests of agents and proxies.
use super::events::RequestHandle;
use crate::serving::read_body;
use magpiegap_protocol::{decode, encode, CoordinatorRequest};
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Decodes requests and passes them to the coordinator's state machine.
#[derive(Clone)]
pub(super) struct RequestHandler {
    handle: RequestHandle,
}

impl RequestHandler {
    /// Creates a handler that passes requests to `handle`.
    pub(super) fn new(handle: RequestHandle) -> RequestHandler {
        RequestHandler { handle }
    }
}

#[rocket::async_trait]
impl Handler for RequestHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match read_body(data, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return Outcome::from(request, status),
        };
        let Ok(decoded) = decode::<CoordinatorRequest>(&body) else {
            return Outcome::from(request, Status::BadRequest);
        };
        match self.handle.request(decoded).await {
            Some(response) => Outcome::from(request, encode(&response)),
            None => Outcome::from(request, Status::ServiceUnavailable),
        }
    }
}
