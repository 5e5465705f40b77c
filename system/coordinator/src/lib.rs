//! Coordinator implemented as a state machine without I/O. It combines a replica of the state, the singleton roles held
//! by this process, and request handling.
//!
//! Inputs (messages, requests, replies, timeouts) are passed to methods of [`Coordinator`]. After each input,
//! [`Coordinator::poll_outputs`] returns the effects to perform. `magpiegap-control` implements consensus and the log,
//! `magpiegap-jobs` the replicated state and `magpiegap-scheduler` placement. The executable provides sockets, clocks
//! and files.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cancellation;
mod coordinator;
mod counters;
mod describe;
mod event_handlers;
mod feeds;
mod job_list;
mod job_query;
mod machine;
mod operation;
mod outage;
mod outputs;
mod pending_poll;
mod platform;
mod platform_reader;
mod proposal;
mod proposals;
mod reads;
mod requests;
mod roles;
mod settings;

pub use coordinator::Coordinator;
pub use counters::Counters;
pub use describe::{ClusterDescription, RoleDescription, SchedulerDescription};
pub use job_list::{JobList, JobRow};
pub use machine::{take_snapshot, Machine};
pub use outputs::{Output, PlatformReply, RequestId};
pub use settings::CoordinatorSettings;
