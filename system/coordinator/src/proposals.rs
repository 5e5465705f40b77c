//! What this coordinator has proposed and what waits for it.
use crate::{
    coordinator::Coordinator,
    outputs::RequestId,
    under_way::{Operation, Pending, Proposal, Purpose},
};
use magpiegap_protocol::{Command, CoordinatorResponse, Millis, ProposalId, RoleToken};

/// A request that was not answered for this long is answered as it stands.
const REQUEST_PATIENCE_MS: Millis = 2000;

/// Contact with a majority that is not back after this time is taken for lost: a change of the view takes less.
const CONTACT_LOST_MS: Millis = 300;

/// A proposal that the head may not have got is sent again after this time ...
const PROPOSE_AGAIN_MS: Millis = 500;
/// ... and after as much longer as a link that takes so many bytes in a millisecond needs for it: 1.6 Mbit/s.
const LEAST_BYTES_PER_MS: u64 = 200;

impl Coordinator {
    /// Proposes a command. Returns whether it is under way.
    pub(crate) fn propose(
        &mut self,
        command: Command,
        role_token: Option<RoleToken>,
        purpose: Option<Purpose>,
        pending: Option<u64>,
    ) -> bool {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let proposal = ProposalId {
            origin: self.replica.own(),
            sequence,
        };
        let wall = self.wall;
        if !self
            .replica
            .propose(wall, proposal, role_token.clone(), command.clone())
        {
            return false;
        }
        let view = self.replica.view().number;
        let again_at = self.now + propose_again_ms(&command);
        let proposal = Proposal {
            purpose,
            pending,
            proposed_at: self.now,
            view,
            role_token,
            command,
            again_at,
        };
        self.proposals.insert(sequence, proposal);
        self.last_proposed_at = self.now;
        true
    }

    /// Sends proposals to the head again that may have been lost on their way. All commands may be applied twice.
    pub(crate) fn propose_again(&mut self) {
        if self.replica.is_head() || !self.replica.is_active() {
            return;
        }
        let (now, wall, origin) = (self.now, self.wall, self.replica.own());
        let view = self.replica.view().number;
        for (sequence, proposal) in &mut self.proposals {
            if now < proposal.again_at || proposal.view != view {
                continue;
            }
            proposal.again_at = now + propose_again_ms(&proposal.command);
            let id = ProposalId {
                origin,
                sequence: *sequence,
            };
            self.replica.propose(
                wall,
                id,
                proposal.role_token.clone(),
                proposal.command.clone(),
            );
        }
    }

    /// Takes up an operation.
    pub(crate) fn begin(&mut self, operation: Operation, request: RequestId) {
        let same = self
            .pending
            .iter_mut()
            .find(|(_, pending)| same_operation(&pending.operation, &operation));
        if let Some((_, pending)) = same {
            pending.requests.push(request);
            return;
        }
        self.next_pending += 1;
        let id = self.next_pending;
        let pending = Pending {
            operation,
            requests: vec![request],
            since: self.now,
            proposed: false,
        };
        self.pending.insert(id, pending);
        self.pursue(id);
    }

    /// Proposes what settles an operation.
    pub(crate) fn pursue(&mut self, id: u64) {
        if !self.settled_in_view {
            return;
        }
        let Some(Pending {
            operation,
            proposed,
            ..
        }) = self.pending.get(&id).cloned()
        else {
            return;
        };
        let (command, role_token, purpose) = match operation {
            Operation::Submit(submission) => match self.submission_command(*submission) {
                Some((command, role_token, purpose)) => (command, Some(role_token), Some(purpose)),
                None => {
                    self.settle(id, &unsettled_answer(proposed));
                    return;
                }
            },
            Operation::Cancel(job) => (Command::CancelJob { job }, None, None),
            Operation::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            } => (
                Command::ReplaceConfiguration {
                    base,
                    version,
                    body,
                    change,
                },
                None,
                None,
            ),
            Operation::DescribeConfiguration => (Command::Noop, None, None),
        };
        if self.propose(command, role_token, purpose, Some(id)) {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.proposed = true;
            }
        }
    }

    /// Answers all that wait for an operation.
    pub(crate) fn settle(&mut self, id: u64, answer: &CoordinatorResponse) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        for request in pending.requests {
            self.answer(request, answer.clone());
        }
    }

    /// Answers requests that have waited too long, and all of them once this coordinator has lost its contact with the
    /// others: a caller that hears so within a second asks another one.
    pub(crate) fn give_up_requests(&mut self) {
        let now = self.now;
        self.without_contact
            .note(self.replica.has_contact(now), now);
        let is_lost = self.without_contact.lasts(CONTACT_LOST_MS, now);
        let old: Vec<(u64, bool)> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_lost || now >= pending.since + REQUEST_PATIENCE_MS)
            .map(|(id, pending)| (*id, pending.proposed))
            .collect();
        for (id, proposed) in old {
            self.settle(id, &unsettled_answer(proposed));
        }
    }

    /// Proposes anew what a change of the view has left open.
    pub(crate) fn pursue_all(&mut self) {
        // After standing still some may be old, and their callers long since served by others.
        self.give_up_requests();
        let view = self.replica.view().number;
        self.proposals.retain(|_, proposal| proposal.view == view);
        let under_way: Vec<u64> = self
            .proposals
            .values()
            .filter_map(|proposal| proposal.pending)
            .collect();
        let open: Vec<u64> = self
            .pending
            .keys()
            .copied()
            .filter(|id| !under_way.contains(id))
            .collect();
        for id in open {
            self.pursue(id);
        }
    }
}

/// After how long a command that is not in the log is sent to the head again.
fn propose_again_ms(command: &Command) -> Millis {
    PROPOSE_AGAIN_MS + command.estimated_bytes() as u64 / LEAST_BYTES_PER_MS
}

/// The answer to a request that could not be settled: it may take effect only where it was proposed.
fn unsettled_answer(proposed: bool) -> CoordinatorResponse {
    if proposed {
        CoordinatorResponse::Unknown
    } else {
        CoordinatorResponse::NotServing
    }
}

fn same_operation(one: &Operation, other: &Operation) -> bool {
    match (one, other) {
        (Operation::Submit(one), Operation::Submit(other)) => one.job == other.job,
        (Operation::Cancel(one), Operation::Cancel(other)) => one == other,
        (one @ Operation::ReplaceConfiguration { .. }, other) => one == other,
        _ => false,
    }
}
