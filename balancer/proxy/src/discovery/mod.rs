//! The watch that keeps the list of upstreams up to date.
//!
//! [`watch`] decides when discovery is called; it has no I/O and gets the time from its caller. [`call`] is one
//! connection and one call on it. [`runner`] carries out the actions of the watch.
mod call;
mod runner;
mod watch;

pub(crate) use runner::Discovery;
pub(crate) use watch::Mode;
