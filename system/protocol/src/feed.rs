//! Messages from the control plane to agents and proxies: the feed, and configurations in chunks.
use crate::{FencingToken, ReplicaId, Role, ViewNumber};
use minicbor::{Decode, Encode};

/// A role and its current holder.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleHolder {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// The coordinator that holds the role.
    #[n(1)]
    pub holder: ReplicaId,
    /// The holder's fencing token.
    #[n(2)]
    pub token: FencingToken,
}

/// The control plane's state that a proxy needs besides the configuration. It is small, so that slow links deliver it
/// quickly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Feed {
    /// Number of the view.
    #[n(0)]
    pub view: ViewNumber,
    /// Addresses of the coordinators, from head to tail.
    #[n(1)]
    pub chain: Vec<u32>,
    /// The holders of roles.
    #[n(2)]
    pub roles: Vec<RoleHolder>,
    /// The sender's configuration version; zero if it has none yet.
    #[n(3)]
    pub configuration_version: u64,
    /// Changes whenever one of the fields above does.
    #[n(5)]
    pub revision: u64,
    /// The change from the caller's version to that version, if it is small.
    #[n(6)]
    pub change: Option<ConfigurationChunk>,
}

impl Feed {
    /// Whether no part of this feed is older than in `known`: views, versions and tokens only increase.
    pub fn supersedes(&self, known: &Feed) -> bool {
        let tokens = |feed: &Feed| feed.roles.iter().map(|role| role.token.0).sum::<u64>();
        self.view >= known.view
            && self.configuration_version >= known.configuration_version
            && tokens(self) >= tokens(known)
    }
}

/// A long poll: answered when the feed's revision differs from the caller's, or after the maximum wait.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FeedPoll {
    /// The caller's revision; zero if it has none.
    #[n(0)]
    pub revision: u64,
    /// The caller's configuration version.
    #[n(1)]
    pub configuration_version: u64,
    /// Maximum wait, in milliseconds.
    #[n(2)]
    pub wait_ms: u64,
}

/// Identifies the content of a configuration transfer: equal identifiers mean equal bytes at every source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TransferId {
    /// The version that the change applies to; zero for a complete configuration.
    #[n(0)]
    pub base: u64,
    /// The version that results from the change.
    #[n(1)]
    pub version: u64,
    /// FNV-1a hash of all bytes of the transfer.
    #[n(2)]
    pub checksum: u64,
}

/// Requests a chunk of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationFetch {
    /// The caller's version; zero if it has none.
    #[n(0)]
    pub base: u64,
    /// The transfer in progress. If the source does not know it, a transfer of the newest version starts instead.
    #[n(1)]
    pub transfer: Option<TransferId>,
    /// Offset of the requested chunk, in bytes.
    #[n(2)]
    pub offset: u64,
}

/// A chunk of the change from one version of the configuration to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChunk {
    /// The transfer that the chunk belongs to.
    #[n(0)]
    pub transfer: TransferId,
    /// Length of the complete transfer, in bytes.
    #[n(1)]
    pub length: u64,
    /// Offset of this chunk, in bytes.
    #[n(2)]
    pub offset: u64,
    /// Content of this chunk.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}
