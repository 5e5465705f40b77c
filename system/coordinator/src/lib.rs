//! A coordinator as a state machine without I/O: a replica of the state, the roles that it holds, and the requests
//! that it responds to.
//!
//! Inputs (messages, requests, replies, the time) go in by the methods of [`Coordinator`]; after each,
//! [`Coordinator::poll_outputs`] returns the effects. Consensus and the log are `magpiegap-control`'s, the rules of jobs
//! `magpiegap-jobs`'s, and placement `magpiegap-scheduler`'s; sockets, clocks and files are the program's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod coordinator;
mod counters;
mod describe;
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
mod steps;

pub use coordinator::Coordinator;
pub use counters::Counters;
pub use describe::{ClusterDescription, RoleDescription, SchedulerDescription};
pub use job_list::{JobList, JobRow};
pub use machine::{take_snapshot, Machine};
pub use outputs::{Output, PlatformReply, RequestId};
pub use settings::CoordinatorSettings;
