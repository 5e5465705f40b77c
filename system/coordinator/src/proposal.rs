//! A proposal and why it was made.
use crate::operation::OperationId;
use magpiegap_protocol::{Command, Millis, Role, RoleToken, RunStart, ViewNumber};

/// Why a coordinator proposes something, where that matters once it is applied.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// A scheduler needs it; these are the runs in it.
    Scheduler { runs: Vec<RunStart> },
    /// Takes a vacant role.
    RoleClaim(Role),
    /// Proves that the view stands.
    LeaseRenewal,
    /// The first proposal in a view: once it is applied, all that was proposed in earlier views is committed or lost.
    FirstInView,
}

/// What is to be proposed.
#[derive(Clone, Debug)]
pub(crate) struct Proposed {
    pub command: Command,
    /// The role in whose name it is proposed, with its fencing token.
    pub role_token: Option<RoleToken>,
    pub purpose: Option<Purpose>,
    /// The operation that it completes.
    pub operation: Option<OperationId>,
}

impl Proposed {
    /// A command for no particular purpose.
    pub(crate) fn new(command: Command) -> Proposed {
        Proposed {
            command,
            role_token: None,
            purpose: None,
            operation: None,
        }
    }

    /// A command of this coordinator itself.
    pub(crate) fn with_purpose(command: Command, purpose: Purpose) -> Proposed {
        Proposed {
            purpose: Some(purpose),
            ..Proposed::new(command)
        }
    }

    /// A command of a scheduler, which counts only while its token is the newest one.
    pub(crate) fn by_scheduler(command: Command, role_token: RoleToken) -> Proposed {
        let runs = match &command {
            Command::SubmitJob { runs, .. } | Command::StartRuns { runs } => runs.clone(),
            _ => Vec::new(),
        };
        Proposed {
            role_token: Some(role_token),
            ..Proposed::with_purpose(command, Purpose::Scheduler { runs })
        }
    }
}

/// A proposal in flight: not applied here yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub proposed: Proposed,
    pub proposed_at: Millis,
    /// The view in which it was proposed.
    pub view: ViewNumber,
    /// When it is sent to the head again, in case it was lost on its way there.
    pub retry_at: Millis,
}
