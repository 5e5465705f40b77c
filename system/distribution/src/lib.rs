//! How the feed of the control plane and its configurations reach agents and proxies.
//!
//! The feed is small and comes by long polls. A configuration may be large: it travels as the difference to the version
//! that the receiver has, compressed, in chunks that are requested one after the other. A transfer that is interrupted
//! resumes at its offset, also at another source. Nothing here reads a clock or does I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adaptive_timeout;
mod agent;
mod call;
mod change;
mod configuration_fetcher;
mod encoding;
mod feed_link;
mod link_assignments;
mod receiver;
mod source;

pub use agent::{Agent, AgentSettings};
pub use call::{Call, CallFailure, CallId};
pub use change::ConfigurationChange;
pub use encoding::EncodingError;
pub use link_assignments::LinkAssignments;
pub use receiver::{ChangeError, ConfigurationReceiver, Received};
pub use source::{ConfigurationSource, CHUNK_BYTES};
