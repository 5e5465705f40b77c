//! Proposals in flight, and the operations that they complete.
use crate::{
    coordinator::Coordinator,
    operation::{Operation, OperationId, PendingOperation},
    outputs::RequestId,
    proposal::{Proposal, Proposed},
};
use magpiegap_protocol::{Command, CoordinatorResponse, Millis, ProposalId};

/// An operation that has no outcome for this long gets a response without one.
const OPERATION_TIMEOUT_MS: Millis = 2000;

/// Contact with a majority that is not back after this time counts as lost: a view change takes less.
const CONTACT_TIMEOUT_MS: Millis = 300;

/// A proposal that the head may not have got is sent again after this time ...
const PROPOSAL_RETRY_MS: Millis = 500;
/// ... and after as much longer as a link of this speed needs for it, in bytes per millisecond: 1.6 Mbit/s.
const MIN_LINK_BYTES_PER_MS: u64 = 200;

impl Coordinator {
    /// Proposes a command. Returns whether it is in flight.
    pub(crate) fn propose(&mut self, proposed: Proposed) -> bool {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if !self.submit_to_log(sequence, &proposed) {
            return false;
        }
        let proposal = Proposal {
            proposed_at: self.now,
            view: self.replica.view().number,
            retry_at: self.now + retry_delay_ms(&proposed.command),
            proposed,
        };
        self.proposals.insert(sequence, proposal);
        self.last_proposed_at = self.now;
        true
    }

    /// Hands a command to the replica. Returns whether the replica takes proposals now.
    fn submit_to_log(&mut self, sequence: u64, proposed: &Proposed) -> bool {
        let id = ProposalId {
            origin: self.replica.own(),
            sequence,
        };
        self.replica.propose(
            self.median_wall,
            id,
            proposed.role_token.clone(),
            proposed.command.clone(),
        )
    }

    /// Sends proposals to the head again that may have been lost on their way. All commands may be applied twice.
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
            proposal.retry_at = now + retry_delay_ms(&proposal.proposed.command);
            self.submit_to_log(*sequence, &proposal.proposed);
        }
        self.proposals = proposals;
    }

    /// Starts an operation, or adds the request to one in progress that has the same effect.
    pub(crate) fn start_operation(&mut self, operation: Operation, request: RequestId) {
        if let Some(id) = self.operations.add(operation, request, self.now) {
            self.propose_operation(id);
        }
    }

    /// Proposes what completes an operation.
    fn propose_operation(&mut self, id: OperationId) {
        if !self.has_committed_in_view {
            return;
        }
        let Some(pending) = self.operations.get(id).cloned() else {
            return;
        };
        let Some(proposed) = self.proposed_for(pending.operation) else {
            self.end_operation(id);
            return;
        };
        let proposed = Proposed {
            operation: Some(id),
            ..proposed
        };
        if self.propose(proposed) {
            self.operations.mark_proposed(id);
        }
    }

    /// What to propose for an operation. `None`: this coordinator may not propose it.
    fn proposed_for(&mut self, operation: Operation) -> Option<Proposed> {
        Some(match operation {
            Operation::Submit(submission) => return self.proposed_submission(*submission),
            Operation::Cancel(job) => Proposed::new(Command::CancelJob { job }),
            Operation::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            } => Proposed::new(Command::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            }),
            Operation::DescribeConfiguration => Proposed::new(Command::Noop),
        })
    }

    /// Responds to all requests that wait for an operation.
    pub(crate) fn complete_operation(&mut self, id: OperationId, response: &CoordinatorResponse) {
        let Some(pending) = self.operations.remove(id) else {
            return;
        };
        for request in pending.requests {
            self.respond(request, response.clone());
        }
    }

    /// Ends operations that have timed out, and all of them once contact with a majority is lost: a caller that hears so
    /// within a second asks another coordinator.
    pub(crate) fn expire_operations(&mut self) {
        let now = self.now;
        self.contact_outage
            .observe(self.replica.has_quorum_contact(now), now);
        let has_lost_contact = self.contact_outage.has_lasted(CONTACT_TIMEOUT_MS, now);
        let is_expired = |pending: &PendingOperation| {
            has_lost_contact || now >= pending.started_at + OPERATION_TIMEOUT_MS
        };
        for id in self.operations.matching(|_, pending| is_expired(pending)) {
            self.end_operation(id);
        }
    }

    /// Ends an operation without an outcome.
    fn end_operation(&mut self, id: OperationId) {
        let pending = self.operations.get(id);
        if let Some(response) = pending.map(PendingOperation::response_without_outcome) {
            self.complete_operation(id, &response);
        }
    }

    /// Proposes the operations again that a view change has left without a proposal in flight.
    pub(crate) fn propose_open_operations(&mut self) {
        // After a pause of this process some may be old, and their callers long since served by others.
        self.expire_operations();
        let view = self.replica.view().number;
        self.proposals.retain(|_, proposal| proposal.view == view);
        let in_flight: Vec<OperationId> = self
            .proposals
            .values()
            .filter_map(|proposal| proposal.proposed.operation)
            .collect();
        let open = self.operations.matching(|id, _| !in_flight.contains(&id));
        for id in open {
            self.propose_operation(id);
        }
    }
}

/// After how long a command that is not in the log is sent to the head again.
fn retry_delay_ms(command: &Command) -> Millis {
    PROPOSAL_RETRY_MS + command.estimated_bytes() as u64 / MIN_LINK_BYTES_PER_MS
}
