//! A small cluster on loopback, to see the scheduler at work and to measure it: the scheduler's real processes, with
//! stand-ins for the platform's list and the workers, written from the pages of the protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod cluster;
mod error;
mod http_server;
pub mod options;
mod platform;
mod report;
pub mod story;
mod usage;
pub mod work;
mod worker_server;
