//! Client connections: receives complete requests, forwards them to the driver and writes the final response of each.
mod connection;
mod framing;
mod idle;
mod linger;
mod phase;
mod requests;
mod responses;
mod server;
mod slots;
mod stream;

pub(crate) use phase::Phase;
pub(crate) use server::Server;
