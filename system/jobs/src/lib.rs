//! The replicated state of the scheduler: configuration, roles, jobs and what runs where.
//!
//! Each coordinator applies the same committed entries in the same order and so has the same state. Nothing here
//! reads a clock or does I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod apply;
mod apply_runs;
mod change;
mod configuration;
mod consistency;

mod job;
mod readiness;
mod route;
mod route_table;
mod shared;
mod snapshot;
mod state;

pub use change::{Applied, Change, Outcome};
pub use configuration::{Configuration, ConfigurationError, Limits, Service};
pub use consistency::Inconsistency;
pub use job::{ActiveRun, Job, OccurrenceState, StepState, TaskState};
pub use readiness::{startable, Startable};
pub use route::Route;
pub use route_table::RouteTable;
pub use shared::Shared;
pub use snapshot::{JobsSnapshot, SnapshotBuilder};
pub use state::{ConfigurationState, RoleState, State, WorkerRecord};
