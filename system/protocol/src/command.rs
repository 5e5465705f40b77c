//! Commands of the replicated log.
use crate::{
    FencingToken, JobId, JobSpec, LogIndex, ReplicaId, RunId, TaskId, ViewNumber, WallMillis,
};
use minicbor::{Decode, Encode};

/// A role that at most one coordinator holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Reads the platform's list of workers for all.
    #[n(0)]
    PlatformReader,
    /// Places and starts the tasks of one service.
    #[n(1)]
    Scheduler(#[n(0)] String),
}

/// Proof that its writer held a role: commands with a token below the role's current one are void.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleToken {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// The fencing token that came with it.
    #[n(1)]
    pub token: FencingToken,
}

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// The view in which the entry was written.
    #[n(0)]
    pub view: ViewNumber,
    /// Counts the entries, from one.
    #[n(1)]
    pub index: LogIndex,
}

/// Names a proposal, so that whoever made it learns what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalId {
    /// Who proposed.
    #[n(0)]
    pub origin: ReplicaId,
    /// Counts the proposals of this process.
    #[n(1)]
    pub sequence: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Entry {
    /// Its place.
    #[n(0)]
    pub position: LogPosition,
    /// Who proposed it.
    #[n(1)]
    pub proposal: ProposalId,
    /// The role in which it was proposed.
    #[n(2)]
    pub role_token: Option<RoleToken>,
    /// What it does.
    #[n(3)]
    pub command: Command,
    /// The time of day at which the head wrote it.
    #[n(4)]
    pub wall_ms: WallMillis,
}

impl Entry {
    /// About how many bytes it takes up, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const HEAD: usize = 80;
        HEAD + self.command.estimated_bytes()
    }
}

impl Command {
    /// About how many bytes it takes up, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const RUN: usize = 80;
        match self {
            Command::ReplaceConfiguration { body, change, .. } => body.len() + change.len(),
            Command::SubmitJob { submission, runs } => {
                submission.estimated_bytes() + RUN * runs.len()
            }
            Command::StartRuns { runs } | Command::LoseRuns { runs } => RUN * runs.len(),
            Command::RecordCompletions { ends, .. } => RUN * ends.len(),
            _ => 0,
        }
    }
}

impl Submission {
    /// About how many bytes it takes up, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const STEP: usize = 100;
        self.spec.spec.len() + STEP * self.spec.steps.len()
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum CompletionKind {
    /// It did its work.
    #[n(0)]
    Done,
    /// It failed, by its own fault or the worker's.
    #[n(1)]
    Failed,
    /// It was told to stop.
    #[n(2)]
    Stopped,
    /// Its hold ran out.
    #[n(3)]
    Lapsed,
    /// Another member of its gang ended.
    #[n(4)]
    Broken,
    /// It waited in vain for the other members of its gang.
    #[n(5)]
    Alone,
}

/// The end of a run, as its worker told it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunCompletion {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// The run.
    #[n(1)]
    pub run: RunId,
    /// How it ended.
    #[n(2)]
    pub kind: CompletionKind,
    /// The last checkpoint; empty: none.
    #[n(3)]
    pub checkpoint: String,
}

/// The decision to start a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunStart {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// The run.
    #[n(1)]
    pub run: RunId,
    /// The worker's life.
    #[n(2)]
    pub incarnation: String,
    /// The checkpoint that it goes on from; empty: none.
    #[n(3)]
    pub checkpoint: String,
}

/// A job that was accepted, with the queue's terms at that time.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Submission {
    /// The job's name.
    #[n(0)]
    pub job: JobId,
    /// The queue: host and path prefix of its route.
    #[n(1)]
    pub queue: String,
    /// The service whose workers run it.
    #[n(2)]
    pub service: String,
    /// Zero goes first.
    #[n(3)]
    pub priority: u32,
    /// A task fails the job when this many of its runs have failed.
    #[n(4)]
    pub max_attempts: u32,
    /// What the job is worth depends on this many times its longest chain of work ...
    #[n(5)]
    pub stretch: f64,
    /// ... and this many milliseconds.
    #[n(6)]
    pub target_latency_ms: u64,
    /// When it was submitted, by the time of day of the core.
    #[n(7)]
    pub submitted_ms: WallMillis,
    /// The job itself.
    #[n(8)]
    pub spec: JobSpec,
}

/// What an entry of the log does.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Nothing; its commit proves that the view still stands.
    #[n(0)]
    Noop,
    /// Takes a configuration, when `base` is the current version.
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
        /// What leads to it from the version that it builds on, encoded; empty: that isn't known. It saves each replica the
        /// reading of the whole body.
        #[cbor(n(3), with = "minicbor::bytes", default)]
        change: Vec<u8>,
    },
    /// Takes a vacant role, when its token is still `expected`.
    #[n(2)]
    ClaimRole {
        /// The role.
        #[n(0)]
        role: Role,
        /// Who takes it.
        #[n(1)]
        holder: ReplicaId,
        /// The role's token before.
        #[n(2)]
        expected: FencingToken,
    },
    /// Accepts a job and starts its first tasks.
    #[n(3)]
    SubmitJob {
        /// The job.
        #[n(0)]
        submission: Box<Submission>,
        /// The first runs; left out where the job was there before.
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
    /// Decides to start runs.
    #[n(5)]
    StartRuns {
        /// The runs.
        #[n(0)]
        runs: Vec<RunStart>,
    },
    /// Takes note of ends that a worker listed.
    #[n(6)]
    RecordCompletions {
        /// The worker's life.
        #[n(0)]
        incarnation: String,
        /// The number of the last end listed.
        #[n(1)]
        last_seen: u64,
        /// The ends.
        #[n(2)]
        ends: Vec<RunCompletion>,
    },
    /// Runs that never began, or are gone without an end that was listed.
    #[n(7)]
    LoseRuns {
        /// The runs.
        #[n(0)]
        runs: Vec<RunStart>,
    },
    /// A worker's life is over, or its hold has surely run out: all that it ran is gone.
    #[n(8)]
    LoseIncarnation {
        /// The worker's life.
        #[n(0)]
        incarnation: String,
        /// The life itself is over, not just its hold.
        #[n(1)]
        ended: bool,
    },
    /// A time of a repeated job has fallen due.
    #[n(9)]
    OpenOccurrence {
        /// The job.
        #[n(0)]
        job: JobId,
        /// Which time.
        #[n(1)]
        occurrence: u32,
    },
    /// Drops jobs whose state need not be shown any more.
    #[n(10)]
    ForgetJobs {
        /// The jobs.
        #[n(0)]
        jobs: Vec<JobId>,
    },
}
