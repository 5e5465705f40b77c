//! The clients' side: takes requests whole, hands them to the driver and writes the one final answer.
mod accepting;
mod answers;
mod connection;
mod framing;
mod idle;
mod lingering;
mod phase;
mod requests;
mod slots;
mod stream;

pub(crate) use accepting::Server;
pub(crate) use phase::Phase;
