//! What a seed makes of an experiment: the machines, every request, every fault. Nothing here looks at a clock or
//! at the machine it runs on, so that one seed gives the same draw anywhere.
//!
//! Each part draws from a stream of its own: another fault, or one more upstream, leaves the requests as they were.
mod calls;
mod error;
mod faults;
mod machines;
mod parts;
mod planner;
mod requests;
mod streams;

pub use calls::Calls;
pub use error::PlanError;
pub use parts::{Arrival, Balancer, OverloadModel, Party, Plan, PlannedFault, Upstream};
pub use planner::plan;
