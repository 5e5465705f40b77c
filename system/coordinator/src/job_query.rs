//! Queries about jobs, and queries waiting for confirmation of the view.
use crate::outputs::RequestId;
use magpiegap_protocol::{JobId, Millis};

/// The purpose of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryKind {
    /// Return the phase of the job.
    Status,
    /// Cancel the job if it exists.
    Cancel,
}

/// A query about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobQuery {
    /// The queue in which the client expects the job.
    pub queue: String,
    pub job: JobId,
    pub kind: QueryKind,
}

/// A query waiting for confirmation that the view is current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRead {
    pub request: RequestId,
    pub query: JobQuery,
    pub received_at: Millis,
}
