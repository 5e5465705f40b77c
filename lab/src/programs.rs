//! What the command line says that is to be played: programs, sets of options, commands of builds.
use crate::experiment::Experiment;
use crate::run::Program;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// What the deploy file names.
#[derive(Deserialize)]
pub struct Deploy {
    /// The command that builds the balancer.
    pub build: String,
    /// The command that becomes one.
    pub run: String,
}

/// Reads the deploy file.
pub fn deploy(root: &Path) -> Result<Deploy, String> {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    toml::from_str(&text).map_err(|e| format!("{}: {}", path.display(), e.message()))
}

/// The programs that were named, with their commands, and whether the balancer must be built.
pub fn programs(named: &[String], deploy: &Deploy) -> Result<(Vec<Program>, bool), String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let default = ["balancer".to_string()];
    let named = if named.is_empty() {
        &default[..]
    } else {
        named
    };
    let mut programs: Vec<Program> = Vec::new();
    let mut built = false;
    for text in named {
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
                return Err(format!(
                    "--program {text}: no such program; NAME=COMMAND names one of your own"
                ))
            }
        };
        if !plain_name(name) {
            return Err(format!(
                "--program {text}: a name has letters, digits, '-', '_' and '.'"
            ));
        }
        if programs.iter().any(|p| p.name == name) {
            return Err(format!("--program {text}: {name} is named twice"));
        }
        programs.push(Program {
            name: name.into(),
            command,
            options: toml::Table::new(),
        });
    }
    Ok((programs, built))
}

/// Each program with each set of options.
pub fn with_options(programs: Vec<Program>, named: &[String]) -> Result<Vec<Program>, String> {
    let mut sets: Vec<(&str, toml::Table)> = Vec::new();
    for text in named {
        let (name, keys) = text.split_once('=').unwrap_or((text, ""));
        let wrong = |what: &str| format!("--options {text}: {what}");
        if !plain_name(name) {
            return Err(wrong("a name has letters, digits, '-', '_' and '.'"));
        }
        if sets.iter().any(|(n, _)| *n == name) {
            return Err(wrong("named twice"));
        }
        let read: Result<toml::Table, _> = toml::from_str(&format!("all = {{ {keys} }}"));
        let mut read = read.map_err(|e| wrong(&e.message().replace('\n', " ")))?;
        let Some(toml::Value::Table(keys)) = read.remove("all") else {
            return Err(wrong("no options"));
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

/// Commands of builds, by name.
pub fn builds(named: &[String], e: &Experiment) -> Result<BTreeMap<String, String>, String> {
    let mut builds = BTreeMap::new();
    for text in named {
        let wrong = |what: &str| Err(format!("--build {text}: {what}"));
        let Some((name, command)) = text.split_once('=') else {
            return wrong("NAME=COMMAND is wanted");
        };
        if !e.builds.iter().any(|b| b.name == name) {
            return wrong("the experiment has no build of that name");
        }
        if builds
            .insert(name.to_string(), command.to_string())
            .is_some()
        {
            return wrong("named twice");
        }
    }
    Ok(builds)
}

fn plain_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
