//! The folder that a run leaves: its experiment, every play, the report.
use crate::draw::Plan;
use crate::error::FileError;
use crate::experiment::{self, Experiment, ExperimentError};
use crate::metrics::Played;
use crate::report;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What was asked for, beside the experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunArguments {
    /// The seed.
    pub seed: u64,
    /// Names of the programs, in order.
    pub programs: Vec<String>,
    /// Plays of each.
    pub plays: usize,
    /// Whether each play has a draw of its own, from the seed on.
    #[serde(default)]
    pub new_draws: bool,
}

/// A folder of results.
pub struct Results {
    folder: PathBuf,
}

const EXPERIMENT: &str = "experiment.toml";

const ARGUMENTS: &str = "asked.json";

/// Why results could not be written or read.
#[derive(Debug, Error)]
pub enum ResultsError {
    /// A file or folder.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file holds something else.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// What is to be stored has no form as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// Every name below `lab/results` is taken.
    #[error("no name is free")]
    NoName,
    /// The folder is another run's.
    #[error("{}: holds the results of another run", .0.display())]
    InUse(PathBuf),
    /// The folder is no run's.
    #[error("{}: no results of a run", .0.display())]
    NoResults(PathBuf),
    /// The experiment as it was then.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The report.
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
    /// Makes a folder for a run: the one named, or the next one that is free below `lab/results`.
    ///
    /// # Errors
    /// When there is none, or it is another run's.
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
                let free = (1..)
                    .map(|n| below.join(format!("{stem}-{n}")))
                    .find(|f| !f.exists());
                free.ok_or(ResultsError::NoName)?
            }
        };
        if folder.join(ARGUMENTS).exists() {
            return Err(ResultsError::InUse(folder));
        }
        std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
        let folder = folder.canonicalize().map_err(FileError::at(&folder))?;
        std::fs::copy(file, folder.join(EXPERIMENT)).map_err(FileError::at(file))?;
        write(&folder.join(ARGUMENTS), &serde_json::to_string(arguments)?)?;
        Ok(Results { folder })
    }

    /// Opens the folder of an earlier run.
    ///
    /// # Errors
    /// When it is none.
    pub fn open(folder: &Path) -> Result<Results, ResultsError> {
        if !folder.join(ARGUMENTS).is_file() {
            return Err(ResultsError::NoResults(folder.to_path_buf()));
        }
        Ok(Results {
            folder: folder.to_path_buf(),
        })
    }

    /// Where it is.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Where one play of a program keeps its files.
    pub fn play(&self, program: &str, play: usize) -> PathBuf {
        self.folder.join(format!("{program}-{}", play + 1))
    }

    /// Keeps a play.
    ///
    /// # Errors
    /// When its file can't be written.
    pub fn keep(&self, played: &Played) -> Result<(), ResultsError> {
        write(
            &self.play(&played.program, played.play).join("play.json"),
            &serde_json::to_string(played)?,
        )
    }

    /// What was asked for, and the experiment as it was then.
    ///
    /// # Errors
    /// When either file can't be read.
    pub fn arguments(&self) -> Result<(RunArguments, Experiment), ResultsError> {
        Ok((
            read(&self.folder.join(ARGUMENTS))?,
            experiment::load(&self.folder.join(EXPERIMENT))?,
        ))
    }

    /// Every play that was kept, in the order in which they were made.
    ///
    /// # Errors
    /// When a file can't be read.
    pub fn plays(&self) -> Result<Vec<Played>, ResultsError> {
        let arguments: RunArguments = read(&self.folder.join(ARGUMENTS))?;
        let mut plays = Vec::new();
        for play in 0..arguments.plays {
            for program in &arguments.programs {
                let path = self.play(program, play).join("play.json");
                // A run that was stopped has fewer plays than were asked for.
                if path.is_file() {
                    plays.push(read(&path)?);
                }
            }
        }
        Ok(plays)
    }

    /// Writes the report, and says where.
    ///
    /// # Errors
    /// When it can't be drawn or written.
    pub fn report(
        &self,
        e: &Experiment,
        plan: &Plan,
        plays: &[Played],
    ) -> Result<PathBuf, ResultsError> {
        let path = self.folder.join("report.html");
        write(&path, &report::page(e, plan, plays)?)?;
        Ok(path)
    }
}
