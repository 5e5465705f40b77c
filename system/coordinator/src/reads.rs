//! Queries about jobs.
//!
//! That a job has ended, and how, never changes, so any coordinator may say it at any time. Every other response may be
//! out of date a moment later: it is given by the tail only, and only once a majority of the voters has confirmed that
//! the view stood after the query had come. A tail that was left out of the view, or has stood still, thus shows
//! nothing older than what had been acknowledged when the query came.
use crate::{
    coordinator::Coordinator,
    job_query::{JobQuery, PendingRead, QueryKind},
    operation::Operation,
    outputs::RequestId,
};
use magpiegap_protocol::{CoordinatorResponse, JobId, JobPhase, Millis};

/// A query that could not be answered for this long is rejected, so that another coordinator is asked.
const READ_TIMEOUT_MS: Millis = 350;

impl Coordinator {
    /// Accepts a query; its response comes as an output, now or later.
    pub(crate) fn read(&mut self, request: RequestId, query: JobQuery) {
        if let Some(response) = self.final_response(&query) {
            self.respond(request, response);
        } else if self.can_serve_reads() {
            self.pending_reads.push(PendingRead {
                request,
                query,
                received_at: self.now,
            });
        } else {
            self.respond(request, CoordinatorResponse::NotServing);
        }
    }

    /// Responds to the queries whose turn has come.
    pub(crate) fn respond_to_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        let confirmed_at = self.replica.confirmed_at(self.now);
        let is_serving = self.can_serve_reads();
        for read in std::mem::take(&mut self.pending_reads) {
            if let Some(response) = self.final_response(&read.query) {
                self.respond(read.request, response);
            } else if is_serving && confirmed_at > read.received_at {
                self.respond_to_read(read);
            } else if is_serving && self.now < read.received_at + READ_TIMEOUT_MS {
                self.pending_reads.push(read);
            } else {
                self.respond(read.request, CoordinatorResponse::NotServing);
            }
        }
    }

    /// Whether this coordinator has all that is committed in its view.
    pub(crate) fn can_serve_reads(&self) -> bool {
        self.replica.is_tail() && self.has_committed_in_view
    }

    /// The response, where it can never become another one.
    fn final_response(&self, query: &JobQuery) -> Option<CoordinatorResponse> {
        let phase = self
            .phase(&query.queue, query.job)
            .filter(|phase| phase.is_terminal())?;
        Some(match query.kind {
            QueryKind::Cancel => CoordinatorResponse::Accepted,
            QueryKind::Status => CoordinatorResponse::Phase(phase),
        })
    }

    fn respond_to_read(&mut self, read: PendingRead) {
        let query = read.query;
        match (self.phase(&query.queue, query.job), query.kind) {
            (None, _) => self.respond(read.request, CoordinatorResponse::NoSuchJob),
            (Some(_), QueryKind::Cancel) => {
                self.start_operation_in_contact(read.request, Operation::Cancel(query.job));
            }
            (Some(phase), QueryKind::Status) => {
                self.respond(read.request, CoordinatorResponse::Phase(phase));
            }
        }
    }

    /// A job's phase, when it is known here and was submitted to that queue.
    pub(crate) fn phase(&self, queue: &str, job: JobId) -> Option<JobPhase> {
        let job = self.machine.state.jobs.get(&job)?;
        (job.submission.queue == queue).then_some(job.phase)
    }
}
