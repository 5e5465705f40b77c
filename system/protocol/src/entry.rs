//! Entries of the replicated log. The control crate replicates and commits them.
use crate::{Command, LogIndex, ReplicaId, RoleToken, ViewNumber, WallMillis};
use minicbor::{Decode, Encode};

/// A position in the log, ordered by view, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// The view in which the entry was appended.
    #[n(0)]
    pub view: ViewNumber,
    /// Index of the entry, starting at one.
    #[n(1)]
    pub index: LogIndex,
}

/// Identifies a proposal, so that the result can be returned to its proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalId {
    /// The proposing replica.
    #[n(0)]
    pub origin: ReplicaId,
    /// Sequence number among the proposals of that replica.
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
    /// Role and fencing token of the proposer; `None` if the command requires no role.
    #[n(2)]
    pub role_token: Option<RoleToken>,
    /// The command to apply.
    #[n(3)]
    pub command: Command,
    /// Wall-clock time at which the head of the chain appended the entry.
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
