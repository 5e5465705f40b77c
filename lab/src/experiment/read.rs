//! Reads and validates an experiment file. Each error is one line that names file, line and key.
use super::check::check;
use super::schema::Experiment;
use crate::error::FileError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why an experiment file was rejected. Displayed as one line: file, line, key and the problem.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file does not parse or a key has an invalid value.
    #[error("{}{}: {message}", path.display(), line.map_or(String::new(), |line| format!(":{line}")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1, if it is known.
        line: Option<usize>,
        /// The key and the problem with its value.
        message: String,
    },
}

/// Reads and validates an experiment file.
///
/// # Errors
/// Returns the first problem found.
pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
    parse(&text).map_err(|(line, message)| ExperimentError::Invalid {
        path: path.to_path_buf(),
        line,
        message,
    })
}

/// Parses and validates an experiment from text. The error holds the line, if known, and a message.
pub fn parse(text: &str) -> Result<Experiment, (Option<usize>, String)> {
    let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let flat = |message: &str| message.trim().replace('\n', " ");
    let syntax = |e: toml::de::Error| (e.span().map(|s| line_at(s.start)), flat(e.message()));
    let reader = toml::Deserializer::parse(text).map_err(syntax)?;
    let experiment: Experiment = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (line, message) = syntax(e.inner().clone());
        (line, format!("{}: {message}", e.path()))
    })?;
    check(&experiment)
        .map_err(|(key, message)| (line_of(text, &key), format!("{key}: {message}")))?;
    Ok(experiment)
}

/// Returns the line of a key path such as `fault[1].size`, or of its nearest enclosing key that is present.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item = document.as_item();
    let mut at = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some(next) = item.get(name) else { break };
        item = match index {
            Some(index) => next.get(index).unwrap_or(next),
            None => next,
        };
        at = item.span().or(at);
    }
    at.map(|s| text[..s.start].matches('\n').count() + 1)
}
