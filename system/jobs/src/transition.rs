//! The transition that one entry of the log makes: the state before and after it, and the changes on the way.
use crate::{change::Change, State};
use magpiegap_protocol::WallMillis;

/// An entry while it is applied. What it does is in the modules for runs, jobs and configurations.
pub(crate) struct Transition<'s> {
    pub(crate) state: &'s mut State,
    /// The time of day at which the head wrote the entry: the only clock there is.
    pub(crate) wall_ms: WallMillis,
    /// Changes so far, in the order in which they were made.
    pub(crate) changes: Vec<Change>,
}

impl<'s> Transition<'s> {
    /// The start of a transition from a state.
    pub(crate) fn new(state: &'s mut State, wall_ms: WallMillis) -> Transition<'s> {
        Transition {
            state,
            wall_ms,
            changes: Vec::new(),
        }
    }
}
