//! What proxies and the operator's interface ask of a coordinator.
use crate::{ConfigurationChunk, ConfigurationFetch, Feed, FeedPoll, JobId, Submission};
use minicbor::{Decode, Encode};

/// A job's state as its client sees it.
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
    /// A task has failed too often.
    #[n(3)]
    Failed,
    /// Its client cancelled it.
    #[n(4)]
    Cancelled,
}

impl JobPhase {
    /// The word that clients are shown.
    pub fn word(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Succeeded => "succeeded",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        }
    }

    /// The phase that clients are shown by this word.
    pub fn parse(word: &str) -> Option<JobPhase> {
        let phases = [
            JobPhase::Pending,
            JobPhase::Running,
            JobPhase::Succeeded,
            JobPhase::Failed,
            JobPhase::Cancelled,
        ];
        phases.into_iter().find(|phase| phase.word() == word)
    }

    /// Whether nothing of the job is to run any more.
    pub fn is_terminal(self) -> bool {
        !matches!(self, JobPhase::Pending | JobPhase::Running)
    }
}

/// Which jobs an operator wants to see, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobFilter {
    /// Of this queue only, `HOST/PREFIX/`.
    #[n(0)]
    pub queue: Option<String>,
    /// In this phase only.
    #[n(1)]
    pub phase: Option<JobPhase>,
    /// After this one only.
    #[n(2)]
    pub after: Option<JobId>,
    /// At most so many.
    #[n(3)]
    pub limit: u32,
}

/// A request to a coordinator.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorRequest {
    /// Accept a job.
    #[n(0)]
    Submit(#[n(0)] Box<Submission>),
    /// A job's state.
    #[n(1)]
    Status {
        /// The queue.
        #[n(0)]
        queue: String,
        /// The job.
        #[n(1)]
        job: JobId,
    },
    /// Cancel a job.
    #[n(2)]
    Cancel {
        /// The queue.
        #[n(0)]
        queue: String,
        /// The job.
        #[n(1)]
        job: JobId,
    },
    /// How many jobs of a queue have not ended.
    #[n(3)]
    Count {
        /// The queue.
        #[n(0)]
        queue: String,
    },
    /// What proxies need to know.
    #[n(4)]
    Poll(#[n(0)] FeedPoll),
    /// Take a configuration.
    #[n(5)]
    ReplaceConfiguration {
        /// The version that it builds on.
        #[n(0)]
        base: u64,
        /// As the operator sent it.
        #[cbor(n(2), with = "minicbor::bytes")]
        body: Vec<u8>,
    },
    /// The newest configuration.
    #[n(6)]
    DescribeConfiguration,
    /// The state of the cluster, for operators.
    #[n(7)]
    Describe,
    /// What there is to say of a job, for operators.
    #[n(8)]
    Explain {
        /// The job.
        #[n(0)]
        job: JobId,
    },
    /// Jobs as this coordinator has them, for operators.
    #[n(9)]
    ListJobs(#[n(0)] JobFilter),
    /// A part of what leads to the newest configuration.
    #[n(10)]
    FetchConfiguration(#[n(0)] ConfigurationFetch),
}

/// The answer to a [`CoordinatorRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorResponse {
    /// The job, or the cancelling, is kept.
    #[n(0)]
    Accepted,
    /// The job is not kept and never will be by this request: there is no room for it now.
    #[n(1)]
    Full,
    /// This coordinator can't serve the request and has done nothing; another one may.
    #[n(2)]
    NotServing,
    /// It isn't known whether the request took effect or will.
    #[n(3)]
    Unknown,
    /// There is no such job.
    #[n(4)]
    NoSuchJob,
    /// A job's state.
    #[n(5)]
    Phase(#[n(0)] JobPhase),
    /// A count.
    #[n(6)]
    Count(#[n(0)] u64),
    /// The feed.
    #[n(7)]
    Feed(#[n(0)] Box<Feed>),
    /// The configuration was taken, now or earlier.
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
    Elsewhere(#[n(0)] u32),
    /// A part of a configuration.
    #[n(14)]
    ConfigurationChunk(#[n(0)] Box<ConfigurationChunk>),
    /// The configuration is invalid: its first fault.
    #[n(15)]
    ConfigurationInvalid(#[n(0)] String),
}
