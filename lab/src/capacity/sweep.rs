//! All sizes of one dimension, each so many times in turn.
use super::error::CapacityError;
use super::sample::Sample;
use super::scenario::Dimension;
use super::trial::{play, play_hollow, play_loss, Setting};
use crate::error::FileError;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Tenants of a tier that is all hollow: the target's.
const HOLLOW_TENANTS: u16 = 21;

/// Threads of the stand-ins of one trial.
const THREADS: usize = 2;
/// How long the tasks of a trial may take to end.
const SHUTDOWN: Duration = Duration::from_secs(5);

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// What grows.
    pub dimension: Dimension,
    /// Through which sizes.
    pub sizes: Vec<usize>,
    /// How often each is measured.
    pub runs: usize,
    /// For how long.
    pub span: Duration,
    /// The balancer's program.
    pub program: PathBuf,
    /// Where configurations, logs and kept state go.
    pub folder: PathBuf,
}

impl Sweep {
    /// Measures; each sample is told of as it comes. All sizes are gone through once before the second run, so that
    /// what changes on the machine meets them alike.
    ///
    /// # Errors
    /// When a trial can't be measured.
    pub fn measure(&self, mut tell: impl FnMut(&Sample)) -> Result<Vec<Sample>, CapacityError> {
        let mut samples = Vec::new();
        for run in 0..self.runs {
            for &size in &self.sizes {
                let folder = self
                    .folder
                    .join(format!("{}-{size}-{run}", self.dimension.name()));
                let sample = self.one(size, &folder)?;
                tell(&sample);
                samples.push(sample);
            }
        }
        samples.sort_by_key(|sample| sample.size);
        Ok(samples)
    }

    fn one(&self, size: usize, folder: &Path) -> Result<Sample, CapacityError> {
        let Some(scenario) = self.dimension.scenario(size) else {
            return match self.dimension {
                Dimension::Loss => play_loss(size, HOLLOW_TENANTS),
                _ => play_hollow(size, HOLLOW_TENANTS, self.span),
            };
        };
        std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
        let setting = Setting {
            folder,
            program: &self.program,
            span: self.span,
        };
        // Each trial has a runtime of its own: with it all tasks and sockets of the trial end.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        let sample = runtime.block_on(play(&scenario, size, &setting));
        runtime.shutdown_timeout(SHUTDOWN);
        sample
    }
}
