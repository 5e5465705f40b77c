//! State of clients and operators: their pending requests and the responses received. The fleet chooses the
//! coordinator that each request is sent to.
use magpiegap_protocol::{
    fnv1a, CoordinatorRequest, CoordinatorResponse, JobId, JobPhase, Submission, TaskId,
};

/// The service whose jobs the clients submit.
pub(crate) const JOB_SERVICE: &str = "s";
/// The service to which the queue goes in configurations that do not list [`JOB_SERVICE`].
const OTHER_SERVICE: &str = "t";

/// One job as seen by its client.
#[derive(Clone, Debug)]
pub(crate) struct ClientJob {
    pub submission: Submission,
    pub cancel_at: Option<u64>,
    pub accepted: bool,
    /// Number of submissions sent.
    pub attempts: u32,
    /// Whether the only submission was rejected, so that no task of the job may ever run.
    pub rejected: bool,
    pub cancelled: bool,
    pub phase: Option<JobPhase>,
    pub next_request_at: u64,
}

impl ClientJob {
    /// Creates a job that is submitted at `submit_at`.
    pub(crate) fn new(submission: Submission, submit_at: u64, cancel_at: Option<u64>) -> ClientJob {
        ClientJob {
            submission,
            cancel_at,
            accepted: false,
            attempts: 0,
            rejected: false,
            cancelled: false,
            phase: None,
            next_request_at: submit_at,
        }
    }

    pub(crate) fn id(&self) -> JobId {
        self.submission.job
    }

    /// Whether the client does not retry a rejected submission.
    fn gives_up_when_rejected(&self) -> bool {
        self.submission.job.0.is_multiple_of(5)
    }

    /// Whether the client has no more requests to send.
    pub(crate) fn is_finished(&self) -> bool {
        self.rejected || self.phase.is_some_and(JobPhase::is_terminal)
    }

    /// All tasks of the job.
    pub(crate) fn tasks(&self) -> Vec<TaskId> {
        let spec = &self.submission.spec;
        let mut tasks = Vec::new();
        for occurrence in 0..spec.occurrences() {
            for (step, step_spec) in spec.steps.iter().enumerate() {
                let of_step = (0..step_spec.count).map(|index| TaskId {
                    job: self.id(),
                    occurrence,
                    step: step as u32,
                    index,
                });
                tasks.extend(of_step);
            }
        }
        tasks
    }

    /// Returns the next request to send. A client that gives up cancels its job whether or not it was accepted.
    pub(crate) fn next_request(&self, now: u64) -> CoordinatorRequest {
        let queue = self.submission.queue.clone();
        if !self.cancelled && self.cancel_at.is_some_and(|at| now >= at) {
            return CoordinatorRequest::Cancel {
                queue,
                job: self.id(),
            };
        }
        if !self.accepted && !self.cancelled {
            return CoordinatorRequest::Submit(Box::new(self.submission.clone()));
        }
        CoordinatorRequest::Status {
            queue,
            job: self.id(),
        }
    }

    /// Updates the job from the response to a request.
    pub(crate) fn handle_response(
        &mut self,
        request: &CoordinatorRequest,
        response: &CoordinatorResponse,
    ) {
        use CoordinatorRequest as Request;
        use CoordinatorResponse as Response;
        match (request, response) {
            (Request::Submit(_), Response::Accepted) => self.accepted = true,
            (Request::Submit(_), Response::NotServing | Response::NoCapacity) => {
                self.rejected = self.attempts == 1 && self.gives_up_when_rejected();
            }
            (Request::Cancel { .. }, Response::Accepted | Response::NoSuchJob) => {
                self.cancelled = true;
            }
            (Request::Status { .. }, Response::Phase(phase)) => self.phase = Some(*phase),
            _ => {}
        }
    }
}

/// An operator's request to replace the configuration; it is resent unchanged until it is accepted or rejected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConfigurationChange {
    pub base: u64,
    pub version: u64,
    pub body: Vec<u8>,
}

impl ConfigurationChange {
    /// Creates an operator's change based on version `base`. If `base` is a multiple of 3, all operators choose the
    /// same new version number, so that their changes conflict.
    pub(crate) fn new(
        operator: usize,
        base: u64,
        shape: ConfigurationShape,
    ) -> ConfigurationChange {
        let version_offset = if base.is_multiple_of(3) {
            0
        } else {
            operator as u64
        };
        let version = base + 1 + version_offset;
        let body = configuration_body(operator, base, version, shape);
        ConfigurationChange {
            base,
            version,
            body,
        }
    }
}

/// An operator that changes the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operator {
    /// The change that has been neither accepted nor rejected.
    pub pending_change: Option<ConfigurationChange>,
    pub next_request_at: u64,
}

/// Which versions of the configuration list the service whose jobs the clients submit. The others send its queue to
/// another service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceListing {
    /// All versions.
    Always,
    /// The versions up to this one.
    UpTo(u64),
    /// Blocks of this many versions, alternating with equally long blocks without the service.
    Alternating(u64),
}

impl ServiceListing {
    /// Returns whether a version lists the service.
    pub(crate) fn includes(self, version: u64) -> bool {
        match self {
            ServiceListing::Always => true,
            ServiceListing::UpTo(last) => version <= last,
            ServiceListing::Alternating(block) => (version / block).is_multiple_of(2),
        }
    }
}

/// The size and content of the configurations that operators send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationShape {
    /// Size of the comment that pads the configuration, in bytes.
    pub padding: usize,
    /// Number of unused routes.
    pub routes: u64,
    /// Which versions list the service of the jobs.
    pub service_listing: ServiceListing,
}

/// Returns an unused route. Every 50th route changes with each version.
fn unused_route(number: u64, version: u64, service: &str) -> String {
    let name = fnv1a(&number.to_le_bytes());
    let timeout_ms = if number.is_multiple_of(50) {
        1000 + version
    } else {
        1000
    };
    format!(
        ",{{\"name\":\"r-{name:x}\",\"hostname\":\"h\",\"pathPrefix\":\"/{name:x}/\",\"timeoutMs\":{timeout_ms},\"service\":\"{service}\"}}"
    )
}

/// Returns a configuration with one service and one used queue. Each combination of operator, base and version has a
/// distinct body.
fn configuration_body(
    operator: usize,
    base: u64,
    version: u64,
    shape: ConfigurationShape,
) -> Vec<u8> {
    let service = if shape.service_listing.includes(version) {
        JOB_SERVICE
    } else {
        OTHER_SERVICE
    };
    let unused: String = (0..shape.routes)
        .map(|number| unused_route(number, version, service))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"q\",\"hostname\":\"h\",\"pathPrefix\":\"/q/\",\
         \"timeoutMs\":{},\"service\":\"{service}\",\"maxAttempts\":3,\"stretch\":2.0}}{unused}],\
         \"services\":[{{\"name\":\"{service}\",\"guards\":true}}],\"comment\":\"on {base} {}\"}}",
        1000 + version + 100_000 * operator as u64,
        "x".repeat(shape.padding)
    )
    .into_bytes()
}
