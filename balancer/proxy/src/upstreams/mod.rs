//! Upstreams: connections, attempts and load reports.
mod attempt;
mod connection;
mod load_report;
mod pool;
mod request_write;

pub(crate) use attempt::{AttemptTimes, Transport};
pub(crate) use pool::Upstream;
