//! Cancellations of jobs that are not known.
//!
//! The submission of such a job may still be on its way, through a proxy that is paused for example, and must not create
//! the job after the cancellation was acknowledged. The cancellation is therefore recorded in the log as a tombstone,
//! which takes the job's ID and is retained like a job that has ended.
use crate::{
    coordinator::Coordinator,
    operation::Operation,
    outputs::RequestId,
    proposal::{Proposal, ProposalDraft},
};
use magpiegap_jobs::Outcome;
use magpiegap_protocol::{Command, CoordinatorResponse, JobId, Submission};

/// Maximum number of tombstones; further cancellations of unknown jobs are rejected until some are removed.
const MAX_TOMBSTONES: u64 = 10_000;

impl Coordinator {
    /// Records the cancellation of a job that is surely not known.
    pub(crate) fn cancel_unknown_job(&mut self, request: RequestId, queue: &str, job: JobId) {
        let newest = self.configurations.newest();
        let route = newest.and_then(|configuration| configuration.routes.of_queue(queue));
        let Some(route) = route else {
            // Without its service the job can't be recorded, and a proxy may still know the queue.
            self.respond(request, CoordinatorResponse::NotServing);
            return;
        };
        let tombstone = Submission::tombstone(job, queue, &route.service);
        if self.machine.state.service_jobs.tombstones() >= MAX_TOMBSTONES {
            self.respond(request, CoordinatorResponse::NoCapacity);
            return;
        }
        let operation = Operation::RecordCancellation(Box::new(tombstone));
        self.start_operation_with_quorum(request, operation);
    }

    /// Handles an applied proposal. If it was a tombstone, cancels it, or the job of its queue that was accepted before
    /// it; the requests that still wait are answered by the outcome of that.
    pub(crate) fn cancel_applied_tombstone(&mut self, proposal: &Proposal, outcome: Outcome) {
        let Command::SubmitJob { submission, .. } = &proposal.draft.command else {
            return;
        };
        // Otherwise the ID belongs to a job of another queue, which must not be cancelled.
        let is_own_job = matches!(outcome, Outcome::Done | Outcome::Repeated);
        if !submission.is_tombstone() || !is_own_job {
            return;
        }
        let job = submission.job;
        let operation = proposal.draft.operation;
        match operation.and_then(|id| self.operations.remove(id)) {
            Some(pending) => {
                for request in pending.requests {
                    self.start_operation(Operation::Cancel(job), request);
                }
            }
            None => {
                self.propose(ProposalDraft::new(Command::CancelJob { job }));
            }
        }
    }
}
