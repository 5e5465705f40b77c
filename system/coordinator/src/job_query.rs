//! Queries about jobs, and those that wait for their turn.
use crate::outputs::RequestId;
use magpiegap_protocol::{JobId, Millis};

/// Why a job is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryKind {
    /// To return its phase.
    Status,
    /// To cancel it, if it exists.
    Cancel,
}

/// A query about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobQuery {
    /// The queue in which the client looks for it.
    pub queue: String,
    pub job: JobId,
    pub kind: QueryKind,
}

/// A query that waits until the view is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRead {
    pub request: RequestId,
    pub query: JobQuery,
    pub received_at: Millis,
}
