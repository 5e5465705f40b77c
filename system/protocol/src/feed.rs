//! What agents and proxies learn from the control plane.
use crate::{Replica, Role};
use minicbor::{Decode, Encode};

/// A role and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleHolder {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// Its holder.
    #[n(1)]
    pub holder: Replica,
    /// The fencing token that came with it.
    #[n(2)]
    pub token: u64,
}

/// All that a proxy needs to know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Feed {
    /// Number of the view.
    #[n(0)]
    pub view: u64,
    /// Addresses of the coordinators, from head to tail.
    #[n(1)]
    pub chain: Vec<u32>,
    /// Who holds which role.
    #[n(2)]
    pub roles: Vec<RoleHolder>,
    /// Version of the configuration; zero: there is none yet.
    #[n(3)]
    pub configuration_version: u64,
    /// The configuration as the operator sent it.
    #[cbor(n(4), with = "minicbor::bytes")]
    pub configuration: Vec<u8>,
    /// Changes whenever anything above does.
    #[n(5)]
    pub revision: u64,
}

impl Feed {
    /// Whether nothing here is older than there: views, versions and tokens only ever rise.
    pub fn supersedes(&self, known: &Feed) -> bool {
        let tokens = |feed: &Feed| feed.roles.iter().map(|held| held.token).sum::<u64>();
        self.view >= known.view
            && self.configuration_version >= known.configuration_version
            && tokens(self) >= tokens(known)
    }
}

/// A long poll: answered when the feed's revision is another one, or when the wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FeedPoll {
    /// The revision that the caller has; zero: none.
    #[n(0)]
    pub revision: u64,
    /// The configuration version that the caller has; its body is left out of the answer when it is current.
    #[n(1)]
    pub configuration_version: u64,
    /// Longest wait, in milliseconds.
    #[n(2)]
    pub wait_ms: u64,
}
