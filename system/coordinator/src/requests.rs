//! Requests of proxies and of the operator's interface.
use crate::{
    coordinator::Coordinator,
    job_list::JobList,
    outputs::{Output, RequestId},
    under_way::{Operation, Question},
};
use magpiegap_jobs::{Configuration, Outcome};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId, Millis, WallMillis};

impl Coordinator {
    /// Takes a request; its answer comes as an output, now or later.
    pub fn request(
        &mut self,
        now: Millis,
        clock: WallMillis,
        request: RequestId,
        what: CoordinatorRequest,
    ) {
        self.begin_step(now, clock);
        match what {
            CoordinatorRequest::Submit(submission) => self.submit(request, submission),
            CoordinatorRequest::Status { queue, job } => {
                self.read(
                    request,
                    Question {
                        queue,
                        job,
                        cancel: false,
                    },
                );
            }
            CoordinatorRequest::Cancel { queue, job } => self.cancel(request, &queue, job),
            CoordinatorRequest::Count { queue } => self.count(request, &queue),
            CoordinatorRequest::Poll(poll) => self.poll(request, poll),
            CoordinatorRequest::FetchConfiguration(fetch) => {
                self.fetch_configuration(request, &fetch)
            }
            CoordinatorRequest::ReplaceConfiguration { base, body } => {
                self.replace_configuration(request, base, body);
            }
            CoordinatorRequest::DescribeConfiguration => {
                self.begin_in_contact(request, Operation::DescribeConfiguration);
            }
            CoordinatorRequest::Describe => {
                let text = serde_json::to_string(&self.describe()).unwrap_or_default();
                self.answer(request, CoordinatorResponse::Description(text));
            }
            CoordinatorRequest::Explain { job } => {
                let answer = self.explain(job);
                self.answer(request, answer);
            }
            CoordinatorRequest::ListJobs(filter) => {
                let list = JobList::of(&self.machine.state, &filter);
                let text = serde_json::to_string(&list).unwrap_or_default();
                self.answer(request, CoordinatorResponse::Description(text));
            }
        }
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: CoordinatorResponse) {
        self.out.push(Output::Answer { request, answer });
    }

    /// Begins what the log has to settle, where the log may still go on: a coordinator that was cut off says at once that
    /// another one has to be asked.
    pub(crate) fn begin_in_contact(&mut self, request: RequestId, operation: Operation) {
        if self.replica.has_contact(self.now) {
            self.begin(operation, request);
        } else {
            self.answer(request, CoordinatorResponse::NotServing);
        }
    }

    /// Checks a configuration whole, and hands it to the log with what leads to it from the version in force here.
    fn replace_configuration(&mut self, request: RequestId, base: u64, body: Vec<u8>) {
        if !self.replica.has_contact(self.now) {
            self.answer(request, CoordinatorResponse::NotServing);
            return;
        }
        match Configuration::parse(&body) {
            Ok(configuration) => {
                let version = configuration.version;
                let change = self.configurations.change_to(base, &configuration);
                self.begin(
                    Operation::ReplaceConfiguration {
                        base,
                        version,
                        body,
                        change,
                    },
                    request,
                );
            }
            Err(error) => self.answer(
                request,
                CoordinatorResponse::ConfigurationInvalid(error.to_string()),
            ),
        }
    }

    fn submit(&mut self, request: RequestId, submission: Box<magpiegap_protocol::Submission>) {
        if self.machine.state.jobs.contains_key(&submission.job) {
            self.answer(request, CoordinatorResponse::Accepted);
            return;
        }
        let here = self
            .schedulers
            .get(&submission.service)
            .is_some_and(|scheduler| !scheduler.is_deposed());
        if !here || self.leaving {
            self.answer(request, CoordinatorResponse::NotServing);
            return;
        }
        let mut submission = submission;
        submission.submitted_ms = self.wall;
        self.begin(Operation::Submit(submission), request);
    }

    /// Cancels a job. One that is known here goes to the log at once; whether another one is there has to be read.
    fn cancel(&mut self, request: RequestId, queue: &str, job: JobId) {
        match self.phase(queue, job) {
            Some(phase) if !phase.is_terminal() => {
                self.begin_in_contact(request, Operation::Cancel(job))
            }
            _ => self.read(
                request,
                Question {
                    queue: queue.to_owned(),
                    job,
                    cancel: true,
                },
            ),
        }
    }

    fn count(&mut self, request: RequestId, queue: &str) {
        let count = self
            .machine
            .state
            .open_jobs
            .get(queue)
            .copied()
            .unwrap_or(0);
        let answer = match self.is_informed() {
            true => CoordinatorResponse::Count(count),
            false => CoordinatorResponse::NotServing,
        };
        self.answer(request, answer);
    }

    /// Answers an operation that an entry has settled.
    pub(crate) fn settle_by(&mut self, id: u64, outcome: Outcome) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let answer = match (&pending.operation, outcome) {
            // The scheduler's role has passed on: whether another entry accepts the job isn't known here.
            (_, Outcome::Fenced) => CoordinatorResponse::Unknown,
            (Operation::Submit(_), _) => CoordinatorResponse::Accepted,
            (Operation::Cancel(_), Outcome::Void) => CoordinatorResponse::NoSuchJob,
            (Operation::Cancel(_), _) => CoordinatorResponse::Accepted,
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
        self.settle(id, &answer);
    }
}
