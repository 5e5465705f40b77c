//! Distribution of the control plane's feed and configurations to agents and proxies.
//!
//! The feed is small and obtained by long polls. A configuration may be large: it is transferred as a compressed
//! difference from the receiver's version, in chunks that are requested one by one. An interrupted transfer resumes at
//! its offset, from the same or another source. The crate reads no clock and does no I/O.
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
pub use receiver::{ChangeError, ChunkOutcome, ConfigurationReceiver};
pub use source::{ConfigurationSource, CHUNK_BYTES};
