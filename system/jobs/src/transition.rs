//! Context in which one log entry is applied: the state and the changes made so far.
use crate::{change::Change, State};
use magpiegap_protocol::WallMillis;

/// A state transition in progress. The `apply_*` modules implement the individual commands.
pub(crate) struct Transition<'s> {
    pub(crate) state: &'s mut State,
    /// Wall-clock time at which the head appended the entry. It is the only time source, to keep replicas
    /// deterministic.
    pub(crate) wall_ms: WallMillis,
    /// Changes made so far, in order.
    pub(crate) changes: Vec<Change>,
}

impl<'s> Transition<'s> {
    pub(crate) fn new(state: &'s mut State, wall_ms: WallMillis) -> Transition<'s> {
        Transition {
            state,
            wall_ms,
            changes: Vec::new(),
        }
    }
}
