//! Loads options from the file, the environment and the flags. Owns no state.
use super::merged::{flatten, parse_value, Merged, DEPRECATED_PREFIX, PREFIX};
use super::{Loaded, Options, OptionsError, Source};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::Table;

/// The variable that names the options file. It does not set an option.
pub const FILE_VARIABLE: &str = "BALANCER_OPTIONS";
/// The deprecated name of [`FILE_VARIABLE`], read if that one is not set.
pub const DEPRECATED_FILE_VARIABLE: &str = "HERONDOCK_OPTIONS";

/// The sources that options are loaded from.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The path of the file.
    pub file: Option<PathBuf>,
    /// Whether the file was named by [`DEPRECATED_FILE_VARIABLE`].
    pub deprecated_file: bool,
    /// The values of the `--set KEY=VALUE` flags, in order.
    pub set: Vec<String>,
}

impl Sources {
    /// Loads all sources again. Flags override the environment, which overrides the file.
    ///
    /// # Errors
    /// Names the source and the invalid key.
    pub fn load(&self) -> Result<Loaded, OptionsError> {
        let text = match &self.file {
            Some(path) => {
                let text = std::fs::read_to_string(path).map_err(|cause| OptionsError::Read {
                    path: path.clone(),
                    cause,
                })?;
                Some((path.as_path(), text))
            }
            None => None,
        };
        let variables = variables()?;
        let file = text.as_ref().map(|(path, text)| (*path, text.as_str()));
        let mut loaded = load(file, variables.into_iter(), &self.set)?;
        loaded.deprecated.extend(
            self.deprecated_file
                .then(|| DEPRECATED_FILE_VARIABLE.to_owned()),
        );
        Ok(loaded)
    }
}

/// Returns the environment variables that set options. Other variables need not be UTF-8.
fn variables() -> Result<Vec<(String, String)>, OptionsError> {
    let mut variables = Vec::new();
    for (name, value) in std::env::vars_os() {
        let name = name.to_string_lossy().into_owned();
        let sets_option = name.starts_with(PREFIX) || name.starts_with(DEPRECATED_PREFIX);
        if !sets_option || name == DEPRECATED_FILE_VARIABLE {
            continue;
        }
        let value = value
            .into_string()
            .map_err(|_| OptionsError::NotUtf8(name.clone()))?;
        variables.push((name, value));
    }
    // Variables with the deprecated prefix come first, so that those with the current prefix override them.
    variables.sort_by_key(|(name, _)| name.starts_with(PREFIX));
    Ok(variables)
}

/// Merges the sources.
///
/// # Errors
/// Names the source and the invalid key.
pub fn load(
    file: Option<(&Path, &str)>,
    variables: impl Iterator<Item = (String, String)>,
    set: &[String],
) -> Result<Loaded, OptionsError> {
    let mut variables = variables.peekable();
    if file.is_none() && set.is_empty() && variables.peek().is_none() {
        return Ok(Loaded {
            options: Options::default(),
            sources: BTreeMap::new(),
            deprecated: Vec::new(),
        });
    }
    let defaults = Table::try_from(Options::default()).map_err(OptionsError::Defaults)?;
    let known: Vec<String> = flatten(&defaults).into_iter().map(|(key, _)| key).collect();
    let mut merged = Merged {
        table: defaults,
        options: Options::default(),
        sources: BTreeMap::new(),
        known,
    };
    if let Some((path, text)) = file {
        merged.merge_file(path, text)?;
    }
    let mut deprecated = Vec::new();
    for (name, value) in variables {
        let key = merged.key_of(&name)?;
        if name.starts_with(DEPRECATED_PREFIX) {
            deprecated.push(name.clone());
        }
        merged.set(&key, parse_value(&value), Source::Variable(name))?;
    }
    for text in set {
        let (key, value) = text
            .split_once('=')
            .ok_or_else(|| OptionsError::NoValue(text.clone()))?;
        merged.set(key.trim(), parse_value(value.trim()), Source::Flag)?;
    }
    Ok(Loaded {
        options: merged.options,
        sources: merged.sources,
        deprecated,
    })
}
