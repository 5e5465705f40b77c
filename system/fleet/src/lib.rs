//! An in-memory fleet of coordinators, workers and clients, with fault injection from a seed, for tests.
//!
//! Runs the production state machines on a simulated network, simulated disks and simulated clocks. Nothing sleeps, and
//! a run is reproducible from its seed. Invariants are checked at every step. Sockets, files and threads are not
//! simulated; the demo exercises those.
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

pub use client::ServiceListing;
pub use faults::{Fault, WorkerPartitionScope};
pub use fleet::{Fleet, FleetSettings};
pub use oracle::Violation;
pub use worker::{RunCompletion, RunEvent, Work, Worker, WorkerSettings};
