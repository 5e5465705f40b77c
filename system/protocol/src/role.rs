//! Singleton roles of coordinators, and their fencing tokens.
//!
//! The replicated log determines the holder of each role.
use crate::FencingToken;
use minicbor::{Decode, Encode};

/// A singleton role, held by at most one coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Reads the platform's list of workers on behalf of all coordinators.
    #[n(0)]
    PlatformReader,
    /// Places and starts the tasks of one service.
    #[n(1)]
    Scheduler(#[n(0)] String),
}

/// A role and the fencing token of one holder. An entry with an outdated token has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleToken {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// The holder's fencing token.
    #[n(1)]
    pub token: FencingToken,
}
