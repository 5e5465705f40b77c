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
        self.next_sequence += 1;
        let sequence = self.next_sequence;
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
        let same = self
            .pending_operations
            .values_mut()
            .find(|pending| pending.operation.is_same(&operation));
        if let Some(pending) = same {
            pending.requests.push(request);
            return;
        }
        self.next_operation += 1;
        let id = self.next_operation;
        let pending = PendingOperation {
            operation,
            requests: vec![request],
            started_at: self.now,
            was_proposed: false,
        };
        self.pending_operations.insert(id, pending);
        self.propose_operation(id);
    }

    /// Proposes what completes an operation.
    fn propose_operation(&mut self, id: OperationId) {
        if !self.has_committed_in_view {
            return;
        }
        let Some(pending) = self.pending_operations.get(&id).cloned() else {
            return;
        };
        let response_without_outcome = pending.response_without_outcome();
        let Some(proposed) = self.proposed_for(pending.operation) else {
            self.complete_operation(id, &response_without_outcome);
            return;
        };
        let proposed = Proposed {
            operation: Some(id),
            ..proposed
        };
        if self.propose(proposed) {
            if let Some(pending) = self.pending_operations.get_mut(&id) {
                pending.was_proposed = true;
            }
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
        let Some(pending) = self.pending_operations.remove(&id) else {
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
            .observe(self.replica.has_contact(now), now);
        let has_lost_contact = self.contact_outage.has_lasted(CONTACT_TIMEOUT_MS, now);
        let is_expired = |pending: &PendingOperation| {
            has_lost_contact || now >= pending.started_at + OPERATION_TIMEOUT_MS
        };
        let expired: Vec<(OperationId, CoordinatorResponse)> = self
            .pending_operations
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(id, pending)| (*id, pending.response_without_outcome()))
            .collect();
        for (id, response) in expired {
            self.complete_operation(id, &response);
        }
    }

    /// Proposes anew what a view change has left open.
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
        let open: Vec<OperationId> = self
            .pending_operations
            .keys()
            .copied()
            .filter(|id| !in_flight.contains(id))
            .collect();
        for id in open {
            self.propose_operation(id);
        }
    }
}

/// After how long a command that is not in the log is sent to the head again.
fn retry_delay_ms(command: &Command) -> Millis {
    PROPOSAL_RETRY_MS + command.estimated_bytes() as u64 / MIN_LINK_BYTES_PER_MS
}
