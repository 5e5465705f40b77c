//! Clients' requests.
use super::{
    admission::{Admission, TurnedAway},
    calls::{Calls, Submitted},
    feed::Knowledge,
    job_body,
};
use crate::serving::read_body;
use balancer_core::Ending;
use magpiegap_jobs::{Configuration, Route};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId, Submission, WallMillis};
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

/// Time before a client's deadline at which the answer is sent at the latest.
const ANSWER_BEFORE: Duration = Duration::from_millis(150);
/// How long a request waits for the first configuration: a proxy that has just started has one within moments, while a
/// client that is sent away comes back a second later.
const CONFIGURATION_PATIENCE: Duration = Duration::from_millis(900);
/// Seconds after which a refused client may come back.
const RETRY_AFTER_S: u32 = 1;

/// An answer to a client.
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

    fn refused(status: Status) -> Reply {
        Reply {
            status,
            body: String::new(),
            retry_after: Some(RETRY_AFTER_S),
        }
    }

    fn turned_away(turned_away: TurnedAway) -> Reply {
        let retry_after = Some(turned_away.retry_after_s);
        Reply {
            status: Status::TooManyRequests,
            body: String::new(),
            retry_after,
        }
    }
}

/// Answers clients.
#[derive(Clone)]
pub(super) struct FrontendHandler {
    calls: Calls,
    knowledge: Arc<Knowledge>,
    admission: Arc<Admission>,
}

impl FrontendHandler {
    /// A handler that goes by what is known.
    pub(super) fn new(calls: Calls, knowledge: Arc<Knowledge>) -> FrontendHandler {
        FrontendHandler {
            calls,
            knowledge,
            admission: Arc::new(Admission::new()),
        }
    }

    async fn answer(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let arrived = Instant::now();
        let known = self.knowledge.configured(CONFIGURATION_PATIENCE).await;
        let Some(configuration) = &known.configuration else {
            return Reply::refused(Status::ServiceUnavailable);
        };
        let host = request
            .host()
            .map(|host| host.domain().as_str().to_owned())
            .unwrap_or_default();
        let path = request.uri().path().as_str();
        let Some(route) = configuration.route(&host, path) else {
            return Reply::status(Status::NotFound);
        };
        let deadline = deadline(request, route, arrived);
        let name = &path[route.path_prefix.len()..];
        match (request.method(), JobId::parse(name)) {
            (Method::Get, None) if name.is_empty() => self.count(route, deadline).await,
            (_, None) => Reply::status(Status::NotFound),
            (Method::Post, Some(job)) => {
                self.submit(configuration, route, job, data, deadline).await
            }
            (Method::Get, Some(job)) => self.state(route, job, deadline).await,
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
        let submission = Submission {
            job,
            queue: route.queue(),
            service: route.service.clone(),
            priority: route.priority,
            max_attempts: route.max_attempts,
            stretch: route.stretch,
            target_latency_ms: route.target_latency_ms,
            submitted_ms: WallMillis(0),
            spec,
        };
        let scheduler = self.knowledge.now().scheduler_tag(&route.service);
        let admitted =
            match self
                .admission
                .admit(&route.service, &submission.queue, scheduler, deadline)
            {
                Ok(admitted) => admitted,
                Err(turned_away) => return Reply::turned_away(turned_away),
            };
        let submitted = self.calls.submit(submission, deadline).await;
        admitted.end(ending(submitted));
        match submitted {
            Submitted::Accepted => Reply::status(Status::Ok),
            Submitted::Full => Reply::refused(Status::TooManyRequests),
            Submitted::Refused => Reply::refused(Status::ServiceUnavailable),
            Submitted::Unknown => Reply::status(Status::GatewayTimeout),
        }
    }

    async fn state(&self, route: &Route, job: JobId, deadline: Instant) -> Reply {
        let request = CoordinatorRequest::Status {
            queue: route.queue(),
            job,
        };
        match self.calls.ask(&request, deadline).await {
            Some(CoordinatorResponse::Phase(phase)) => {
                Reply::json(format!("{{\"state\":\"{}\"}}", phase.word()))
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
        match self.calls.ask(&request, deadline).await {
            Some(CoordinatorResponse::Accepted) => Reply::status(Status::Ok),
            Some(CoordinatorResponse::NoSuchJob) => Reply::status(Status::Gone),
            _ => Reply::status(Status::GatewayTimeout),
        }
    }

    async fn count(&self, route: &Route, deadline: Instant) -> Reply {
        let request = CoordinatorRequest::Count {
            queue: route.queue(),
        };
        match self.calls.ask(&request, deadline).await {
            Some(CoordinatorResponse::Count(count)) => {
                Reply::json(format!("{{\"pending\":{count}}}"))
            }
            _ => Reply::status(Status::GatewayTimeout),
        }
    }
}

/// What the decision module learns from the way in which a submission ended.
fn ending(submitted: Submitted) -> Ending {
    match submitted {
        Submitted::Accepted => Ending::Ok,
        Submitted::Full => Ending::Full,
        Submitted::Refused => Ending::ConnectFailed,
        Submitted::Unknown => Ending::Timeout,
    }
}

/// When the answer must be on its way: before the client gives up and the route's time is over.
fn deadline(request: &Request<'_>, route: &Route, arrived: Instant) -> Instant {
    let asked = request
        .headers()
        .get_one("Deadline-Ms")
        .and_then(|text| text.trim().parse::<u64>().ok());
    let most = asked.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    arrived + Duration::from_millis(most).saturating_sub(ANSWER_BEFORE)
}

#[rocket::async_trait]
impl Handler for FrontendHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let reply = self.answer(request, data).await;
        let mut response = Response::build();
        response.status(reply.status);
        if !reply.body.is_empty() {
            response.header(ContentType::JSON);
        }
        if let Some(seconds) = reply.retry_after {
            response.header(Header::new("Retry-After", seconds.to_string()));
        }
        if self.knowledge.is_ending() {
            response.header(Header::new("Connection", "close"));
        }
        let length = reply.body.len();
        response.sized_body(length, Cursor::new(reply.body.into_bytes()));
        Outcome::Success(response.finalize())
    }
}
