//! Proposals in flight and the operations that they complete.
use crate::{
    coordinator::Coordinator,
    operation::{Operation, OperationId, PendingOperation},
    outputs::RequestId,
    proposal::{Proposal, ProposalDraft},
};
use magpiegap_protocol::{Command, CoordinatorResponse, Millis, ProposalId};

/// An operation without an outcome after this time receives a response that says so.
const OPERATION_TIMEOUT_MS: Millis = 2000;

/// Contact with a majority is considered lost after this time, which exceeds the duration of a view change.
const CONTACT_TIMEOUT_MS: Millis = 300;

/// Base delay before a proposal that may not have reached the head is sent again.
const PROPOSAL_RETRY_MS: Millis = 500;
/// Slowest supported link, 1.6 Mbit/s. The retry delay is extended by the transfer time of the proposal on such a link.
const MIN_LINK_BYTES_PER_MS: u64 = 200;

impl Coordinator {
    /// Proposes a command. Returns whether the replica accepted the proposal.
    pub(crate) fn propose(&mut self, draft: ProposalDraft) -> bool {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if !self.submit_to_log(sequence, &draft) {
            return false;
        }
        let proposal = Proposal {
            proposed_at: self.now,
            view: self.replica.view().number,
            retry_at: self.now + retry_delay_ms(&draft.command),
            draft,
        };
        self.proposals.insert(sequence, proposal);
        self.last_proposed_at = self.now;
        true
    }

    /// Passes a command to the replica. Returns whether the replica accepted it.
    fn submit_to_log(&mut self, sequence: u64, draft: &ProposalDraft) -> bool {
        let id = ProposalId {
            origin: self.replica.own(),
            sequence,
        };
        self.replica.propose(
            self.median_wall,
            id,
            draft.role_token.clone(),
            draft.command.clone(),
        )
    }

    /// Resends proposals that may have been lost on the way to the head. This is safe because every command may be
    /// applied twice.
    pub(crate) fn retry_proposals(&mut self) {
        if self.replica.is_head() || !self.replica.is_active() {
            return;
        }
        let now = self.now;
        let view = self.replica.view().number;
        let mut proposals = std::mem::take(&mut self.proposals);
        for (sequence, proposal) in &mut proposals {
            if now < proposal.retry_at || proposal.view != view {
                continue;
            }
            proposal.retry_at = now + retry_delay_ms(&proposal.draft.command);
            self.submit_to_log(*sequence, &proposal.draft);
        }
        self.proposals = proposals;
    }

    /// Starts an operation, or adds the request to a pending operation with the same effect.
    pub(crate) fn start_operation(&mut self, operation: Operation, request: RequestId) {
        if let Some(id) = self.operations.add(operation, request, self.now) {
            self.propose_operation(id);
        }
    }

    /// Proposes the command that completes an operation.
    fn propose_operation(&mut self, id: OperationId) {
        if !self.has_committed_in_view {
            return;
        }
        let Some(pending) = self.operations.get(id).cloned() else {
            return;
        };
        let Some(draft) = self.draft_for(pending.operation) else {
            self.abandon_operation(id);
            return;
        };
        let draft = ProposalDraft {
            operation: Some(id),
            ..draft
        };
        if self.propose(draft) {
            self.operations.mark_proposed(id);
        }
    }

    /// Returns the proposal for an operation, or `None` if this coordinator may not propose it.
    fn draft_for(&mut self, operation: Operation) -> Option<ProposalDraft> {
        Some(match operation {
            Operation::Submit(submission) => return self.draft_submission(*submission),
            Operation::Cancel(job) => ProposalDraft::new(Command::CancelJob { job }),
            Operation::RecordCancellation(tombstone) => ProposalDraft::new(Command::SubmitJob {
                submission: tombstone,
                runs: Vec::new(),
            }),
            Operation::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            } => ProposalDraft::new(Command::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            }),
            Operation::DescribeConfiguration => ProposalDraft::new(Command::Noop),
        })
    }

    /// Removes an operation and responds to all requests that wait for it.
    pub(crate) fn complete_operation(&mut self, id: OperationId, response: &CoordinatorResponse) {
        let Some(pending) = self.operations.remove(id) else {
            return;
        };
        for request in pending.requests {
            self.respond(request, response.clone());
        }
    }

    /// Aborts operations that have timed out, or all operations once contact with a majority is lost. Callers that are
    /// rejected within a second retry at another coordinator.
    pub(crate) fn expire_operations(&mut self) {
        let now = self.now;
        self.contact_outage
            .observe(self.replica.has_quorum_contact(now), now);
        let has_lost_contact = self.contact_outage.has_lasted(CONTACT_TIMEOUT_MS, now);
        let is_expired = |pending: &PendingOperation| {
            has_lost_contact || now >= pending.started_at + OPERATION_TIMEOUT_MS
        };
        for id in self.operations.matching(|_, pending| is_expired(pending)) {
            self.abandon_operation(id);
        }
    }

    /// Ends an operation whose outcome is unknown.
    fn abandon_operation(&mut self, id: OperationId) {
        let pending = self.operations.get(id);
        if let Some(response) = pending.map(PendingOperation::response_without_outcome) {
            self.complete_operation(id, &response);
        }
    }

    /// Proposes operations again whose proposals were lost in a view change.
    pub(crate) fn repropose_operations(&mut self) {
        // After a pause of this process, operations may have expired and their callers been served by other
        // coordinators.
        self.expire_operations();
        let view = self.replica.view().number;
        self.proposals.retain(|_, proposal| proposal.view == view);
        let in_flight: Vec<OperationId> = self
            .proposals
            .values()
            .filter_map(|proposal| proposal.draft.operation)
            .collect();
        let open = self.operations.matching(|id, _| !in_flight.contains(&id));
        for id in open {
            self.propose_operation(id);
        }
    }
}

/// Returns the delay after which an unapplied command is resent to the head.
fn retry_delay_ms(command: &Command) -> Millis {
    PROPOSAL_RETRY_MS + command.estimated_bytes() as u64 / MIN_LINK_BYTES_PER_MS
}
