//! How configurations and news of the control plane reach agents and proxies.
//!
//! News are small and come by long polls. A configuration may be large: it travels as the difference to the version that
//! the receiver has, compressed, in parts that are asked for one after the other. A transfer that breaks off goes on
//! where it was, also at another sender. Nothing here reads a clock or does I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent;
mod change;
mod encoding;
mod patience;
mod places;
mod receiver;
mod source;

pub use agent::{Agent, AgentSettings, Call, CallFailure, CallId};
pub use change::ConfigurationChange;
pub use encoding::EncodingError;
pub use places::Places;
pub use receiver::{ConfigurationReceiver, Received};
pub use source::{ConfigurationSource, CHUNK_BYTES};
