//! What an operator may set, beyond what the platform's configuration says: from a file, then the environment, then
//! flags. Each source is read whole or not at all, and everything that is wrong is one line with file, line and key.
mod loaded;
mod merged;
mod read;
mod source;
mod types;

pub use loaded::Loaded;
#[doc(hidden)]
pub use read::load;
pub use read::{Sources, FILE, OLD_FILE};
pub use source::Source;
pub use types::{Format, Level, Log, Options, Peers, Recovery, PARTS};
