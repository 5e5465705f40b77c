//! An emulated upstream on sockets: a [`Machine`](crate::machine::Machine) behind a port for each balancer that may
//! send to it.
mod attempt;
mod emulated;
mod load_report;
mod ports;
mod respond;
mod serve;

pub use emulated::Upstream;
