//! What several verbs share.
use super::error::LabError;
use balancer_lab::draw::{self, Plan};
use balancer_lab::experiment::Experiment;
use std::io;
use std::path::Path;

/// How a verb ended.
pub(super) enum End {
    Passed,
    Failed,
}

/// A runtime with so many threads.
pub(super) fn runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

/// The plan that a seed makes of an experiment file.
pub(super) fn plan_of(file: &Path, e: &Experiment, seed: u64) -> Result<Plan, LabError> {
    draw::plan(e, seed).map_err(|source| LabError::PlanOf {
        file: file.to_path_buf(),
        source,
    })
}
