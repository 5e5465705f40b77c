//! The results of a run: its folder, and text tables of its plays.
mod compare;
mod folder;
mod summary;

pub use compare::compare;
pub use folder::{Results, ResultsError, RunArguments};
pub use summary::summary;
