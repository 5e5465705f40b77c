//! Cancellations of jobs that are not known.
//!
//! The submission of such a job may still be on its way, through a proxy that is paused for example, and must not create
//! the job after the cancellation was acknowledged. The cancellation is therefore recorded in the log as a tombstone,
//! which takes the job's ID and is retained like a job that has ended.
use crate::{
    coordinator::Coordinator,
    operation::{Operation, OperationId},
    outputs::RequestId,
    proposal::{Proposal, ProposalDraft},
};
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

    /// Cancels the tombstone, or the job that was accepted before it, for the requests that wait for the operation.
    pub(crate) fn cancel_tombstone(&mut self, id: OperationId, job: JobId) {
        let Some(pending) = self.operations.remove(id) else {
            return;
        };
        for request in pending.requests {
            self.start_operation(Operation::Cancel(job), request);
        }
    }

    /// Cancels a tombstone whose requests have been answered before it was applied.
    pub(crate) fn cancel_abandoned_tombstone(&mut self, proposal: &Proposal) {
        let Command::SubmitJob { submission, .. } = &proposal.draft.command else {
            return;
        };
        let is_pending = proposal
            .draft
            .operation
            .is_some_and(|id| self.operations.get(id).is_some());
        if submission.is_tombstone() && !is_pending {
            let job = submission.job;
            self.propose(ProposalDraft::new(Command::CancelJob { job }));
        }
    }
}
