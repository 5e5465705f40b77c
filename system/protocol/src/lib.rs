//! Typed messages between the processes of the scheduler, and the commands of its replicated log.
//!
//! All types are plain data with a CBOR encoding (RFC 8949). Fields are encoded by number, so they may be renamed but
//! never renumbered. The crate contains no decision logic and does no I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod command;
mod disk;
mod entry;
mod feed;
mod hash;
mod ids;
mod job;
mod location;
mod numbers;
mod peer;
mod requests;
mod resources;
mod role;
mod run;
mod submission;
mod view;
mod workers;

pub use codec::{decode, encode, DecodeError};
pub use command::Command;
pub use disk::{DiskNote, DiskProgress, DiskReport, StaleDisk};
pub use entry::{Entry, LogPosition, ProposalId};
pub use feed::{ConfigurationChunk, ConfigurationFetch, Feed, FeedPoll, RoleHolder, TransferId};
pub use hash::fnv1a;
pub use ids::{JobId, Member, ReplicaId, RunId, TaskId};
pub use job::{JobSpec, JobSpecError, StepSpec, MAX_AMOUNT, MAX_SPEC_BYTES, MAX_TASKS_PER_JOB};
pub use location::{FailureDomainId, Location, MemberLocation};
pub use numbers::{Ballot, FencingToken, LogIndex, Millis, ViewNumber, WallMillis};
pub use peer::{AcceptedView, Envelope, Heartbeat, PeerMessage, PeerReport, Promise, WorkerList};
pub use requests::{CoordinatorRequest, CoordinatorResponse, JobFilter, JobPhase};
pub use resources::Resources;
pub use role::{Role, RoleToken};
pub use run::{CompletionKind, RunCompletion, RunStart};
pub use submission::Submission;
pub use view::{ChainRecord, View};
pub use workers::{Availability, WorkerEntry};
