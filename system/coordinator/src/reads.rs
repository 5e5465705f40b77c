//! Linearizable queries about jobs.
//!
//! The final phase of a job never changes, so any coordinator may return it at any time. All other responses are given
//! only by the tail, and only after a majority of the voters has confirmed that the view was still current after the
//! query was received. A tail that was removed from the view or was paused therefore never returns a state older than
//! what had been acknowledged when the query was received.
use crate::{
    coordinator::Coordinator,
    job_query::{JobQuery, PendingRead, QueryKind},
    operation::Operation,
    outputs::RequestId,
};
use magpiegap_protocol::{CoordinatorResponse, JobId, JobPhase, Millis};

/// A query that cannot be answered within this time is rejected, so that the caller tries another coordinator.
const READ_TIMEOUT_MS: Millis = 350;

impl Coordinator {
    /// Accepts a query. The response is an output of this or a later call.
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

    /// Responds to queries that can be answered now, and rejects those that have timed out or cannot be served here.
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

    /// Returns whether this coordinator has every entry that is committed in its view.
    pub(crate) fn can_serve_reads(&self) -> bool {
        self.replica.is_tail() && self.has_committed_in_view
    }

    /// Returns the response if the job has ended, because it can then no longer change.
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
            (None, QueryKind::Status) => {
                self.respond(read.request, CoordinatorResponse::NoSuchJob);
            }
            (None, QueryKind::Cancel) => {
                self.cancel_unknown_job(read.request, &query.queue, query.job);
            }
            (Some(_), QueryKind::Cancel) => {
                self.start_operation_with_quorum(read.request, Operation::Cancel(query.job));
            }
            (Some(phase), QueryKind::Status) => {
                self.respond(read.request, CoordinatorResponse::Phase(phase));
            }
        }
    }

    /// Returns the phase of a job that is known here and was submitted to the given queue.
    pub(crate) fn phase(&self, queue: &str, job: JobId) -> Option<JobPhase> {
        let job = self.machine.state.jobs.get(&job)?;
        (job.submission.queue == queue).then_some(job.phase)
    }
}
