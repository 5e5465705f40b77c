//! What the stories of the state share.
#![allow(dead_code)]
use magpiegap_jobs::{Applied, State};
use magpiegap_protocol::{Command, Entry, Fence, Member, Position, ProposalId, Replica};

/// Who proposes.
pub fn replica() -> Replica {
    Replica {
        member: Member {
            address: 1,
            disk: 0,
        },
        boot: 1,
    }
}

/// Applies a command as the holder of a role, or of none.
pub fn apply_as(state: &mut State, fence: Option<Fence>, command: Command) -> Applied {
    let index = state.position.index + 1;
    let proposal = ProposalId {
        origin: replica(),
        sequence: index,
    };
    state.apply(&Entry {
        position: Position { view: 1, index },
        proposal,
        fence,
        command,
        wall_ms: 1000 + index,
    })
}

/// Applies a command.
pub fn apply(state: &mut State, command: Command) -> Applied {
    apply_as(state, None, command)
}
