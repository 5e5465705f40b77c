//! A small cluster on loopback, for demonstrating and measuring the scheduler.
//!
//! It runs the scheduler's real processes, with a stub platform and emulated workers that implement the protocol
//! specification independently of the scheduler. It kills one coordinator and crashes one worker; the in-memory fleet
//! covers all other kinds of faults.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod cluster;
mod error;
mod http_server;
pub mod options;
mod platform;
mod report;
mod results;
pub mod scenario;
mod timeline;
mod usage;
pub mod work;
mod worker_body;
mod worker_server;

pub use error::DemoError;
