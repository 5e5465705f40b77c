//! Runs an experiment: one or several programs in turn on the same plan.
mod play;
mod sum_up;
mod watch;

pub use play::{play, PlayContext, PlayError, Program};
