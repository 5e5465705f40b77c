//! Errors of the command line.
use balancer_lab::capacity::error::CapacityError;
use balancer_lab::draw::PlanError;
use balancer_lab::error::FileError;
use balancer_lab::experiment::ExperimentError;
use balancer_lab::programs::ProgramsError;
use balancer_lab::results::ResultsError;
use balancer_lab::run::PlayError;
use balancer_lab::stand_in::StandInError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed. Its message is printed for the user.
#[derive(Debug, Error)]
pub(crate) enum LabError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("deploy/balancer.toml not found in the current folder or a parent folder")]
    NoRepository,
    #[error("build command {command:?} failed: {status}")]
    Build {
        command: String,
        status: std::process::ExitStatus,
    },
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{}: {source}", file.display())]
    PlanFile { file: PathBuf, source: PlanError },
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Programs(#[from] ProgramsError),
    #[error(transparent)]
    Results(#[from] ResultsError),
    #[error(transparent)]
    Play(#[from] PlayError),
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    #[error(transparent)]
    StandIn(#[from] StandInError),
}
