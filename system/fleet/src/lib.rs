//! An in-memory fleet of coordinators, workers and clients, with seeded faults, for tests.
//!
//! The state machines that the programs run are run here on simulated time, network, disks and clocks. Nothing
//! sleeps, and a seed gives the same story each time. What must never happen is checked at every step.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod asking;
mod client;
mod delivery;
mod disk;
mod edge;
mod edges;
mod events;
mod faults;
mod fleet;
mod gangs;
mod jobs;
mod machines;
mod node;
mod oracle;
mod orders;
mod told;
mod watching;
mod worker;

pub use faults::Fault;
pub use fleet::{Fleet, FleetSettings};
pub use oracle::Violation;
pub use worker::{Deed, NotedEnd, Work, Worker};
