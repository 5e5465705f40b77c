//! Commands of the replicated log. The jobs crate applies them and defines their effects.
use crate::{FencingToken, JobId, ReplicaId, Role, RunCompletion, RunStart, Submission};
use minicbor::{Decode, Encode};

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Changes nothing; its commit proves that the view is still current.
    #[n(0)]
    Noop,
    /// Replaces the configuration if `base` is the current version.
    #[n(1)]
    ReplaceConfiguration {
        /// The version that this configuration replaces.
        #[n(0)]
        base: u64,
        /// Version of the new configuration.
        #[n(1)]
        version: u64,
        /// The configuration as the operator sent it.
        #[cbor(n(2), with = "minicbor::bytes")]
        body: Vec<u8>,
        /// The encoded difference from version `base`, which saves each replica from parsing the complete body; empty
        /// if it is not known.
        #[cbor(n(3), with = "minicbor::bytes", default)]
        change: Vec<u8>,
    },
    /// Claims a vacant role if its fencing token is still `expected`.
    #[n(2)]
    ClaimRole {
        /// The role.
        #[n(0)]
        role: Role,
        /// The coordinator that claims the role.
        #[n(1)]
        holder: ReplicaId,
        /// The role's fencing token before the claim.
        #[n(2)]
        expected: FencingToken,
    },
    /// Accepts a job and starts its first tasks.
    #[n(3)]
    SubmitJob {
        /// The job.
        #[n(0)]
        submission: Box<Submission>,
        /// The first runs; ignored if the job already exists.
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
    /// Records the completions that a worker has reported.
    #[n(6)]
    RecordCompletions {
        /// The worker's incarnation.
        #[n(0)]
        incarnation: String,
        /// Number of the last reported completion, to be acknowledged to the worker.
        #[n(1)]
        acknowledged_completion: u64,
        /// The completions, ordered by number.
        #[n(2)]
        completions: Vec<RunCompletion>,
    },
    /// Marks runs as lost that never started or ended without a completion.
    #[n(7)]
    MarkRunsLost {
        /// The runs.
        #[n(0)]
        runs: Vec<RunStart>,
    },
    /// Marks all runs of a worker incarnation as lost: it has ended, or its lease has certainly expired.
    #[n(8)]
    MarkIncarnationLost {
        /// The worker's incarnation.
        #[n(0)]
        incarnation: String,
        /// Whether the incarnation itself has ended; otherwise only its lease has expired.
        #[n(1)]
        ended: bool,
    },
    /// Starts an occurrence of a repeated job.
    #[n(9)]
    OpenOccurrence {
        /// The job.
        #[n(0)]
        job: JobId,
        /// Number of the occurrence, starting at zero.
        #[n(1)]
        occurrence: u32,
    },
    /// Removes jobs whose state no longer has to be retained.
    #[n(10)]
    RemoveJobs {
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
            Command::StartRuns { runs } | Command::MarkRunsLost { runs } => RUN_BYTES * runs.len(),
            Command::RecordCompletions { completions, .. } => RUN_BYTES * completions.len(),
            _ => 0,
        }
    }
}
