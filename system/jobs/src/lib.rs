//! Replicated state machine of the scheduler: configuration, roles, jobs, runs and workers.
//!
//! The state machine is deterministic (Schneider, 1990): every coordinator applies the same committed entries in the
//! same order and therefore reaches the same state. The crate does not read clocks and does no I/O. Placement decisions
//! are made by the scheduler crate; this crate only records them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod apply;
mod apply_configuration;
mod apply_jobs;
mod apply_runs;
mod change;
mod configuration;
mod configuration_error;
mod configuration_parser;
mod consistency;
mod job;
mod json_depth;
mod json_fields;
mod readiness;
mod route;
mod route_table;
mod service_jobs;
mod shared;
mod snapshot;
mod state;
mod transition;

pub use change::{Applied, Change, Outcome};
pub use configuration::{Configuration, Limits, Service};
pub use configuration_error::ConfigurationError;
pub use consistency::Inconsistency;
pub use job::{ActiveRun, GangFailures, Job, OccurrenceState, StepState, TaskState};
pub use readiness::{startable_units, StartableUnit};
pub use route::Route;
pub use route_table::RouteTable;
pub use service_jobs::ServiceJobs;
pub use shared::Shared;
pub use snapshot::{JobsSnapshot, SnapshotBuilder};
pub use state::{ConfigurationState, RoleState, State, WorkerRecord};
