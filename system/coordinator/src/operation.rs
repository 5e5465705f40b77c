//! Operations requested by clients and operators that are decided by the log, and the requests waiting for them.
use crate::outputs::RequestId;
use magpiegap_protocol::{CoordinatorResponse, JobId, Millis, Submission};
use std::collections::BTreeMap;

/// Identifies an operation within one incarnation of a coordinator.
pub(crate) type OperationId = u64;

/// An operation requested by a client or operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Operation {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Cancel a job.
    Cancel(JobId),
    /// Record the cancellation of a job that is not known, as a tombstone. The tombstone is cancelled next, like a job.
    RecordCancellation(Box<Submission>),
    /// Replace the current configuration.
    ReplaceConfiguration {
        /// The base version.
        base: u64,
        /// The new version.
        version: u64,
        /// The unmodified body of the new configuration.
        body: Vec<u8>,
        /// The encoded difference from `base`; empty if unknown.
        change: Vec<u8>,
    },
    /// Read the current configuration through the log.
    DescribeConfiguration,
}

impl Operation {
    /// Returns whether both operations have the same effect, so that one proposal completes both. Reads are never
    /// merged: each needs a proposal made after the read was received.
    pub(crate) fn has_same_effect(&self, other: &Operation) -> bool {
        match (self, other) {
            (Operation::Submit(submission), Operation::Submit(other)) => {
                submission.job == other.job && submission.queue == other.queue
            }
            (Operation::Cancel(job), Operation::Cancel(other)) => job == other,
            (Operation::RecordCancellation(_), Operation::RecordCancellation(_)) => self == other,
            (Operation::ReplaceConfiguration { .. }, _) => self == other,
            _ => false,
        }
    }
}

/// An operation without an outcome yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingOperation {
    pub operation: Operation,
    /// Requests waiting for the outcome.
    pub requests: Vec<RequestId>,
    pub started_at: Millis,
    /// The operation was proposed at least once and may therefore take effect.
    pub was_proposed: bool,
}

impl PendingOperation {
    /// Returns the response for an unknown outcome. An operation that was never proposed can't take effect.
    pub(crate) fn response_without_outcome(&self) -> CoordinatorResponse {
        if self.was_proposed {
            CoordinatorResponse::Unknown
        } else {
            CoordinatorResponse::NotServing
        }
    }
}

/// Operations without an outcome, in the order in which they were started.
#[derive(Debug, Default)]
pub(crate) struct PendingOperations {
    operations: BTreeMap<OperationId, PendingOperation>,
    last_id: OperationId,
}

impl PendingOperations {
    /// Adds an operation and returns its ID, or adds the request to a pending operation with the same effect and
    /// returns `None`.
    pub(crate) fn add(
        &mut self,
        operation: Operation,
        request: RequestId,
        now: Millis,
    ) -> Option<OperationId> {
        let same = self
            .operations
            .values_mut()
            .find(|pending| pending.operation.has_same_effect(&operation));
        if let Some(pending) = same {
            pending.requests.push(request);
            return None;
        }
        self.last_id += 1;
        let pending = PendingOperation {
            operation,
            requests: vec![request],
            started_at: now,
            was_proposed: false,
        };
        self.operations.insert(self.last_id, pending);
        Some(self.last_id)
    }

    pub(crate) fn get(&self, id: OperationId) -> Option<&PendingOperation> {
        self.operations.get(&id)
    }

    pub(crate) fn mark_proposed(&mut self, id: OperationId) {
        if let Some(pending) = self.operations.get_mut(&id) {
            pending.was_proposed = true;
        }
    }

    pub(crate) fn remove(&mut self, id: OperationId) -> Option<PendingOperation> {
        self.operations.remove(&id)
    }

    /// Returns the operations that satisfy a condition, oldest first.
    pub(crate) fn matching(
        &self,
        condition: impl Fn(OperationId, &PendingOperation) -> bool,
    ) -> Vec<OperationId> {
        let matching = self
            .operations
            .iter()
            .filter(|(id, pending)| condition(**id, pending));
        matching.map(|(id, _)| *id).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.operations.len()
    }
}
