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
mod peer;
mod requests;
mod view;
mod workers;

pub use codec::{decode, encode, DecodeError};
pub use command::{
    Command, EndKind, Entry, Fence, Position, ProposalId, Role, RunEnd, RunStart, Submission,
};
pub use feed::{ConfigurationFetch, ConfigurationPart, Feed, FeedPoll, RoleHolder, TransferId};
pub use hash::fnv1a;
pub use ids::{JobId, Member, Replica, RunId, TaskId};
pub use job::{JobSpec, JobSpecError, Resources, StepSpec, MAX_SPEC_BYTES, MAX_TASKS_PER_JOB};
pub use location::{Location, MemberLocation, PlaceId};
pub use peer::{Envelope, Heartbeat, PeerMessage, PeerReport, PlatformList, Promise};
pub use requests::{CoordinatorAnswer, CoordinatorRequest, JobFilter, JobPhase};
pub use view::{ChainRecord, View};
pub use workers::{Availability, WorkerEntry};

/// Milliseconds on the steady clock of one process, counted from its start.
pub type Millis = u64;

/// Milliseconds of the time of day, counted from 1970.
pub type WallMillis = u64;
