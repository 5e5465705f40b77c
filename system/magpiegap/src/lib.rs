//! The processes of the scheduler: network, clock, file and signal handling around the state machines.
//!
//! `proxy`, `agent` and `coordinator` each assemble one process. The other modules hold shared code and the operator
//! commands. All scheduling and consensus decisions are made by the state machines in the other crates.
#![forbid(unsafe_code)]

mod agent;
mod clock;
mod command_line;
mod commands;
mod coordinator;
pub mod endpoint;
mod error;
pub mod json_number;
mod logging;
mod operator;
mod operator_call;
mod proxy;
mod serving;
mod settings;
mod settings_check;
mod signals;
mod state_on_disk;
pub mod tables;

pub use agent::link;
pub use command_line::{command_line, parser, CommandLine};
pub use commands::run;
pub use coordinator::{metrics, worker_connections};
pub use error::ProgramError;
pub use operator::check_configuration;
pub use operator_call::OperatorCallError;
pub use proxy::{admission, cluster_watch, job_body, pause_detector};
pub use settings::{FieldFault, NodeSettings, SettingsError};
pub use settings_check::SettingsReport;
pub use state_on_disk::StateOnDisk;
