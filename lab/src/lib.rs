//! balancer-lab: a fleet of real balancers between emulated upstreams, discovery and clients, with faults between
//! them, an oracle that checks the rules from outside, and a report. See `docs/lab.md`.
//!
//! [`experiment`] reads what is asked for, [`draw`] makes a plan of it from a seed, [`run`] plays the plan, [`metrics`]
//! and [`report`] say what came of it. [`machine`] and [`oracle`] are sans-I/O; the rest puts them on sockets.
//! [`capacity`] stands apart: it measures what one balancer costs at growing sizes, for `docs/CAPACITY.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod agent;
pub mod atomic_file;
pub mod audit;
pub mod call;
pub mod capacity;
pub mod clients;
pub mod clock;
pub mod convergence;
pub mod datagrams;
pub mod draw;
pub mod error;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod guard;
pub mod machine;
pub mod metrics;
pub mod net;
pub mod oracle;
pub mod pool;
pub mod process;
pub mod programs;
pub mod report;
pub mod results;
pub mod run;
pub mod stand_in;
pub mod state;
pub mod tally;
pub mod upstream;
pub mod world;
