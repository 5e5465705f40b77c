//! Proposals and their purposes.
use crate::operation::OperationId;
use magpiegap_protocol::{Command, Millis, Role, RoleToken, RunStart, ViewNumber};

/// The reason for a proposal, if it affects how the applied entry is handled.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// Proposed by a scheduler; lists the runs that it starts.
    Scheduler { runs: Vec<RunStart> },
    /// Claims a vacant role.
    RoleClaim(Role),
    /// Renews the lease: the commit proves that the view is still current.
    LeaseRenewal,
    /// The first proposal in a view. Once it is applied, every proposal of earlier views is committed or lost.
    FirstInView,
}

/// The content of a proposal.
#[derive(Clone, Debug)]
pub(crate) struct ProposalDraft {
    pub command: Command,
    /// The role in which the command is proposed, with its fencing token.
    pub role_token: Option<RoleToken>,
    pub purpose: Option<Purpose>,
    /// The operation that the proposal completes.
    pub operation: Option<OperationId>,
}

impl ProposalDraft {
    /// Creates a proposal without a specific purpose.
    pub(crate) fn new(command: Command) -> ProposalDraft {
        ProposalDraft {
            command,
            role_token: None,
            purpose: None,
            operation: None,
        }
    }

    /// Creates a proposal with a purpose and without a role.
    pub(crate) fn with_purpose(command: Command, purpose: Purpose) -> ProposalDraft {
        ProposalDraft {
            purpose: Some(purpose),
            ..ProposalDraft::new(command)
        }
    }

    /// Creates a proposal of a scheduler. The entry takes effect only while the scheduler's fencing token is current.
    pub(crate) fn by_scheduler(command: Command, role_token: RoleToken) -> ProposalDraft {
        let runs = match &command {
            Command::SubmitJob { runs, .. } | Command::StartRuns { runs } => runs.clone(),
            _ => Vec::new(),
        };
        ProposalDraft {
            role_token: Some(role_token),
            ..ProposalDraft::with_purpose(command, Purpose::Scheduler { runs })
        }
    }
}

/// A proposal in flight: submitted, but not yet applied here.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub draft: ProposalDraft,
    pub proposed_at: Millis,
    /// The view in which it was proposed.
    pub view: ViewNumber,
    /// When the proposal is resent, in case it was lost on the way to the head.
    pub retry_at: Millis,
}
