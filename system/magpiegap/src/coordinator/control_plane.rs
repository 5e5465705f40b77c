//! The operator's HTTP interface. Each call is answered by this coordinator or redirected to the one that can answer it.
use super::{events::RequestHandle, job_filter::job_filter, metrics};
use crate::serving::read_body;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId};
use rocket::{
    data::Data,
    http::{ContentType, Header, Method, Status},
    response::{self, Responder, Response},
    route::{Handler, Outcome},
    Request,
};
use std::{io::Cursor, net::Ipv4Addr};

/// Path prefix of the explanation of a job; the job ID follows.
const EXPLAIN_PATH: &str = "/-/Job.Explain/";
/// Maximum length of a configuration body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A response to the operator.
struct Reply {
    status: Status,
    content_type: ContentType,
    body: Vec<u8>,
    /// For a redirect: the URL at the coordinator that can answer.
    location: Option<String>,
}

impl Reply {
    fn text(status: Status, text: impl Into<String>) -> Reply {
        Reply {
            status,
            content_type: ContentType::Plain,
            body: text.into().into_bytes(),
            location: None,
        }
    }

    fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: Status::Ok,
            content_type: ContentType::JSON,
            body,
            location: None,
        }
    }

    fn metrics(text: String) -> Reply {
        let content_type =
            ContentType::parse_flexible(metrics::CONTENT_TYPE).unwrap_or(ContentType::Plain);
        Reply {
            status: Status::Ok,
            content_type,
            body: text.into_bytes(),
            location: None,
        }
    }

    fn redirect(location: String) -> Reply {
        Reply {
            location: Some(location),
            ..Reply::text(Status::TemporaryRedirect, "")
        }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        response.status(self.status).header(self.content_type);
        if let Some(location) = self.location {
            response.header(Header::new("Location", location));
        }
        response
            .sized_body(self.body.len(), Cursor::new(self.body))
            .ok()
    }
}

/// Handles operator calls.
#[derive(Clone)]
pub(super) struct ControlPlaneHandler {
    handle: RequestHandle,
    /// The port of this interface, which is the same on all coordinators.
    port: u16,
}

impl ControlPlaneHandler {
    /// Creates a handler that passes requests to `handle`.
    pub(super) fn new(handle: RequestHandle, port: u16) -> ControlPlaneHandler {
        ControlPlaneHandler { handle, port }
    }

    async fn replace_configuration(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let body = match read_body(data, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return Reply::text(status, "the body can't be read"),
        };
        let base = request
            .headers()
            .get_one("Base-Version")
            .unwrap_or("")
            .trim()
            .parse::<u64>();
        let Ok(base) = base else {
            return Reply::text(
                Status::BadRequest,
                "Base-Version: must be a whole number of at least 0",
            );
        };
        match self
            .handle
            .request(CoordinatorRequest::ReplaceConfiguration { base, body })
            .await
        {
            Some(CoordinatorResponse::ConfigurationInvalid(fault)) => {
                Reply::text(Status::BadRequest, fault)
            }
            Some(CoordinatorResponse::ConfigurationAccepted) => Reply::text(Status::Ok, ""),
            Some(CoordinatorResponse::ConfigurationConflict) => {
                Reply::text(Status::PreconditionFailed, "another version is in place")
            }
            Some(CoordinatorResponse::ConfigurationStale) => {
                Reply::text(Status::BadRequest, "version: must be above the current one")
            }
            _ => unavailable(),
        }
    }

    async fn describe_configuration(&self) -> Reply {
        match self
            .handle
            .request(CoordinatorRequest::DescribeConfiguration)
            .await
        {
            Some(CoordinatorResponse::Configuration(body)) if body.is_empty() => {
                Reply::text(Status::NotFound, "there is no configuration yet")
            }
            Some(CoordinatorResponse::Configuration(body)) => Reply::json(body),
            _ => unavailable(),
        }
    }

    async fn describe_cluster(&self) -> Reply {
        match self.handle.request(CoordinatorRequest::Describe).await {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            _ => unavailable(),
        }
    }

    async fn list_jobs(&self, request: &Request<'_>) -> Reply {
        let filter = match job_filter(request) {
            Ok(filter) => filter,
            Err(error) => return Reply::text(Status::BadRequest, error.to_string()),
        };
        match self
            .handle
            .request(CoordinatorRequest::ListJobs(filter))
            .await
        {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            _ => unavailable(),
        }
    }

    /// Returns the metrics in OpenMetrics format.
    async fn metrics(&self) -> Reply {
        let description = match self.handle.request(CoordinatorRequest::Describe).await {
            Some(CoordinatorResponse::Description(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        };
        match description {
            Some(cluster) => Reply::metrics(metrics::to_text(cluster)),
            None => unavailable(),
        }
    }

    /// Explains a job: why its tasks wait, and where they run.
    async fn explain_job(&self, name: &str) -> Reply {
        let Some(job) = JobId::parse(name) else {
            return Reply::text(Status::BadRequest, "a job's name has 16 hexadecimal digits");
        };
        match self
            .handle
            .request(CoordinatorRequest::Explain { job })
            .await
        {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            Some(CoordinatorResponse::NoSuchJob) => {
                Reply::text(Status::Gone, "there is no such job")
            }
            Some(CoordinatorResponse::Redirect(address)) => {
                let (ip, port) = (Ipv4Addr::from(address), self.port);
                Reply::redirect(format!("http://{ip}:{port}{EXPLAIN_PATH}{name}"))
            }
            _ => unavailable(),
        }
    }
}

fn unavailable() -> Reply {
    Reply::text(
        Status::ServiceUnavailable,
        "this coordinator can't serve now; another one may",
    )
}

#[rocket::async_trait]
impl Handler for ControlPlaneHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let path = request.uri().path().as_str();
        if let (Method::Get, Some(job)) = (request.method(), path.strip_prefix(EXPLAIN_PATH)) {
            return Outcome::from(request, self.explain_job(job).await);
        }
        let reply = match (request.method(), path) {
            (Method::Post, "/-/Config.Replace") => self.replace_configuration(request, data).await,
            (Method::Get, "/-/Config.Describe") => self.describe_configuration().await,
            (Method::Get, "/-/Cluster.Describe") => self.describe_cluster().await,
            (Method::Get, "/-/Job.List") => self.list_jobs(request).await,
            (Method::Get, "/-/metrics") => self.metrics().await,
            _ => Reply::text(Status::NotFound, "no such call"),
        };
        Outcome::from(request, reply)
    }
}
