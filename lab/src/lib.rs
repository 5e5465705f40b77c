//! balancer-lab: runs a fleet of real balancers between emulated upstreams, discovery and clients, injects faults,
//! checks the rules with an external oracle, and writes a report. See `docs/lab.md`.
//!
//! [`experiment`] reads experiment files, [`draw`] draws a plan from an experiment and a seed, [`run`] runs the plan,
//! [`metrics`] and [`report`] present the results. [`machine`] and [`oracle`] are sans-I/O; the other modules connect
//! them to sockets. [`capacity`] is independent: it measures the resource usage of one balancer at growing sizes, for
//! `docs/CAPACITY.md`.
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
