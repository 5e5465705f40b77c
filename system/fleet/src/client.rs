//! Clients and the operator: what they want, and how far they have got.
use magpiegap_protocol::{
    fnv1a, CoordinatorRequest, CoordinatorResponse, JobId, JobPhase, Submission, TaskId,
};

/// One job, from a client's side.
#[derive(Clone, Debug)]
pub(crate) struct ClientJob {
    pub submission: Submission,
    pub cancel_at: Option<u64>,
    pub accepted: bool,
    /// How often it was handed in.
    pub tries: u32,
    /// Its only try was turned away: nothing of it may ever run.
    pub rejected: bool,
    pub cancelled: bool,
    pub phase: Option<JobPhase>,
    pub next_at: u64,
}

impl ClientJob {
    pub(crate) fn new(submission: Submission, begins: u64, cancel_at: Option<u64>) -> ClientJob {
        ClientJob {
            submission,
            cancel_at,
            accepted: false,
            tries: 0,
            rejected: false,
            cancelled: false,
            phase: None,
            next_at: begins,
        }
    }

    pub(crate) fn id(&self) -> JobId {
        self.submission.job
    }

    /// Whether its client does not come back once it was turned away.
    fn gives_up(&self) -> bool {
        self.submission.job.0.is_multiple_of(5)
    }

    /// Whether nothing more is to be asked.
    pub(crate) fn is_over(&self) -> bool {
        self.rejected || self.phase.is_some_and(JobPhase::is_terminal)
    }

    /// All tasks of the job.
    pub(crate) fn tasks(&self) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for occurrence in 0..self.submission.spec.occurrences() {
            for (step, spec) in self.submission.spec.steps.iter().enumerate() {
                for index in 0..spec.count {
                    tasks.push(TaskId {
                        job: self.id(),
                        occurrence,
                        step: step as u32,
                        index,
                    });
                }
            }
        }
        tasks
    }

    /// What to ask next.
    pub(crate) fn request(&self, now: u64) -> CoordinatorRequest {
        let queue = self.submission.queue.clone();
        if !self.accepted {
            return CoordinatorRequest::Submit(Box::new(self.submission.clone()));
        }
        if !self.cancelled && self.cancel_at.is_some_and(|at| now >= at) {
            return CoordinatorRequest::Cancel {
                queue,
                job: self.id(),
            };
        }
        CoordinatorRequest::Status {
            queue,
            job: self.id(),
        }
    }

    /// Takes the answer to what was asked.
    pub(crate) fn take(&mut self, asked: &CoordinatorRequest, answer: &CoordinatorResponse) {
        match (asked, answer) {
            (CoordinatorRequest::Submit(_), CoordinatorResponse::Accepted) => self.accepted = true,
            (
                CoordinatorRequest::Submit(_),
                CoordinatorResponse::NotServing | CoordinatorResponse::NoCapacity,
            ) => {
                self.rejected = self.tries == 1 && self.gives_up();
            }
            (CoordinatorRequest::Cancel { .. }, CoordinatorResponse::Accepted) => {
                self.cancelled = true
            }
            (CoordinatorRequest::Status { .. }, CoordinatorResponse::Phase(phase)) => {
                self.phase = Some(*phase)
            }
            _ => {}
        }
    }
}

/// An operator's order to replace the configuration; it is sent again unchanged until it has a clear answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Order {
    pub base: u64,
    pub version: u64,
    pub body: Vec<u8>,
}

impl Order {
    /// The change of an operator that builds on a version. Sometimes all operators choose the same number.
    pub(crate) fn new(operator: usize, base: u64, size: ConfigurationSize) -> Order {
        let own_number = if base.is_multiple_of(3) {
            0
        } else {
            operator as u64
        };
        let version = base + 1 + own_number;
        Order {
            base,
            version,
            body: configuration(operator, base, version, size),
        }
    }
}

/// An operator.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operator {
    /// The order that has no clear answer yet.
    pub order: Option<Order>,
    pub next_at: u64,
}

/// How large the configurations of operators are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationSize {
    /// Bytes that mean nothing.
    pub padding: usize,
    /// Routes beside the one that is used.
    pub routes: u64,
}

/// A route that no client uses; some of them differ from version to version.
fn idle_route(number: u64, version: u64) -> String {
    let name = fnv1a(&number.to_le_bytes());
    let timeout_ms = if number.is_multiple_of(50) {
        1000 + version
    } else {
        1000
    };
    format!(
        ",{{\"name\":\"r-{name:x}\",\"hostname\":\"h\",\"pathPrefix\":\"/{name:x}/\",\"timeoutMs\":{timeout_ms},\"service\":\"s\"}}"
    )
}

/// A configuration with one service and one queue that is used; each order has another one.
fn configuration(operator: usize, base: u64, version: u64, size: ConfigurationSize) -> Vec<u8> {
    let idle: String = (0..size.routes)
        .map(|number| idle_route(number, version))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"q\",\"hostname\":\"h\",\"pathPrefix\":\"/q/\",\
         \"timeoutMs\":{},\"service\":\"s\",\"maxAttempts\":3,\"stretch\":2.0}}{idle}],\
         \"services\":[{{\"name\":\"s\",\"guards\":true}}],\"comment\":\"on {base} {}\"}}",
        1000 + version + 100_000 * operator as u64,
        "x".repeat(size.padding)
    )
    .into_bytes()
}
