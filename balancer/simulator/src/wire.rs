//! Codec of the simulator's wire format: decodes batches and encodes replies. Every read is bounds-checked; decoding
//! errors name the frame and the record.
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
