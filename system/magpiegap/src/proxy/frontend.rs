//! Client requests: routing by the configuration, admission control, and forwarding to the coordinators.
use super::{
    admission::{Admission, Rejected},
    calls::{CoordinatorCalls, SubmitOutcome},
    cluster_watch::ClusterWatch,
    job_body,
    pause_detector::PauseDetector,
};
use crate::serving::read_body;
use balancer_core::Ending;
use magpiegap_jobs::{Configuration, Route};
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, JobId, JobSpec, Submission, WallMillis,
};
use rocket::{
    data::Data,
    http::{ContentType, Header, Method, Status},
    response::Response,
    route::{Handler, Outcome},
    Request,
};
use std::{
    io::Cursor,
    sync::Arc,
    time::{Duration, Instant},
};

/// The response is sent at least this long before the client's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// How long a request waits for the first configuration. A newly started proxy receives one within a fraction of a second,
/// while a rejected client retries only after a second.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Body of the response to a submission whose ID a job of another queue has.
const ID_TAKEN: &str = "a job of another queue has this ID";
/// Delay after which a rejected client may retry, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A response to a client.
#[derive(Debug)]
struct Reply {
    status: Status,
    body: String,
    retry_after: Option<u32>,
}

impl Reply {
    fn status(status: Status) -> Reply {
        Reply {
            status,
            body: String::new(),
            retry_after: None,
        }
    }

    fn json(body: String) -> Reply {
        Reply {
            status: Status::Ok,
            body,
            retry_after: None,
        }
    }

    fn unavailable(status: Status) -> Reply {
        Reply {
            status,
            body: String::new(),
            retry_after: Some(RETRY_AFTER_S),
        }
    }

    fn rejected(rejected: Rejected) -> Reply {
        Reply {
            status: Status::TooManyRequests,
            body: String::new(),
            retry_after: Some(rejected.retry_after_s),
        }
    }
}

/// Handles client requests.
#[derive(Clone)]
pub(super) struct FrontendHandler {
    calls: CoordinatorCalls,
    cluster: Arc<ClusterWatch>,
    admission: Arc<Admission>,
    pauses: Arc<PauseDetector>,
}

impl FrontendHandler {
    /// Creates a handler that routes by the current configuration of `cluster`.
    pub(super) fn new(
        calls: CoordinatorCalls,
        cluster: Arc<ClusterWatch>,
        pauses: Arc<PauseDetector>,
    ) -> FrontendHandler {
        FrontendHandler {
            calls,
            cluster,
            admission: Arc::new(Admission::new()),
            pauses,
        }
    }

    async fn respond(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let arrived_at = Instant::now();
        if request.method() == Method::Post && self.pauses.observe(arrived_at) {
            return Reply::unavailable(Status::ServiceUnavailable);
        }
        let info = self
            .cluster
            .wait_for_configuration(CONFIGURATION_TIMEOUT)
            .await;
        let Some(configuration) = &info.configuration else {
            return Reply::unavailable(Status::ServiceUnavailable);
        };
        let host = request
            .host()
            .map(|host| host.domain().as_str().to_owned())
            .unwrap_or_default();
        let path = request.uri().path().as_str();
        let Some(route) = configuration.route(&host, path) else {
            return Reply::status(Status::NotFound);
        };
        let deadline = deadline(request, route, arrived_at);
        let name = &path[route.path_prefix.len()..];
        match (request.method(), JobId::parse(name)) {
            (Method::Get, None) if name.is_empty() => self.count(route, deadline).await,
            (_, None) => Reply::status(Status::NotFound),
            (Method::Post, Some(job)) => {
                self.submit(configuration, route, job, data, deadline).await
            }
            (Method::Get, Some(job)) => self.status(route, job, deadline).await,
            (Method::Delete, Some(job)) => self.cancel(route, job, deadline).await,
            _ => Reply::status(Status::MethodNotAllowed),
        }
    }

    async fn submit(
        &self,
        configuration: &Configuration,
        route: &Route,
        job: JobId,
        data: Data<'_>,
        deadline: Instant,
    ) -> Reply {
        let body = match read_body(data, configuration.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(status) => return Reply::status(status),
        };
        let spec = match job_body::read(&body) {
            Ok(spec) => spec,
            Err(error) => {
                return Reply {
                    body: error.to_string(),
                    ..Reply::status(Status::BadRequest)
                }
            }
        };
        let submission = submission(route, job, spec);
        let scheduler = self.cluster.current().scheduler_tag(&route.service);
        let admitted =
            match self
                .admission
                .admit(&route.service, &submission.queue, scheduler, deadline)
            {
                Ok(admitted) => admitted,
                Err(rejected) => return Reply::rejected(rejected),
            };
        let outcome = self.calls.submit(submission, deadline).await;
        admitted.end(ending(outcome));
        match outcome {
            SubmitOutcome::Accepted => Reply::status(Status::Ok),
            SubmitOutcome::NoCapacity => Reply::unavailable(Status::TooManyRequests),
            SubmitOutcome::NotSent => Reply::unavailable(Status::ServiceUnavailable),
            SubmitOutcome::IdTaken => Reply {
                body: ID_TAKEN.to_owned(),
                ..Reply::status(Status::Conflict)
            },
            SubmitOutcome::Unknown => Reply::status(Status::GatewayTimeout),
        }
    }

    async fn status(&self, route: &Route, job: JobId, deadline: Instant) -> Reply {
        let request = CoordinatorRequest::Status {
            queue: route.queue(),
            job,
        };
        match self.calls.read(&request, deadline).await {
            Some(CoordinatorResponse::Phase(phase)) => {
                Reply::json(format!("{{\"state\":\"{}\"}}", phase.as_str()))
            }
            Some(CoordinatorResponse::NoSuchJob) => Reply::status(Status::Gone),
            _ => Reply::status(Status::GatewayTimeout),
        }
    }

    async fn cancel(&self, route: &Route, job: JobId, deadline: Instant) -> Reply {
        let request = CoordinatorRequest::Cancel {
            queue: route.queue(),
            job,
        };
        match self.calls.read(&request, deadline).await {
            Some(CoordinatorResponse::Accepted) => Reply::status(Status::Ok),
            Some(CoordinatorResponse::NoSuchJob) => Reply::status(Status::Gone),
            Some(CoordinatorResponse::NoCapacity) => Reply::unavailable(Status::TooManyRequests),
            _ => Reply::status(Status::GatewayTimeout),
        }
    }

    async fn count(&self, route: &Route, deadline: Instant) -> Reply {
        let request = CoordinatorRequest::Count {
            queue: route.queue(),
        };
        match self.calls.read(&request, deadline).await {
            Some(CoordinatorResponse::Count(count)) => {
                Reply::json(format!("{{\"pending\":{count}}}"))
            }
            _ => Reply::status(Status::GatewayTimeout),
        }
    }
}

/// Creates the submission of a job. The coordinator sets the submission time.
fn submission(route: &Route, job: JobId, spec: JobSpec) -> Submission {
    Submission {
        job,
        queue: route.queue(),
        service: route.service.clone(),
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms,
        submitted_ms: WallMillis(0),
        spec,
    }
}

/// Converts the outcome of a submission for admission control.
fn ending(outcome: SubmitOutcome) -> Ending {
    match outcome {
        SubmitOutcome::Accepted | SubmitOutcome::IdTaken => Ending::Ok,
        SubmitOutcome::NoCapacity => Ending::Rejected,
        SubmitOutcome::NotSent => Ending::ConnectFailed,
        SubmitOutcome::Unknown => Ending::Timeout,
    }
}

/// When the response must be sent: [`RESPONSE_MARGIN`] before the client's deadline or the route's timeout, whichever is
/// earlier.
fn deadline(request: &Request<'_>, route: &Route, arrived_at: Instant) -> Instant {
    let requested_ms = request
        .headers()
        .get_one("Deadline-Ms")
        .and_then(|text| text.trim().parse::<u64>().ok());
    let timeout_ms = requested_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    arrived_at + Duration::from_millis(timeout_ms).saturating_sub(RESPONSE_MARGIN)
}

#[rocket::async_trait]
impl Handler for FrontendHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let reply = self.respond(request, data).await;
        let mut response = Response::build();
        response.status(reply.status);
        if !reply.body.is_empty() {
            response.header(ContentType::JSON);
        }
        if let Some(seconds) = reply.retry_after {
            response.header(Header::new("Retry-After", seconds.to_string()));
        }
        if self.cluster.is_draining() {
            response.header(Header::new("Connection", "close"));
        }
        let length = reply.body.len();
        response.sized_body(length, Cursor::new(reply.body.into_bytes()));
        Outcome::Success(response.finalize())
    }
}
