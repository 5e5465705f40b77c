//! Helpers shared by several commands.
use super::error::LabError;
use balancer_lab::draw::{self, Plan};
use balancer_lab::experiment::Experiment;
use std::io;
use std::path::Path;

/// Outcome of a command that completed.
pub(super) enum Outcome {
    Passed,
    Failed,
}

/// Creates a runtime with the given number of threads.
pub(super) fn runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

/// Draws the plan of an experiment file for a seed.
pub(super) fn plan_of(file: &Path, experiment: &Experiment, seed: u64) -> Result<Plan, LabError> {
    draw::plan(experiment, seed).map_err(|source| LabError::PlanFile {
        file: file.to_path_buf(),
        source,
    })
}
