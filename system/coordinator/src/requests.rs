//! Requests of proxies and of the operator's interface.
use crate::{
    coordinator::Coordinator,
    job_list::JobList,
    outputs::{Output, RequestId},
    under_way::Wish,
};
use magpiegap_jobs::Outcome;
use magpiegap_protocol::{CoordinatorAnswer, CoordinatorRequest, JobId, JobPhase, Millis, WallMillis};

impl Coordinator {
    /// Takes a request; its answer comes as an output, now or later.
    pub fn request(&mut self, now: Millis, clock: WallMillis, request: RequestId, what: CoordinatorRequest) {
        self.begin_step(now, clock);
        match what {
            CoordinatorRequest::Submit(submission) => self.submit(request, submission),
            CoordinatorRequest::Status { queue, job } => self.status(request, &queue, job),
            CoordinatorRequest::Cancel { queue, job } => self.cancel(request, &queue, job),
            CoordinatorRequest::Count { queue } => self.count(request, &queue),
            CoordinatorRequest::Poll(poll) => self.poll(request, poll),
            CoordinatorRequest::ReplaceConfiguration { base, version, body } => {
                self.wish_if_serving(request, Wish::ReplaceConfiguration { base, version, body });
            }
            CoordinatorRequest::DescribeConfiguration => {
                self.wish_if_serving(request, Wish::DescribeConfiguration);
            }
            CoordinatorRequest::Describe => {
                let text = serde_json::to_string(&self.describe()).unwrap_or_default();
                self.answer(request, CoordinatorAnswer::Description(text));
            }
            CoordinatorRequest::Explain { job } => {
                let answer = self.explain(job);
                self.answer(request, answer);
            }
            CoordinatorRequest::ListJobs(filter) => {
                let list = JobList::of(&self.machine.state, &filter);
                let text = serde_json::to_string(&list).unwrap_or_default();
                self.answer(request, CoordinatorAnswer::Description(text));
            }
        }
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: CoordinatorAnswer) {
        self.out.push(Output::Answer { request, answer });
    }

    fn wish_if_serving(&mut self, request: RequestId, wish: Wish) {
        if self.replica.is_active() {
            self.wish(wish, request);
        } else {
            self.answer(request, CoordinatorAnswer::NotServing);
        }
    }

    fn submit(&mut self, request: RequestId, submission: Box<magpiegap_protocol::Submission>) {
        if self.machine.state.jobs.contains_key(&submission.job) {
            self.answer(request, CoordinatorAnswer::Accepted);
            return;
        }
        let here = self.schedulers.contains_key(&submission.service);
        if !here || self.leaving {
            self.answer(request, CoordinatorAnswer::NotServing);
            return;
        }
        let mut submission = submission;
        submission.submitted_ms = self.wall;
        self.wish(Wish::Submit(submission), request);
    }

    /// A job's phase, when it is known here and was handed in at that queue.
    fn phase(&self, queue: &str, job: JobId) -> Option<JobPhase> {
        let job = self.machine.state.jobs.get(&job)?;
        (job.submission.queue == queue).then_some(job.phase)
    }

    /// Whether this coordinator may say that a job isn't there: it has all that was committed up to a moment ago.
    pub(crate) fn may_deny(&self) -> bool {
        self.replica.is_tail() && self.settled_in_view && self.replica.view_stands(self.now)
    }

    fn status(&mut self, request: RequestId, queue: &str, job: JobId) {
        let answer = match self.phase(queue, job) {
            Some(phase) => CoordinatorAnswer::Phase(phase),
            None if self.may_deny() => CoordinatorAnswer::NoSuchJob,
            None => CoordinatorAnswer::NotServing,
        };
        self.answer(request, answer);
    }

    fn cancel(&mut self, request: RequestId, queue: &str, job: JobId) {
        match self.phase(queue, job) {
            Some(phase) if phase.ended() => self.answer(request, CoordinatorAnswer::Accepted),
            Some(_) => self.wish_if_serving(request, Wish::Cancel(job)),
            None if self.may_deny() => self.answer(request, CoordinatorAnswer::NoSuchJob),
            None => self.answer(request, CoordinatorAnswer::NotServing),
        }
    }

    fn count(&mut self, request: RequestId, queue: &str) {
        let count = self.machine.state.open_jobs.get(queue).copied().unwrap_or(0);
        let answer = match self.replica.is_active() {
            true => CoordinatorAnswer::Count(count),
            false => CoordinatorAnswer::NotServing,
        };
        self.answer(request, answer);
    }

    /// Answers a wish that an entry has settled.
    pub(crate) fn settle_by(&mut self, id: u64, outcome: Outcome) {
        let Some(pending) = self.pending.get(&id) else { return };
        let answer = match (&pending.wish, outcome) {
            // The scheduler's role has passed on: whether another entry accepts the job isn't known here.
            (_, Outcome::Fenced) => CoordinatorAnswer::Unknown,
            (Wish::Submit(_), _) => CoordinatorAnswer::Accepted,
            (Wish::Cancel(_), Outcome::Void) => CoordinatorAnswer::NoSuchJob,
            (Wish::Cancel(_), _) => CoordinatorAnswer::Accepted,
            (Wish::ReplaceConfiguration { .. }, Outcome::Conflict) => {
                CoordinatorAnswer::ConfigurationConflict
            }
            (Wish::ReplaceConfiguration { .. }, Outcome::Stale) => CoordinatorAnswer::ConfigurationStale,
            (Wish::ReplaceConfiguration { .. }, _) => CoordinatorAnswer::ConfigurationTaken,
            (Wish::DescribeConfiguration, _) => {
                CoordinatorAnswer::Configuration(self.machine.state.configuration.body.clone())
            }
        };
        self.settle(id, &answer);
    }
}
