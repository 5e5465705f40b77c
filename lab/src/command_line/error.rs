//! Why a verb could not be carried out.
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

/// Why a verb could not be carried out. Its text is what the user reads.
#[derive(Debug, Error)]
pub(crate) enum LabError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("no deploy/balancer.toml here or above")]
    NoRepository,
    #[error("{command}: {status}")]
    Build {
        command: String,
        status: std::process::ExitStatus,
    },
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{}: {source}", file.display())]
    PlanOf { file: PathBuf, source: PlanError },
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
