//! Operations: what clients and operators want the log to decide, and who waits for the outcome.
use crate::outputs::RequestId;
use magpiegap_protocol::{CoordinatorResponse, JobId, Millis, Submission};

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
