//! What a run leaves: its folder, and the tables made of its plays.
mod compare;
mod folder;
mod summary;

pub use compare::compare;
pub use folder::{Results, ResultsError, RunArguments};
pub use summary::summary;
