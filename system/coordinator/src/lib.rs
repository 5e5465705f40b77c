//! A coordinator as a state machine without I/O: a replica of the state, the roles that it holds, and the requests
//! that it answers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod coordinator;
mod counters;
mod describe;
mod feeds;
mod job_list;
mod lapse;
mod machine;
mod outputs;
mod platform;
mod proposals;
mod reads;
mod requests;
mod roles;
mod settings;
mod steps;
mod under_way;

pub use coordinator::Coordinator;
pub use counters::Counters;
pub use describe::{ClusterDescription, RoleDescription, SchedulerDescription};
pub use job_list::{JobLine, JobList};
pub use machine::{take_snapshot, Machine};
pub use outputs::{Output, PlatformReply, RequestId};
pub use settings::CoordinatorSettings;
