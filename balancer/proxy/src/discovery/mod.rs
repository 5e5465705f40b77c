//! The watch that keeps the list of upstreams fresh.
//!
//! [`watch`] decides when discovery is asked, on time that is handed to it and without I/O; [`call`] is one connection
//! and one call on it; [`runner`] carries out what the watch wants.
mod call;
mod runner;
mod watch;

pub(crate) use runner::Discovery;
