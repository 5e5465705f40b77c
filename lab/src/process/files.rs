//! The files that a balancer's process reads and writes, and its launch specification. Owns the paths.
use crate::atomic_file;
use crate::audit::BalancerMetrics;
use crate::error::FileError;
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// The command and the options of a balancer's process.
#[derive(Clone, Debug)]
pub struct LaunchSpec {
    /// The shell command.
    pub command: String,
    /// The options for the process.
    pub options: toml::Table,
}

/// The files of one balancer.
pub(super) struct Files {
    pub(super) config: PathBuf,
    pub(super) options: PathBuf,
    /// The balancer's state folder, which persists over restarts.
    pub(super) state: PathBuf,
    pub(super) log: PathBuf,
    /// The disk faults, for the balancer's build with fault injection.
    disk_faults: PathBuf,
    /// The content of `disk_faults` while no fault is injected.
    default_disk_faults: &'static str,
}

impl Files {
    pub(super) fn new(folder: &Path, name: &str, default_disk_faults: &'static str) -> Files {
        let config = folder.join("config");
        Files {
            config: config.join(format!("{name}.json")),
            options: config.join(format!("{name}.toml")),
            state: folder.join("state").join(name),
            log: folder.join("logs").join(format!("{name}.log")),
            disk_faults: config.join(format!("{name}.drill")),
            default_disk_faults,
        }
    }

    /// Creates the state folder and writes the options of a start.
    pub(super) fn write_options(&self, options: &toml::Table) -> Result<(), FileError> {
        std::fs::create_dir_all(&self.state).map_err(FileError::at(&self.state))?;
        let text = options.to_string();
        let text = text.replace("{state}", &self.state.display().to_string());
        let text = text.replace("{drill}", &self.disk_faults.display().to_string());
        std::fs::write(&self.options, text).map_err(FileError::at(&self.options))
    }

    /// Sets the faults of the disk; `None` restores the default ones.
    pub(super) fn set_disk_faults(&self, directive: Option<&str>) -> Result<(), FileError> {
        let directive = directive.unwrap_or(self.default_disk_faults);
        atomic_file::replace(&self.disk_faults, directive)
    }

    /// Opens the log for appending, for standard output and standard error.
    pub(super) fn open_log(&self) -> Result<(Stdio, Stdio), FileError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.map_err(FileError::at(&self.log))?;
        let errors = log.try_clone().map_err(FileError::at(&self.log))?;
        Ok((Stdio::from(log), Stdio::from(errors)))
    }

    /// Reads the metrics that the balancer has written, if any.
    pub(super) fn read_metrics(&self) -> Option<BalancerMetrics> {
        let text = std::fs::read(self.state.join("figures.json")).ok()?;
        serde_json::from_slice(&text).ok()
    }
}
