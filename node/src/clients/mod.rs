//! The clients' side: takes requests whole, hands them to the driver and writes the one final answer.
mod accepting;
mod answers;
mod connection;
mod idle;
mod phase;
mod requests;
mod slots;

pub use accepting::Server;
pub use phase::Phase;
