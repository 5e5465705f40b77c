//! Parses the programs, option sets and build commands of the command line.
use crate::error::FileError;
use crate::experiment::Experiment;
use crate::run::Program;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The deploy file.
#[derive(Deserialize)]
pub struct Deploy {
    /// The command that builds the balancer.
    pub build: String,
    /// The command that runs one balancer.
    pub run: String,
}

/// Why the programs could not be determined.
#[derive(Debug, Error)]
pub enum ProgramsError {
    /// The deploy file can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The deploy file is malformed.
    #[error("{}: {what}", path.display())]
    Deploy {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        what: String,
    },
    /// The path of the lab's own executable could not be determined.
    #[error(transparent)]
    OwnProgram(#[from] io::Error),
    /// A command-line argument is invalid.
    #[error("{option} {text}: {what}")]
    Argument {
        /// The option.
        option: &'static str,
        /// Its value.
        text: String,
        /// Why it is invalid.
        what: String,
    },
}

/// Returns a function that converts a message into an error about an argument.
fn argument_error<'a>(option: &'static str, text: &'a str) -> impl Fn(&str) -> ProgramsError + 'a {
    move |what| ProgramsError::Argument {
        option,
        text: text.to_owned(),
        what: what.to_owned(),
    }
}

/// Reads the deploy file.
///
/// # Errors
/// Fails if it can't be read or is malformed.
pub fn deploy(root: &Path) -> Result<Deploy, ProgramsError> {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).map_err(FileError::at(&path))?;
    toml::from_str(&text).map_err(|error| ProgramsError::Deploy {
        what: error.message().to_owned(),
        path,
    })
}

/// Returns the programs of `--program` with their commands, and whether the balancer must be built.
///
/// # Errors
/// Returns the first invalid argument.
pub fn programs(named: &[String], deploy: &Deploy) -> Result<(Vec<Program>, bool), ProgramsError> {
    let own = std::env::current_exe()?;
    let default = ["balancer".to_string()];
    let named = if named.is_empty() {
        &default[..]
    } else {
        named
    };
    let mut programs: Vec<Program> = Vec::new();
    let mut built = false;
    for text in named {
        let wrong = argument_error("--program", text);
        let (name, command) = match text.split_once('=') {
            Some((name, command)) => (name, command.to_string()),
            None if text == "balancer" => {
                built = true;
                (text.as_str(), deploy.run.clone())
            }
            None if text == "random" || text == "round-robin" => (
                text.as_str(),
                format!("exec '{}' stand-in {text}", own.display()),
            ),
            None => {
                return Err(wrong(
                    "unknown program; use NAME=COMMAND for another program",
                ))
            }
        };
        if !is_valid_name(name) {
            return Err(wrong("a name has letters, digits, '-', '_' and '.'"));
        }
        if programs.iter().any(|p| p.name == name) {
            return Err(wrong(&format!("duplicate program name {name}")));
        }
        programs.push(Program {
            name: name.into(),
            command,
            options: toml::Table::new(),
        });
    }
    Ok((programs, built))
}

/// Combines each program with each set of options.
///
/// # Errors
/// Returns the first invalid argument.
pub fn with_options(
    programs: Vec<Program>,
    named: &[String],
) -> Result<Vec<Program>, ProgramsError> {
    let mut sets: Vec<(&str, toml::Table)> = Vec::new();
    for text in named {
        let (name, keys) = text.split_once('=').unwrap_or((text, ""));
        let wrong = argument_error("--options", text);
        if !is_valid_name(name) {
            return Err(wrong("a name has letters, digits, '-', '_' and '.'"));
        }
        if sets.iter().any(|(n, _)| *n == name) {
            return Err(wrong("duplicate name"));
        }
        let read: Result<toml::Table, _> = toml::from_str(&format!("all = {{ {keys} }}"));
        let mut read = read.map_err(|error| wrong(&error.message().replace('\n', " ")))?;
        let Some(toml::Value::Table(keys)) = read.remove("all") else {
            return Err(wrong("expected NAME=KEY=VALUE, KEY=VALUE, ..."));
        };
        sets.push((name, keys));
    }
    if sets.is_empty() {
        return Ok(programs);
    }
    let one = programs.len() == 1;
    let with = |p: &Program, (name, keys): &(&str, toml::Table)| Program {
        name: if one {
            name.to_string()
        } else {
            format!("{}.{name}", p.name)
        },
        command: p.command.clone(),
        options: keys.clone(),
    };
    Ok(programs
        .iter()
        .flat_map(|p| sets.iter().map(move |set| with(p, set)))
        .collect())
}

/// Returns the commands of builds, by name.
///
/// # Errors
/// Returns the first invalid argument.
pub fn builds(
    named: &[String],
    experiment: &Experiment,
) -> Result<BTreeMap<String, String>, ProgramsError> {
    let mut builds = BTreeMap::new();
    for text in named {
        let wrong = argument_error("--build", text);
        let Some((name, command)) = text.split_once('=') else {
            return Err(wrong("expected NAME=COMMAND"));
        };
        if !experiment.builds.iter().any(|b| b.name == name) {
            return Err(wrong("the experiment has no build with this name"));
        }
        if builds
            .insert(name.to_string(), command.to_string())
            .is_some()
        {
            return Err(wrong("duplicate name"));
        }
    }
    Ok(builds)
}

/// Whether a name has only characters that are safe in paths and tables.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
