//! Operations: what clients and operators want the log to decide, and who waits for the outcome.
use crate::outputs::RequestId;
use magpiegap_protocol::{CoordinatorResponse, JobId, Millis, Submission};
use std::collections::BTreeMap;

/// Identifies an operation within one life of a coordinator.
pub(crate) type OperationId = u64;

/// What a client or operator wants.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Operation {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Cancel a job.
    Cancel(JobId),
    /// Put a newer configuration in force.
    ReplaceConfiguration {
        /// The version that it builds on.
        base: u64,
        /// Its own version.
        version: u64,
        /// The complete configuration, as it came.
        body: Vec<u8>,
        /// What leads to it from `base`, encoded.
        change: Vec<u8>,
    },
    /// Read the configuration in force, through the log.
    DescribeConfiguration,
}

impl Operation {
    /// Whether both have the same effect, so that one proposal completes both. Reads never do: each needs a proposal that
    /// was made after it came.
    pub(crate) fn is_same(&self, other: &Operation) -> bool {
        match (self, other) {
            (Operation::Submit(submission), Operation::Submit(other)) => {
                submission.job == other.job
            }
            (Operation::Cancel(job), Operation::Cancel(other)) => job == other,
            (Operation::ReplaceConfiguration { .. }, _) => self == other,
            _ => false,
        }
    }
}

/// An operation without an outcome yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingOperation {
    pub operation: Operation,
    /// The requests that wait for it.
    pub requests: Vec<RequestId>,
    pub started_at: Millis,
    /// It was proposed at least once, and so may take effect.
    pub was_proposed: bool,
}

impl PendingOperation {
    /// The response where the outcome will not be known: the operation may take effect only if it was proposed.
    pub(crate) fn response_without_outcome(&self) -> CoordinatorResponse {
        if self.was_proposed {
            CoordinatorResponse::Unknown
        } else {
            CoordinatorResponse::NotServing
        }
    }
}

/// The operations without an outcome, in the order in which they were started.
#[derive(Debug, Default)]
pub(crate) struct PendingOperations {
    operations: BTreeMap<OperationId, PendingOperation>,
    last_id: OperationId,
}

impl PendingOperations {
    /// Adds an operation. `None`: the request has joined one that has the same effect.
    pub(crate) fn add(
        &mut self,
        operation: Operation,
        request: RequestId,
        now: Millis,
    ) -> Option<OperationId> {
        let same = self
            .operations
            .values_mut()
            .find(|pending| pending.operation.is_same(&operation));
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

    /// The operation, while it has no outcome.
    pub(crate) fn get(&self, id: OperationId) -> Option<&PendingOperation> {
        self.operations.get(&id)
    }

    /// Records that an operation was proposed.
    pub(crate) fn mark_proposed(&mut self, id: OperationId) {
        if let Some(pending) = self.operations.get_mut(&id) {
            pending.was_proposed = true;
        }
    }

    /// Takes out an operation that has an outcome, or gets none.
    pub(crate) fn remove(&mut self, id: OperationId) -> Option<PendingOperation> {
        self.operations.remove(&id)
    }

    /// The operations that meet a condition, oldest first.
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

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.operations.len()
    }
}
