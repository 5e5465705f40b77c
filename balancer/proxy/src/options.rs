//! Operator options, in addition to the platform's configuration: from a file, then the environment, then flags. Each
//! source is applied completely or not at all, and an error is one line with the source, the line and the key.
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
pub use read::{Sources, DEPRECATED_FILE_VARIABLE, FILE_VARIABLE};
pub use source::Source;
pub use types::{
    Format, InvalidOption, Level, LogOptions, MetricsOptions, Options, PeerOptions,
    RecoveryOptions, LOG_TARGETS,
};
