//! Draws a plan from an experiment and a seed: the machines, all requests and all faults. Nothing here depends on the
//! clock or on the host, so that a seed gives the same plan everywhere.
//!
//! Each part has its own random stream: adding a fault or an upstream does not change the requests.
mod draws;
mod error;
mod faults;
mod machines;
mod parts;
mod planner;
mod requests;
mod streams;

pub use draws::Draws;
pub use error::PlanError;
pub use parts::{Arrival, Balancer, OverloadModel, Party, Plan, PlannedFault, Upstream};
pub use planner::plan;
