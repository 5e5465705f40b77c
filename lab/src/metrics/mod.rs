//! Metrics of a run.
mod expected;
mod played;
mod recovery;
mod requests;
mod traffic;

pub use expected::{missed, value_of};
pub use played::{mean_and_spread, name_of, Case, Lateness, Played, ResourceUsage};
pub use recovery::{recovery, Recovery};
pub use requests::{request_metrics, RequestMetrics};
pub use traffic::{jain, traffic, Datagrams, Tier, Traffic};
