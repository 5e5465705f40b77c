//! What agents and proxies learn from the control plane.
use crate::{FencingToken, ReplicaId, Role, ViewNumber};
use minicbor::{Decode, Encode};

/// A role and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleHolder {
    /// The role.
    #[n(0)]
    pub role: Role,
    /// Its holder.
    #[n(1)]
    pub holder: ReplicaId,
    /// The fencing token that came with it.
    #[n(2)]
    pub token: FencingToken,
}

/// What a proxy needs to know besides the configuration: small, so that it never takes long on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Feed {
    /// Number of the view.
    #[n(0)]
    pub view: ViewNumber,
    /// Addresses of the coordinators, from head to tail.
    #[n(1)]
    pub chain: Vec<u32>,
    /// Who holds which role.
    #[n(2)]
    pub roles: Vec<RoleHolder>,
    /// Version of the configuration that the sender has; zero: there is none yet.
    #[n(3)]
    pub configuration_version: u64,
    /// Changes whenever anything above does.
    #[n(5)]
    pub revision: u64,
    /// What leads to that version from the one that the caller has, where it is small.
    #[n(6)]
    pub change: Option<ConfigurationChunk>,
}

impl Feed {
    /// Whether nothing here is older than there: views, versions and tokens only ever rise.
    pub fn supersedes(&self, known: &Feed) -> bool {
        let tokens = |feed: &Feed| feed.roles.iter().map(|held| held.token.0).sum::<u64>();
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
    /// The configuration version that the caller has.
    #[n(1)]
    pub configuration_version: u64,
    /// Longest wait, in milliseconds.
    #[n(2)]
    pub wait_ms: u64,
}

/// Names the bytes of one transfer of a configuration: whoever has the same name has the same bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TransferId {
    /// The version that the bytes build on; zero: they are a whole configuration.
    #[n(0)]
    pub base: u64,
    /// The version that they lead to.
    #[n(1)]
    pub version: u64,
    /// FNV-1a of all of the bytes.
    #[n(2)]
    pub checksum: u64,
}

/// Asks for a part of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationFetch {
    /// The version that the caller has; zero: none.
    #[n(0)]
    pub base: u64,
    /// The transfer under way; one that is not known there begins anew with the newest version.
    #[n(1)]
    pub transfer: Option<TransferId>,
    /// How many bytes of it the caller has.
    #[n(2)]
    pub offset: u64,
}

/// A part of what leads from one version of the configuration to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChunk {
    /// The transfer.
    #[n(0)]
    pub transfer: TransferId,
    /// How many bytes it has in all.
    #[n(1)]
    pub length: u64,
    /// Where this part begins.
    #[n(2)]
    pub offset: u64,
    /// The part.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}
