//! Requests of proxies, agents and the operator's interface to a coordinator, and its responses.
use crate::{ConfigurationChunk, ConfigurationFetch, Feed, FeedPoll, JobId, Submission};
use minicbor::{Decode, Encode};

/// The state of a job as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum JobPhase {
    /// No task has been started yet.
    #[n(0)]
    Pending,
    /// A task has been started.
    #[n(1)]
    Running,
    /// Every task is done.
    #[n(2)]
    Succeeded,
    /// A task has failed as often as its queue allows.
    #[n(3)]
    Failed,
    /// Its client cancelled it.
    #[n(4)]
    Cancelled,
}

impl JobPhase {
    /// The text that clients see.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Succeeded => "succeeded",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }

    /// Parses the text that clients see.
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

    /// Whether the job has ended: nothing of it is started any more.
    pub fn is_terminal(self) -> bool {
        !matches!(self, JobPhase::Pending | JobPhase::Running)
    }
}

/// Selects jobs for an operator, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobFilter {
    /// Only jobs of this queue, `HOST/PREFIX/`.
    #[n(0)]
    pub queue: Option<String>,
    /// Only jobs in this phase.
    #[n(1)]
    pub phase: Option<JobPhase>,
    /// Only jobs after this one.
    #[n(2)]
    pub after: Option<JobId>,
    /// Maximum number of jobs.
    #[n(3)]
    pub limit: u32,
}

/// A request to a coordinator.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorRequest {
    /// Accepts a job.
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
    /// Counts the jobs of a queue that have not ended.
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
        /// The version that it builds on.
        #[n(0)]
        base: u64,
        /// As the operator sent it.
        #[cbor(n(2), with = "minicbor::bytes")]
        body: Vec<u8>,
    },
    /// Returns the newest configuration.
    #[n(6)]
    DescribeConfiguration,
    /// Describes the state of the cluster, for operators.
    #[n(7)]
    Describe,
    /// Explains the state of a job, for operators.
    #[n(8)]
    Explain {
        /// The job.
        #[n(0)]
        job: JobId,
    },
    /// Lists jobs as this coordinator has them, for operators.
    #[n(9)]
    ListJobs(#[n(0)] JobFilter),
    /// Fetches a chunk of the change to the newest configuration.
    #[n(10)]
    FetchConfiguration(#[n(0)] ConfigurationFetch),
}

/// The response to a [`CoordinatorRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorResponse {
    /// The job, or its cancellation, is committed.
    #[n(0)]
    Accepted,
    /// The job was rejected and won't be accepted by this request: there is no capacity for it now.
    #[n(1)]
    NoCapacity,
    /// This coordinator can't serve the request and has done nothing; another one may.
    #[n(2)]
    NotServing,
    /// It isn't known whether the request took effect or will.
    #[n(3)]
    Unknown,
    /// There is no such job.
    #[n(4)]
    NoSuchJob,
    /// The phase of a job.
    #[n(5)]
    Phase(#[n(0)] JobPhase),
    /// A number of jobs.
    #[n(6)]
    Count(#[n(0)] u64),
    /// The feed.
    #[n(7)]
    Feed(#[n(0)] Box<Feed>),
    /// The configuration was accepted, now or earlier.
    #[n(8)]
    ConfigurationAccepted,
    /// Another version is current.
    #[n(9)]
    ConfigurationConflict,
    /// The version isn't above the current one.
    #[n(10)]
    ConfigurationStale,
    /// The newest configuration; empty: there is none yet.
    #[n(11)]
    Configuration(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// A description for operators, as JSON.
    #[n(12)]
    Description(#[n(0)] String),
    /// Another coordinator schedules the job's service; its address.
    #[n(13)]
    Redirect(#[n(0)] u32),
    /// A chunk of a configuration.
    #[n(14)]
    ConfigurationChunk(#[n(0)] Box<ConfigurationChunk>),
    /// The configuration is invalid; the text names its first fault.
    #[n(15)]
    ConfigurationInvalid(#[n(0)] String),
}
