//! The frame codec: batches in, replies out. Every read is bounds-checked; errors say what and where.
mod batch;
mod bytes;
mod error;
mod frame;
mod record;
mod reply;

pub use batch::{decode, Batch};
pub use error::{HeaderError, RecordError, UpdateError, WireError};
pub use frame::{read_frame, MAX_FRAME};
pub use record::{endpoint_update, Record, Table};
pub use reply::Reply;
