//! Requests from agents, proxies and the operator interface. Each receives exactly one response, as an output.
use crate::{
    coordinator::Coordinator,
    job_list::JobList,
    job_query::{JobQuery, QueryKind},
    operation::{Operation, OperationId},
    outputs::{Output, RequestId},
};
use magpiegap_jobs::{Configuration, Outcome};
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, JobId, Millis, Submission, WallMillis,
};

impl Coordinator {
    /// Handles a request. The response is an output of this or a later call.
    pub fn handle_request(
        &mut self,
        now: Millis,
        clock: WallMillis,
        request: RequestId,
        body: CoordinatorRequest,
    ) {
        self.advance_clocks(now, clock);
        match body {
            CoordinatorRequest::Submit(submission) => self.submit(request, submission),
            CoordinatorRequest::Status { queue, job } => {
                let kind = QueryKind::Status;
                self.read(request, JobQuery { queue, job, kind });
            }
            CoordinatorRequest::Cancel { queue, job } => self.cancel(request, &queue, job),
            CoordinatorRequest::Count { queue } => self.count_open_jobs(request, &queue),
            CoordinatorRequest::Poll(poll) => self.poll(request, poll),
            CoordinatorRequest::FetchConfiguration(fetch) => {
                self.fetch_configuration(request, &fetch)
            }
            CoordinatorRequest::ReplaceConfiguration { base, body } => {
                self.replace_configuration(request, base, body);
            }
            CoordinatorRequest::DescribeConfiguration => {
                self.start_operation_with_quorum(request, Operation::DescribeConfiguration);
            }
            CoordinatorRequest::Describe => {
                let text = serde_json::to_string(&self.describe()).unwrap_or_default();
                self.respond(request, CoordinatorResponse::Description(text));
            }
            CoordinatorRequest::Explain { job } => {
                let response = self.explain(job);
                self.respond(request, response);
            }
            CoordinatorRequest::ListJobs(filter) => {
                let list = JobList::of(&self.machine.state, &filter);
                let text = serde_json::to_string(&list).unwrap_or_default();
                self.respond(request, CoordinatorResponse::Description(text));
            }
        }
    }

    pub(crate) fn respond(&mut self, request: RequestId, response: CoordinatorResponse) {
        self.outputs.push(Output::Respond { request, response });
    }

    /// Starts an operation if this coordinator has contact with a majority. Otherwise rejects the request immediately,
    /// so that the caller tries another coordinator.
    pub(crate) fn start_operation_with_quorum(&mut self, request: RequestId, operation: Operation) {
        if self.replica.has_quorum_contact(self.now) {
            self.start_operation(operation, request);
        } else {
            self.respond(request, CoordinatorResponse::NotServing);
        }
    }

    /// Validates a configuration and proposes it with the encoded difference from its base version.
    fn replace_configuration(&mut self, request: RequestId, base: u64, body: Vec<u8>) {
        if !self.replica.has_quorum_contact(self.now) {
            self.respond(request, CoordinatorResponse::NotServing);
            return;
        }
        match Configuration::parse(&body) {
            Ok(configuration) => {
                let version = configuration.version;
                let change = self.configurations.change_to(base, &configuration);
                self.start_operation(
                    Operation::ReplaceConfiguration {
                        base,
                        version,
                        body,
                        change,
                    },
                    request,
                );
            }
            Err(error) => self.respond(
                request,
                CoordinatorResponse::ConfigurationInvalid(error.to_string()),
            ),
        }
    }

    fn submit(&mut self, request: RequestId, mut submission: Box<Submission>) {
        if let Some(known) = self.machine.state.jobs.get(&submission.job) {
            let response = match known.submission.queue == submission.queue {
                true => CoordinatorResponse::Accepted,
                false => CoordinatorResponse::JobIdTaken,
            };
            self.respond(request, response);
            return;
        }
        let has_active_scheduler = self
            .schedulers
            .get(&submission.service)
            .is_some_and(|scheduler| !scheduler.is_deposed());
        if !has_active_scheduler || self.draining {
            self.respond(request, CoordinatorResponse::NotServing);
            return;
        }
        // Zero is reserved for tombstones.
        submission.submitted_ms = self.median_wall.max(WallMillis(1));
        self.start_operation(Operation::Submit(submission), request);
    }

    /// Cancels a job. If it is an unfinished job known here, the cancellation is proposed immediately; otherwise a
    /// confirmed read determines whether the job exists. If it does not, the cancellation is recorded.
    fn cancel(&mut self, request: RequestId, queue: &str, job: JobId) {
        match self.phase(queue, job) {
            Some(phase) if !phase.is_terminal() => {
                self.start_operation_with_quorum(request, Operation::Cancel(job))
            }
            _ => self.read(
                request,
                JobQuery {
                    queue: queue.to_owned(),
                    job,
                    kind: QueryKind::Cancel,
                },
            ),
        }
    }

    fn count_open_jobs(&mut self, request: RequestId, queue: &str) {
        let count = self
            .machine
            .state
            .open_jobs
            .get(queue)
            .copied()
            .unwrap_or(0);
        let response = if self.is_up_to_date() {
            CoordinatorResponse::Count(count)
        } else {
            CoordinatorResponse::NotServing
        };
        self.respond(request, response);
    }

    /// Completes an operation whose proposal was applied, with the response for its outcome.
    pub(crate) fn complete_operation_with_outcome(&mut self, id: OperationId, outcome: Outcome) {
        let Some(pending) = self.operations.get(id) else {
            return;
        };
        let response = match (&pending.operation, outcome) {
            // The scheduler lost its role. Whether another entry accepts the job is not known here.
            (_, Outcome::Fenced) => CoordinatorResponse::Unknown,
            (Operation::Submit(_), Outcome::NotApplicable) => CoordinatorResponse::JobIdTaken,
            (Operation::Submit(_), _) => CoordinatorResponse::Accepted,
            (Operation::Cancel(_) | Operation::RecordCancellation(_), Outcome::NotApplicable) => {
                CoordinatorResponse::NoSuchJob
            }
            (Operation::Cancel(_) | Operation::RecordCancellation(_), _) => {
                CoordinatorResponse::Accepted
            }
            (Operation::ReplaceConfiguration { .. }, Outcome::Conflict) => {
                CoordinatorResponse::ConfigurationConflict
            }
            (Operation::ReplaceConfiguration { .. }, Outcome::Stale) => {
                CoordinatorResponse::ConfigurationStale
            }
            (Operation::ReplaceConfiguration { .. }, _) => {
                CoordinatorResponse::ConfigurationAccepted
            }
            (Operation::DescribeConfiguration, _) => {
                CoordinatorResponse::Configuration(self.machine.state.configuration.body.clone())
            }
        };
        self.complete_operation(id, &response);
    }
}
