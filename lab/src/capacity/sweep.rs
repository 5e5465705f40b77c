//! Measures all sizes of one dimension repeatedly.
use super::error::CapacityError;
use super::sample::Sample;
use super::scenario::Dimension;
use super::trial::{play, play_hollow, play_loss, Setting};
use crate::error::FileError;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of tenants in a fully hollow tier, as in the target deployment.
const HOLLOW_TENANTS: u16 = 21;

/// Worker threads for the emulated components of a trial.
const THREADS: usize = 2;
/// How long the tasks of a trial may take to shut down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// The configuration of a sweep.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// The dimension that grows.
    pub dimension: Dimension,
    /// The sizes to measure.
    pub sizes: Vec<usize>,
    /// Number of measurements per size.
    pub runs: usize,
    /// Duration of each measurement.
    pub span: Duration,
    /// The balancer program.
    pub program: PathBuf,
    /// Folder for configurations, logs and persisted state.
    pub folder: PathBuf,
}

impl Sweep {
    /// Measures all sizes and passes each sample to `report` as soon as it is complete. All sizes are measured once
    /// before the next run, so that changing conditions on the machine affect them equally.
    ///
    /// # Errors
    /// Returns an error if a trial cannot be measured.
    pub fn measure(&self, mut report: impl FnMut(&Sample)) -> Result<Vec<Sample>, CapacityError> {
        let mut samples = Vec::new();
        for run in 0..self.runs {
            for &size in &self.sizes {
                let folder = self
                    .folder
                    .join(format!("{}-{size}-{run}", self.dimension.name()));
                let sample = self.measure_once(size, &folder)?;
                report(&sample);
                samples.push(sample);
            }
        }
        samples.sort_by_key(|sample| sample.size);
        Ok(samples)
    }

    fn measure_once(&self, size: usize, folder: &Path) -> Result<Sample, CapacityError> {
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
        // Each trial has its own runtime; shutting it down ends all tasks and sockets of the trial.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        let sample = runtime.block_on(play(&scenario, size, &setting));
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        sample
    }
}
