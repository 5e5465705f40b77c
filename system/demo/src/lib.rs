//! A small cluster on loopback, to see the scheduler at work and to measure it.
//!
//! It runs the scheduler's real processes, with stand-ins for the platform and the workers that are written from the
//! pages of the protocol. It injects one kill of a coordinator and one crash of a worker; faults of every kind are the
//! in-memory fleet's.
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
