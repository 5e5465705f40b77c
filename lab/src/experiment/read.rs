//! Reads an experiment file: every key checked, every error on one line with file, line and key.
use super::check::check;
use super::schema::Experiment;
use crate::error::FileError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An experiment file that can't be used. Its text is one line: file, line, key, what is wrong.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// It can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// Something in it is wrong.
    #[error("{}{}: {what}", path.display(), line.map_or(String::new(), |line| format!(":{line}")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, if there is one.
        line: Option<usize>,
        /// The key, and what is wrong with it.
        what: String,
    },
}

/// Reads and checks an experiment file.
///
/// # Errors
/// The first thing that is wrong.
pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
    parse(&text).map_err(|(line, what)| ExperimentError::Invalid {
        path: path.to_path_buf(),
        line,
        what,
    })
}

/// The same from a text; the error names the line, if there is one.
pub fn parse(text: &str) -> Result<Experiment, (Option<usize>, String)> {
    let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let flat = |message: &str| message.trim().replace('\n', " ");
    let syntax = |e: toml::de::Error| (e.span().map(|s| line_at(s.start)), flat(e.message()));
    let reader = toml::Deserializer::parse(text).map_err(syntax)?;
    let experiment: Experiment = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (line, message) = syntax(e.inner().clone());
        (line, format!("{}: {message}", e.path()))
    })?;
    check(&experiment).map_err(|(key, what)| (line_of(text, &key), format!("{key}: {what}")))?;
    Ok(experiment)
}

/// The line on which a key such as `fault[1].size` stands, or else the nearest key above it.
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
