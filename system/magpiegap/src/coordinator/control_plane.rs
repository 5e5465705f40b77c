//! The operator's interface.
use super::events::Handle;
use crate::serving::read_body;
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{CoordinatorAnswer, CoordinatorRequest};
use rocket::{
    data::Data,
    http::{ContentType, Method, Status},
    route::{Handler, Outcome},
    Request,
};

/// Longest configuration, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// An answer to the operator.
struct Reply {
    status: Status,
    kind: ContentType,
    body: Vec<u8>,
}

impl Reply {
    fn text(status: Status, text: impl Into<String>) -> Reply {
        Reply { status, kind: ContentType::Plain, body: text.into().into_bytes() }
    }

    fn json(body: Vec<u8>) -> Reply {
        Reply { status: Status::Ok, kind: ContentType::JSON, body }
    }
}

/// Answers the operator.
#[derive(Clone)]
pub struct ControlPlaneHandler {
    handle: Handle,
}

impl ControlPlaneHandler {
    /// A handler for this coordinator.
    pub fn new(handle: Handle) -> ControlPlaneHandler {
        ControlPlaneHandler { handle }
    }

    async fn replace(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let body = match read_body(data, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return Reply::text(status, "the body can't be read"),
        };
        let base = request.headers().get_one("Base-Version").unwrap_or("").trim().parse::<u64>();
        let Ok(base) = base else {
            return Reply::text(Status::BadRequest, "Base-Version: must be a whole number of at least 0");
        };
        let version = match Configuration::parse(&body) {
            Ok(configuration) => configuration.version,
            Err(error) => return Reply::text(Status::BadRequest, error.to_string()),
        };
        match self.handle.ask(CoordinatorRequest::ReplaceConfiguration { base, version, body }).await {
            Some(CoordinatorAnswer::ConfigurationTaken) => Reply::text(Status::Ok, ""),
            Some(CoordinatorAnswer::ConfigurationConflict) => {
                Reply::text(Status::PreconditionFailed, "another version is in place")
            }
            Some(CoordinatorAnswer::ConfigurationStale) => {
                Reply::text(Status::BadRequest, "version: must be above the current one")
            }
            _ => not_now(),
        }
    }

    async fn describe(&self) -> Reply {
        match self.handle.ask(CoordinatorRequest::DescribeConfiguration).await {
            Some(CoordinatorAnswer::Configuration(body)) if body.is_empty() => {
                Reply::text(Status::NotFound, "there is no configuration yet")
            }
            Some(CoordinatorAnswer::Configuration(body)) => Reply::json(body),
            _ => not_now(),
        }
    }

    async fn cluster(&self) -> Reply {
        match self.handle.ask(CoordinatorRequest::Describe).await {
            Some(CoordinatorAnswer::Description(text)) => Reply::json(text.into_bytes()),
            _ => not_now(),
        }
    }
}

fn not_now() -> Reply {
    Reply::text(Status::ServiceUnavailable, "this coordinator can't serve now; another one may")
}

#[rocket::async_trait]
impl Handler for ControlPlaneHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let path = request.uri().path().as_str();
        let reply = match (request.method(), path) {
            (Method::Post, "/-/Config.Replace") => self.replace(request, data).await,
            (Method::Get, "/-/Config.Describe") => self.describe().await,
            (Method::Get, "/-/Cluster.Describe") => self.cluster().await,
            _ => Reply::text(Status::NotFound, "no such call"),
        };
        Outcome::from(request, (reply.status, (reply.kind, reply.body)))
    }
}
