//! Entries of the replicated log. How they are replicated and committed is the business of the control crate.
use crate::{Command, LogIndex, ReplicaId, RoleToken, ViewNumber, WallMillis};
use minicbor::{Decode, Encode};

/// A position in the log. The order is that of views, then of indexes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// The view in which the entry was written.
    #[n(0)]
    pub view: ViewNumber,
    /// Index of the entry, from one.
    #[n(1)]
    pub index: LogIndex,
}

/// Identifies a proposal, so that its proposer learns the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalId {
    /// The replica that proposed.
    #[n(0)]
    pub origin: ReplicaId,
    /// Number among the proposals of that replica.
    #[n(1)]
    pub sequence: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Entry {
    /// Position in the log.
    #[n(0)]
    pub position: LogPosition,
    /// Identity of the proposal.
    #[n(1)]
    pub proposal: ProposalId,
    /// The role that its proposer holds; `None`: it needs none.
    #[n(2)]
    pub role_token: Option<RoleToken>,
    /// The command to apply.
    #[n(3)]
    pub command: Command,
    /// The time of day at which the head of the chain wrote it.
    #[n(4)]
    pub wall_ms: WallMillis,
}

impl Entry {
    /// Estimated size in bytes, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const METADATA_BYTES: usize = 80;
        METADATA_BYTES + self.command.estimated_bytes()
    }
}
