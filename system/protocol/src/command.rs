//! Commands of the replicated log. What each one changes is decided by the jobs crate, which applies them.
use crate::{FencingToken, JobId, ReplicaId, Role, RunCompletion, RunStart, Submission};
use minicbor::{Decode, Encode};

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Changes nothing; its commit proves that the view is still current.
    #[n(0)]
    Noop,
    /// Replaces the configuration, if `base` is its current version.
    #[n(1)]
    ReplaceConfiguration {
        /// The version that it builds on.
        #[n(0)]
        base: u64,
        /// Its own version.
        #[n(1)]
        version: u64,
        /// The configuration as the operator sent it.
        #[cbor(n(2), with = "minicbor::bytes")]
        body: Vec<u8>,
        /// The encoded difference to the version that it builds on; empty: it isn't known. It saves each replica the
        /// parsing of the complete body.
        #[cbor(n(3), with = "minicbor::bytes", default)]
        change: Vec<u8>,
    },
    /// Claims a vacant role, if its token is still `expected`.
    #[n(2)]
    ClaimRole {
        /// The role.
        #[n(0)]
        role: Role,
        /// The coordinator that claims it.
        #[n(1)]
        holder: ReplicaId,
        /// The role's token before the claim.
        #[n(2)]
        expected: FencingToken,
    },
    /// Accepts a job and starts its first tasks.
    #[n(3)]
    SubmitJob {
        /// The job.
        #[n(0)]
        submission: Box<Submission>,
        /// The first runs; ignored where the job exists already.
        #[n(1)]
        runs: Vec<RunStart>,
    },
    /// Cancels a job.
    #[n(4)]
    CancelJob {
        /// The job.
        #[n(0)]
        job: JobId,
    },
    /// Records the decision to start runs.
    #[n(5)]
    StartRuns {
        /// The runs.
        #[n(0)]
        runs: Vec<RunStart>,
    },
    /// Records the completions that a worker has listed.
    #[n(6)]
    RecordCompletions {
        /// The worker's incarnation.
        #[n(0)]
        incarnation: String,
        /// Number of the last completion in the list.
        #[n(1)]
        acknowledged_completion: u64,
        /// The completions, in the order of their numbers.
        #[n(2)]
        completions: Vec<RunCompletion>,
    },
    /// Closes runs that never began, or ended without a completion.
    #[n(7)]
    LoseRuns {
        /// The runs.
        #[n(0)]
        runs: Vec<RunStart>,
    },
    /// Closes all runs of a worker whose incarnation has ended, or whose lease has certainly expired.
    #[n(8)]
    LoseIncarnation {
        /// The worker's incarnation.
        #[n(0)]
        incarnation: String,
        /// The incarnation has ended, not just its lease.
        #[n(1)]
        ended: bool,
    },
    /// Opens an occurrence of a repeated job.
    #[n(9)]
    OpenOccurrence {
        /// The job.
        #[n(0)]
        job: JobId,
        /// Number of the occurrence, from zero.
        #[n(1)]
        occurrence: u32,
    },
    /// Removes jobs whose state need not be shown any more.
    #[n(10)]
    ForgetJobs {
        /// The jobs.
        #[n(0)]
        jobs: Vec<JobId>,
    },
}

impl Command {
    /// Estimated size in bytes, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const RUN_BYTES: usize = 80;
        match self {
            Command::ReplaceConfiguration { body, change, .. } => body.len() + change.len(),
            Command::SubmitJob { submission, runs } => {
                submission.estimated_bytes() + RUN_BYTES * runs.len()
            }
            Command::StartRuns { runs } | Command::LoseRuns { runs } => RUN_BYTES * runs.len(),
            Command::RecordCompletions { completions, .. } => RUN_BYTES * completions.len(),
            _ => 0,
        }
    }
}
