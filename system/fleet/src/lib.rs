//! An in-memory fleet of coordinators, workers and clients, with fault injection from a seed, for tests.
//!
//! The state machines that the programs run are run here on simulated time, network, disks and clocks. Nothing sleeps,
//! and the same seed gives the same run each time. Invariants are checked at every step. It is no model of the
//! program's sockets, files or threads: those are exercised by the demo.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active_faults;
mod client;
mod disk;
mod edge;
mod events;
mod faults;
mod fleet;
mod node;
mod oracle;
mod pending_requests;
mod worker;

pub use faults::{Fault, WorkerPartitionScope};
pub use fleet::{Fleet, FleetSettings};
pub use oracle::Violation;
pub use worker::{RunCompletion, RunEvent, Work, Worker, WorkerSettings};
