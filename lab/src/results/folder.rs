//! The folder that a run leaves: its experiment, every play, the report.
use crate::draw::Plan;
use crate::experiment::{self, Experiment};
use crate::metrics::Played;
use crate::report;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

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

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn json(of: &impl Serialize) -> Result<String, String> {
    serde_json::to_string(of).map_err(|e| e.to_string())
}

impl Results {
    /// Makes a folder for a run: the one named, or the next one that is free below `lab/results`.
    pub fn create(
        root: &Path,
        named: Option<&Path>,
        file: &Path,
        arguments: &RunArguments,
    ) -> Result<Results, String> {
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
                free.ok_or("no name is free")?
            }
        };
        if folder.join(ARGUMENTS).exists() {
            return Err(format!(
                "{}: holds the results of another run",
                folder.display()
            ));
        }
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let folder = folder
            .canonicalize()
            .map_err(|e| format!("{}: {e}", folder.display()))?;
        std::fs::copy(file, folder.join(EXPERIMENT))
            .map_err(|e| format!("{}: {e}", file.display()))?;
        write(&folder.join(ARGUMENTS), &json(arguments)?)?;
        Ok(Results { folder })
    }

    /// Opens the folder of an earlier run.
    pub fn open(folder: &Path) -> Result<Results, String> {
        if !folder.join(ARGUMENTS).is_file() {
            return Err(format!("{}: no results of a run", folder.display()));
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
    pub fn keep(&self, played: &Played) -> Result<(), String> {
        write(
            &self.play(&played.program, played.play).join("play.json"),
            &json(played)?,
        )
    }

    /// What was asked for, and the experiment as it was then.
    pub fn arguments(&self) -> Result<(RunArguments, Experiment), String> {
        Ok((
            read(&self.folder.join(ARGUMENTS))?,
            experiment::load(&self.folder.join(EXPERIMENT))?,
        ))
    }

    /// Every play that was kept, in the order in which they were made.
    pub fn plays(&self) -> Result<Vec<Played>, String> {
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
    pub fn report(&self, e: &Experiment, plan: &Plan, plays: &[Played]) -> Result<PathBuf, String> {
        let path = self.folder.join("report.html");
        write(
            &path,
            &report::page(e, plan, plays).map_err(|e| e.to_string())?,
        )?;
        Ok(path)
    }
}
