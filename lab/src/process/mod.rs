//! A balancer as a process: its configuration, its start, its signals, what it uses, its end.
//!
//! `child` owns the process; `config` and `files` what it reads. Which fault ends it is the faults' to say.
mod child;
mod config;
mod error;
mod files;
mod usage;

pub use child::Process;
pub use error::ProcessError;
pub use files::LaunchSpec;
