//! The watch that keeps the list of upstreams fresh.
//!
//! [`watch`] decides when discovery is called, on injected time and without I/O; [`call`] is one connection and one call
//! on it; [`runner`] carries out the watch's actions.
mod call;
mod runner;
mod watch;

pub(crate) use runner::Discovery;
pub(crate) use watch::Mode;
