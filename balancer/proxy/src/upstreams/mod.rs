//! Upstreams: their connections, the attempts on these, and the load that they report.
mod attempt;
mod connection;
mod load_report;
mod pool;
mod request_write;

pub(crate) use attempt::{AttemptTimes, Transport};
pub(crate) use pool::Upstream;
