//! The result folder of a run: experiment file, plays and report.
use crate::draw::Plan;
use crate::error::FileError;
use crate::experiment::{self, Experiment, ExperimentError};
use crate::metrics::Played;
use crate::report;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The command-line arguments of a run that results depend on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunArguments {
    /// The seed.
    pub seed: u64,
    /// Names of the programs, in the order in which they are played.
    pub programs: Vec<String>,
    /// Number of plays per program.
    pub plays: usize,
    /// Whether each play has its own plan, with consecutive seeds.
    #[serde(default)]
    pub new_draws: bool,
}

/// The result folder of a run.
pub struct Results {
    folder: PathBuf,
}

const EXPERIMENT_FILE: &str = "experiment.toml";

const ARGUMENTS_FILE: &str = "asked.json";

/// Why results could not be written or read.
#[derive(Debug, Error)]
pub enum ResultsError {
    /// A file or folder cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file does not have the expected format.
    #[error("{}: malformed results file: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// A value cannot be encoded as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// Every folder name below `lab/results` is in use.
    #[error("no unused folder name in lab/results")]
    NoName,
    /// The folder belongs to another run.
    #[error("{}: folder contains the results of another run", .0.display())]
    InUse(PathBuf),
    /// The folder does not contain results.
    #[error("{}: folder contains no results of a run", .0.display())]
    NoResults(PathBuf),
    /// The stored experiment file is invalid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The report cannot be drawn.
    #[error(transparent)]
    Report(#[from] report::PlotError),
}

fn write(path: &Path, text: &str) -> Result<(), ResultsError> {
    Ok(std::fs::write(path, text).map_err(FileError::at(path))?)
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ResultsError> {
    let text = std::fs::read(path).map_err(FileError::at(path))?;
    serde_json::from_slice(&text).map_err(|source| ResultsError::Malformed {
        path: path.to_path_buf(),
        source,
    })
}

impl Results {
    /// Creates the folder of a run: the given one, or the next unused one below `lab/results`.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be created or belongs to another run.
    pub fn create(
        root: &Path,
        named: Option<&Path>,
        file: &Path,
        arguments: &RunArguments,
    ) -> Result<Results, ResultsError> {
        let folder = match named {
            Some(folder) => folder.to_path_buf(),
            None => {
                let stem = file
                    .file_stem()
                    .map_or("run".into(), |s| s.to_string_lossy());
                let below = root.join("lab").join("results");
                let unused = (1..)
                    .map(|n| below.join(format!("{stem}-{n}")))
                    .find(|f| !f.exists());
                unused.ok_or(ResultsError::NoName)?
            }
        };
        if folder.join(ARGUMENTS_FILE).exists() {
            return Err(ResultsError::InUse(folder));
        }
        std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
        let folder = folder.canonicalize().map_err(FileError::at(&folder))?;
        std::fs::copy(file, folder.join(EXPERIMENT_FILE)).map_err(FileError::at(file))?;
        write(
            &folder.join(ARGUMENTS_FILE),
            &serde_json::to_string(arguments)?,
        )?;
        Ok(Results { folder })
    }

    /// Opens the folder of an earlier run.
    ///
    /// # Errors
    /// Returns an error if the folder contains no results.
    pub fn open(folder: &Path) -> Result<Results, ResultsError> {
        if !folder.join(ARGUMENTS_FILE).is_file() {
            return Err(ResultsError::NoResults(folder.to_path_buf()));
        }
        Ok(Results {
            folder: folder.to_path_buf(),
        })
    }

    /// Returns the path of the folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the folder of one play of a program.
    pub fn play_folder(&self, program: &str, play: usize) -> PathBuf {
        self.folder.join(format!("{program}-{}", play + 1))
    }

    /// Stores a play.
    ///
    /// # Errors
    /// Returns an error if its file cannot be written.
    pub fn store(&self, played: &Played) -> Result<(), ResultsError> {
        write(
            &self
                .play_folder(&played.program, played.play)
                .join("play.json"),
            &serde_json::to_string(played)?,
        )
    }

    /// Returns the arguments of the run and a copy of the experiment from when it was started.
    ///
    /// # Errors
    /// Returns an error if either file cannot be read.
    pub fn arguments(&self) -> Result<(RunArguments, Experiment), ResultsError> {
        Ok((
            read(&self.folder.join(ARGUMENTS_FILE))?,
            experiment::load(&self.folder.join(EXPERIMENT_FILE))?,
        ))
    }

    /// Returns all stored plays, in the order in which they were played.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read.
    pub fn plays(&self) -> Result<Vec<Played>, ResultsError> {
        let arguments: RunArguments = read(&self.folder.join(ARGUMENTS_FILE))?;
        let mut plays = Vec::new();
        for play in 0..arguments.plays {
            for program in &arguments.programs {
                let path = self.play_folder(program, play).join("play.json");
                // A run that was stopped early has fewer plays than requested.
                if path.is_file() {
                    plays.push(read(&path)?);
                }
            }
        }
        Ok(plays)
    }

    /// Writes the report and returns its path.
    ///
    /// # Errors
    /// Returns an error if the report cannot be drawn or written.
    pub fn report(
        &self,
        experiment: &Experiment,
        plan: &Plan,
        plays: &[Played],
    ) -> Result<PathBuf, ResultsError> {
        let path = self.folder.join("report.html");
        write(&path, &report::page(experiment, plan, plays)?)?;
        Ok(path)
    }
}
