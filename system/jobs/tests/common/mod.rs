//! Helpers that apply commands as consecutive log entries.
#![allow(dead_code)]
pub(crate) mod job;

use magpiegap_jobs::{Applied, State};
use magpiegap_protocol::{
    Command, Entry, LogPosition, Member, ProposalId, ReplicaId, RoleToken, ViewNumber, WallMillis,
};

/// The replica that proposes all entries.
pub(crate) fn replica() -> ReplicaId {
    ReplicaId {
        member: Member {
            address: 1,
            disk: 0,
        },
        incarnation: 1,
    }
}

/// Applies a command, optionally in a role.
pub(crate) fn apply_as(
    state: &mut State,
    role_token: Option<RoleToken>,
    command: Command,
) -> Applied {
    let index = state.position.index + 1;
    let proposal = ProposalId {
        origin: replica(),
        sequence: index.0,
    };
    state.apply(&Entry {
        position: LogPosition {
            view: ViewNumber(1),
            index,
        },
        proposal,
        role_token,
        command,
        wall_ms: WallMillis(1000 + index.0),
    })
}

/// Applies a command without a role.
pub(crate) fn apply(state: &mut State, command: Command) -> Applied {
    apply_as(state, None, command)
}
