//! Experiment files: TOML with every key validated. Each error is one line that names file, line and key.
mod bounds;
mod build;
mod check;
mod expect;
mod fault;
mod fleet;
mod load;
mod read;
mod schema;
mod tier;
mod units;

pub use bounds::{Bounds, InShare, Trials};
pub use build::{merged, Build};
pub use expect::{Expect, Metric};
pub use fault::{Damage, Fault, FaultKind, Part, Role, Target};
pub use fleet::{Balancer, Discovery, Fleet, Net};
pub use load::{Class, Clients, Effect, Group, Tenant};
pub use read::{load, parse, ExperimentError};
pub use schema::Experiment;
pub use tier::{Connections, Kind, OverloadModel, Report, Tier};
pub use units::{Millis, Range, Span};
