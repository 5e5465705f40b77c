//! What agents and proxies receive from the control plane: the feed, and configurations in chunks.
use crate::{FencingToken, ReplicaId, Role, ViewNumber};
use minicbor::{Decode, Encode};

/// A role and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleHolder {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// The coordinator that holds it.
    #[n(1)]
    pub holder: ReplicaId,
    /// The fencing token of that holder.
    #[n(2)]
    pub token: FencingToken,
}

/// What a proxy needs to know besides the configuration: small, so that it passes any link quickly.
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
    /// Version of the configuration that the sender has; zero: there is none yet.
    #[n(3)]
    pub configuration_version: u64,
    /// Changes whenever one of the fields above does.
    #[n(5)]
    pub revision: u64,
    /// The change to that version from the caller's, where it is small.
    #[n(6)]
    pub change: Option<ConfigurationChunk>,
}

impl Feed {
    /// Whether nothing in this feed is older than in the known one: views, versions and tokens only rise.
    pub fn supersedes(&self, known: &Feed) -> bool {
        let tokens = |feed: &Feed| feed.roles.iter().map(|role| role.token.0).sum::<u64>();
        self.view >= known.view
            && self.configuration_version >= known.configuration_version
            && tokens(self) >= tokens(known)
    }
}

/// A long poll: the response comes when the feed's revision differs, or when the wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FeedPoll {
    /// The revision that the caller has; zero: none.
    #[n(0)]
    pub revision: u64,
    /// The configuration version that the caller has.
    #[n(1)]
    pub configuration_version: u64,
    /// Maximum wait, in milliseconds.
    #[n(2)]
    pub wait_ms: u64,
}

/// Identifies the bytes of one transfer of a configuration: with the same identity they are the same everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TransferId {
    /// The version that the change applies to; zero: it is a complete configuration.
    #[n(0)]
    pub base: u64,
    /// The version that results.
    #[n(1)]
    pub version: u64,
    /// FNV-1a of all of the bytes.
    #[n(2)]
    pub checksum: u64,
}

/// Requests a chunk of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationFetch {
    /// The version that the caller has; zero: none.
    #[n(0)]
    pub base: u64,
    /// The transfer in progress; one that the source does not know restarts with the newest version.
    #[n(1)]
    pub transfer: Option<TransferId>,
    /// Offset of the next byte, in bytes.
    #[n(2)]
    pub offset: u64,
}

/// A chunk of the change from one version of the configuration to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChunk {
    /// The transfer.
    #[n(0)]
    pub transfer: TransferId,
    /// Length of the complete transfer, in bytes.
    #[n(1)]
    pub length: u64,
    /// Offset of this chunk, in bytes.
    #[n(2)]
    pub offset: u64,
    /// Bytes of this chunk.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}
