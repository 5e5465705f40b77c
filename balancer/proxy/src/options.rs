//! What an operator may set, beyond what the platform's configuration says: from a file, then the environment, then
//! flags. Each source is read completely or not at all, and everything that is wrong is one line with file, line and key.
mod error;
mod loaded;
mod merged;
mod read;
mod source;
mod types;

pub use error::OptionsError;
pub use loaded::Loaded;
#[doc(hidden)]
pub use read::load;
pub use read::{Sources, FILE_VARIABLE, OLD_FILE_VARIABLE};
pub use source::Source;
pub use types::{
    Format, InvalidOption, Level, LogOptions, MetricsOptions, Options, PeerOptions,
    RecoveryOptions, LOG_TARGETS,
};
