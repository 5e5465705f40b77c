//! The operator's interface.
use super::{events::Handle, metrics};
use crate::serving::read_body;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobFilter, JobId, JobPhase};
use rocket::{
    data::Data,
    http::{ContentType, Header, Method, RawStr, Status},
    response::{self, Responder, Response},
    route::{Handler, Outcome},
    Request,
};
use std::{io::Cursor, net::Ipv4Addr};

/// The path of a job's explanation, before its name.
const EXPLAIN: &str = "/-/Job.Explain/";
/// Jobs in a list where no other limit is asked for.
const JOBS_LISTED: u32 = 100;
/// Longest configuration, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// An answer to the operator.
struct Reply {
    status: Status,
    kind: ContentType,
    body: Vec<u8>,
    /// Where the call is answered instead.
    location: Option<String>,
}

impl Reply {
    fn text(status: Status, text: impl Into<String>) -> Reply {
        Reply {
            status,
            kind: ContentType::Plain,
            body: text.into().into_bytes(),
            location: None,
        }
    }

    fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: Status::Ok,
            kind: ContentType::JSON,
            body,
            location: None,
        }
    }

    fn metrics(text: String) -> Reply {
        let kind = ContentType::parse_flexible(metrics::CONTENT_TYPE).unwrap_or(ContentType::Plain);
        Reply {
            status: Status::Ok,
            kind,
            body: text.into_bytes(),
            location: None,
        }
    }

    fn elsewhere(location: String) -> Reply {
        Reply {
            location: Some(location),
            ..Reply::text(Status::TemporaryRedirect, "")
        }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        response.status(self.status).header(self.kind);
        if let Some(location) = self.location {
            response.header(Header::new("Location", location));
        }
        response
            .sized_body(self.body.len(), Cursor::new(self.body))
            .ok()
    }
}

/// Answers the operator.
#[derive(Clone)]
pub(super) struct ControlPlaneHandler {
    handle: Handle,
    /// The port of this interface, the same at all coordinators.
    port: u16,
}

impl ControlPlaneHandler {
    /// A handler for this coordinator.
    pub(super) fn new(handle: Handle, port: u16) -> ControlPlaneHandler {
        ControlPlaneHandler { handle, port }
    }

    async fn replace(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let body = match read_body(data, MAX_BODY).await {
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
            .ask(CoordinatorRequest::ReplaceConfiguration { base, body })
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
            _ => not_now(),
        }
    }

    async fn describe(&self) -> Reply {
        match self
            .handle
            .ask(CoordinatorRequest::DescribeConfiguration)
            .await
        {
            Some(CoordinatorResponse::Configuration(body)) if body.is_empty() => {
                Reply::text(Status::NotFound, "there is no configuration yet")
            }
            Some(CoordinatorResponse::Configuration(body)) => Reply::json(body),
            _ => not_now(),
        }
    }

    async fn cluster(&self) -> Reply {
        match self.handle.ask(CoordinatorRequest::Describe).await {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            _ => not_now(),
        }
    }

    /// Lists jobs.
    async fn jobs(&self, request: &Request<'_>) -> Reply {
        let filter = match job_filter(request) {
            Ok(filter) => filter,
            Err(fault) => return Reply::text(Status::BadRequest, fault),
        };
        match self.handle.ask(CoordinatorRequest::ListJobs(filter)).await {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            _ => not_now(),
        }
    }

    /// The figures that monitoring systems scrape.
    async fn metrics(&self) -> Reply {
        let description = match self.handle.ask(CoordinatorRequest::Describe).await {
            Some(CoordinatorResponse::Description(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        };
        match description {
            Some(cluster) => Reply::metrics(metrics::to_text(cluster)),
            None => not_now(),
        }
    }

    /// Explains a job: why its tasks wait, and where they run.
    async fn explain(&self, name: &str) -> Reply {
        let Some(job) = JobId::parse(name) else {
            return Reply::text(Status::BadRequest, "a job's name has 16 hexadecimal digits");
        };
        match self.handle.ask(CoordinatorRequest::Explain { job }).await {
            Some(CoordinatorResponse::Description(text)) => Reply::json(text.into_bytes()),
            Some(CoordinatorResponse::NoSuchJob) => {
                Reply::text(Status::Gone, "there is no such job")
            }
            Some(CoordinatorResponse::Elsewhere(address)) => {
                let (ip, port) = (Ipv4Addr::from(address), self.port);
                Reply::elsewhere(format!("http://{ip}:{port}{EXPLAIN}{name}"))
            }
            _ => not_now(),
        }
    }
}

/// Reads which jobs are wanted: `queue`, `state`, `after` and `limit` in the query.
fn job_filter(request: &Request<'_>) -> Result<JobFilter, String> {
    let mut filter = JobFilter {
        limit: JOBS_LISTED,
        ..JobFilter::default()
    };
    let fields = request.uri().query().map(|query| query.segments());
    for (name, value) in fields.into_iter().flatten() {
        let wrong = |must: &str| format!("{name}: must be {must}");
        match name {
            "queue" => filter.queue = Some(percent_decoded(value)),
            "state" => {
                let phase = JobPhase::parse(value);
                let words = "pending, running, succeeded, failed or cancelled";
                filter.phase = Some(phase.ok_or_else(|| wrong(words))?);
            }
            "after" => {
                let job = JobId::parse(value);
                filter.after = Some(job.ok_or_else(|| wrong("16 hexadecimal digits"))?);
            }
            "limit" => filter.limit = value.parse().map_err(|_| wrong("a whole number"))?,
            _ => return Err(format!("{name}: there is no such field")),
        }
    }
    Ok(filter)
}

/// A value of a query; one that is not properly encoded stays as it is.
fn percent_decoded(value: &str) -> String {
    RawStr::new(value)
        .url_decode()
        .map_or_else(|_| value.to_owned(), |decoded| decoded.into_owned())
}

fn not_now() -> Reply {
    Reply::text(
        Status::ServiceUnavailable,
        "this coordinator can't serve now; another one may",
    )
}

#[rocket::async_trait]
impl Handler for ControlPlaneHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let path = request.uri().path().as_str();
        if let (Method::Get, Some(job)) = (request.method(), path.strip_prefix(EXPLAIN)) {
            return Outcome::from(request, self.explain(job).await);
        }
        let reply = match (request.method(), path) {
            (Method::Post, "/-/Config.Replace") => self.replace(request, data).await,
            (Method::Get, "/-/Config.Describe") => self.describe().await,
            (Method::Get, "/-/Cluster.Describe") => self.cluster().await,
            (Method::Get, "/-/Job.List") => self.jobs(request).await,
            (Method::Get, "/-/metrics") => self.metrics().await,
            _ => Reply::text(Status::NotFound, "no such call"),
        };
        Outcome::from(request, reply)
    }
}
