//! Requests from proxies, agents and the operator interface to a coordinator, and its responses.
use crate::{ConfigurationChunk, ConfigurationFetch, Feed, FeedPoll, JobId, Submission};
use minicbor::{Decode, Encode};

/// The state of a job as visible to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobPhase {
    /// No task has started yet.
    #[n(0)]
    Pending,
    /// At least one task has started.
    #[n(1)]
    Running,
    /// All tasks have succeeded.
    #[n(2)]
    Succeeded,
    /// A task has reached its queue's limit of failed runs.
    #[n(3)]
    Failed,
    /// The client has cancelled the job.
    #[n(4)]
    Cancelled,
}

impl JobPhase {
    /// The text form in the client API.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Succeeded => "succeeded",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }

    /// Parses the text form of the client API.
    pub fn parse(text: &str) -> Option<JobPhase> {
        let phases = [
            JobPhase::Pending,
            JobPhase::Running,
            JobPhase::Succeeded,
            JobPhase::Failed,
            JobPhase::Cancelled,
        ];
        phases.into_iter().find(|phase| phase.as_str() == text)
    }

    /// Whether the job has ended, so that no more of its tasks are started.
    pub fn is_terminal(self) -> bool {
        !matches!(self, JobPhase::Pending | JobPhase::Running)
    }
}

/// Selects jobs for an operator, ordered by identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobFilter {
    /// Only jobs of this queue, `HOST/PREFIX/`.
    #[n(0)]
    pub queue: Option<String>,
    /// Only jobs in this phase.
    #[n(1)]
    pub phase: Option<JobPhase>,
    /// Only jobs with an identifier after this one.
    #[n(2)]
    pub after: Option<JobId>,
    /// Maximum number of jobs.
    #[n(3)]
    pub limit: u32,
}

/// A request to a coordinator.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorRequest {
    /// Submits a job.
    #[n(0)]
    Submit(#[n(0)] Box<Submission>),
    /// Returns the phase of a job.
    #[n(1)]
    Status {
        /// The queue.
        #[n(0)]
        queue: String,
        /// The job.
        #[n(1)]
        job: JobId,
    },
    /// Cancels a job.
    #[n(2)]
    Cancel {
        /// The queue.
        #[n(0)]
        queue: String,
        /// The job.
        #[n(1)]
        job: JobId,
    },
    /// Returns the number of jobs of a queue that have not ended.
    #[n(3)]
    Count {
        /// The queue.
        #[n(0)]
        queue: String,
    },
    /// Polls the feed.
    #[n(4)]
    Poll(#[n(0)] FeedPoll),
    /// Replaces the configuration.
    #[n(5)]
    ReplaceConfiguration {
        /// The version to be replaced.
        #[n(0)]
        base: u64,
        /// The configuration as the operator sent it.
        #[cbor(n(2), with = "minicbor::bytes")]
        body: Vec<u8>,
    },
    /// Returns the newest configuration.
    #[n(6)]
    DescribeConfiguration,
    /// Returns a description of the cluster's state, for operators.
    #[n(7)]
    Describe,
    /// Returns an explanation of a job's state, for operators.
    #[n(8)]
    Explain {
        /// The job.
        #[n(0)]
        job: JobId,
    },
    /// Lists the jobs in this coordinator's state, for operators.
    #[n(9)]
    ListJobs(#[n(0)] JobFilter),
    /// Requests a chunk of the change to the newest configuration.
    #[n(10)]
    FetchConfiguration(#[n(0)] ConfigurationFetch),
}

/// The response to a [`CoordinatorRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorResponse {
    /// The job or its cancellation is committed.
    #[n(0)]
    Accepted,
    /// The job or the cancellation of an unknown job was rejected for lack of capacity and will not be accepted through
    /// this request.
    #[n(1)]
    NoCapacity,
    /// This coordinator can't serve the request and has done nothing; another one may be able to serve it.
    #[n(2)]
    NotServing,
    /// The result is unknown: the request may have taken effect or may still do so.
    #[n(3)]
    Unknown,
    /// There is no such job.
    #[n(4)]
    NoSuchJob,
    /// The phase of a job.
    #[n(5)]
    Phase(#[n(0)] JobPhase),
    /// The number of jobs.
    #[n(6)]
    Count(#[n(0)] u64),
    /// The feed.
    #[n(7)]
    Feed(#[n(0)] Box<Feed>),
    /// The configuration is accepted, by this request or an earlier one.
    #[n(8)]
    ConfigurationAccepted,
    /// The current version is not the one to be replaced.
    #[n(9)]
    ConfigurationConflict,
    /// The new version is not higher than the current one.
    #[n(10)]
    ConfigurationStale,
    /// The newest configuration; empty if there is none yet.
    #[n(11)]
    Configuration(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// A description for operators, as JSON.
    #[n(12)]
    Description(#[n(0)] String),
    /// Address of the coordinator that schedules the job's service.
    #[n(13)]
    Redirect(#[n(0)] u32),
    /// A chunk of a configuration.
    #[n(14)]
    ConfigurationChunk(#[n(0)] Box<ConfigurationChunk>),
    /// The configuration is invalid; the text describes the first error.
    #[n(15)]
    ConfigurationInvalid(#[n(0)] String),
    /// The job was rejected, because a job of another queue has its ID.
    #[n(16)]
    JobIdTaken,
}
