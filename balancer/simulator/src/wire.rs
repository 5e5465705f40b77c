//! The frame codec: batches in, replies out. Every read is bounds-checked; errors say what and where.
mod batch;
mod bytes;
mod error;
mod frame;
mod record;
mod reply;

pub use batch::{decode, Batch};
pub use error::WireError;
pub use frame::{read_frame, MAX_FRAME};
pub use record::{membership, Record, Table};
pub use reply::Reply;
