//! A balancer as a process: its configuration, start, signals, resource usage and exit.
//!
//! `child` owns the process; `config` and `files` write its input. The module `faults` decides when a process is ended.
mod child;
mod config;
mod error;
mod files;
mod usage;

pub use child::Process;
pub use error::ProcessError;
pub use files::LaunchSpec;
