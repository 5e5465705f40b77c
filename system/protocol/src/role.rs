//! Singleton roles of coordinators, and the tokens that fence them off.
//!
//! Who holds a role is decided by the replicated log.
use crate::FencingToken;
use minicbor::{Decode, Encode};

/// A singleton role: at most one coordinator holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Reads the platform's list of workers, for all coordinators.
    #[n(0)]
    PlatformReader,
    /// Places and starts the tasks of one service.
    #[n(1)]
    Scheduler(#[n(0)] String),
}

/// A role with the fencing token of one holder. An entry whose token is not the current one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleToken {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// The fencing token of its holder.
    #[n(1)]
    pub token: FencingToken,
}
