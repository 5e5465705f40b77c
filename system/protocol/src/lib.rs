//! Typed messages between the processes of the scheduler, and the commands of its replicated log.
//!
//! Everything here is plain data with a `minicbor` encoding; nothing decides, and nothing does I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod command;
mod feed;
mod hash;
mod ids;
mod job;
mod location;
mod numbers;
mod peer;
mod requests;
mod view;
mod workers;

pub use codec::{decode, encode, DecodeError};
pub use command::{
    Command, CompletionKind, Entry, LogPosition, ProposalId, Role, RoleToken, RunCompletion,
    RunStart, Submission,
};
pub use feed::{ConfigurationChunk, ConfigurationFetch, Feed, FeedPoll, RoleHolder, TransferId};
pub use hash::fnv1a;
pub use ids::{JobId, Member, ReplicaId, RunId, TaskId};
pub use job::{JobSpec, JobSpecError, Resources, StepSpec, MAX_SPEC_BYTES, MAX_TASKS_PER_JOB};
pub use location::{FailureDomainId, Location, MemberLocation};
pub use numbers::{Ballot, FencingToken, LogIndex, Millis, ViewNumber, WallMillis};
pub use peer::{AcceptedView, Envelope, Heartbeat, PeerMessage, PeerReport, PlatformList, Promise};
pub use requests::{CoordinatorRequest, CoordinatorResponse, JobFilter, JobPhase};
pub use view::{ChainRecord, View};
pub use workers::{Availability, WorkerEntry};
