//! Merges the sources key by key and validates each value immediately. Owns the table of options while it is loaded.
use super::error::UnknownKey;
use super::{Options, OptionsError, Source, LOG_TARGETS};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use toml::{Table, Value};
use toml_edit::Document;

/// Prefix of environment variables that set options. The key follows in upper case, with `_` for each dot.
pub(super) const PREFIX: &str = "BALANCER_OPTION_";
/// Deprecated prefix of such variables. They are still read, with a warning; variables with [`PREFIX`] override them.
pub(super) const DEPRECATED_PREFIX: &str = "HERONDOCK_";
/// The newest supported format version of the options file. A file that states a later one is rejected.
const NEWEST_VERSION: i64 = 1;
/// Tables reserved for later versions: a key in one of them is not reported as misspelled.
const LATER_TABLES: [&str; 3] = ["zones", "shared", "duties"];

/// Parses the value of a variable or a flag: as TOML, or else as a plain string.
pub(super) fn parse_value(text: &str) -> Value {
    let table: Result<Table, _> = toml::from_str(&format!("v = {text}"));
    table
        .ok()
        .and_then(|mut t| t.remove("v"))
        .unwrap_or_else(|| Value::String(text.into()))
}

/// Returns every leaf key with its value. Each log target in `log.parts` is a separate key.
pub(super) fn flatten(table: &Table) -> Vec<(String, Value)> {
    let mut all = Vec::new();
    for (name, value) in table {
        match value {
            Value::Table(inner) => {
                all.extend(
                    flatten(inner)
                        .into_iter()
                        .map(|(key, value)| (format!("{name}.{key}"), value)),
                );
            }
            value => all.push((name.clone(), value.clone())),
        }
    }
    all
}

/// The sources read so far, merged.
pub(super) struct Merged {
    pub(super) table: Table,
    /// The validated options in `table`.
    pub(super) options: Options,
    pub(super) sources: BTreeMap<String, Source>,
    pub(super) known: Vec<String>,
}

/// An options file with the lines of its keys.
struct OptionsFile<'a> {
    path: &'a Path,
    text: &'a str,
    document: Document<&'a str>,
}

impl<'a> OptionsFile<'a> {
    fn parse(path: &'a Path, text: &'a str) -> Result<OptionsFile<'a>, OptionsError> {
        let document = Document::parse(text).map_err(|error| OptionsError::Syntax {
            path: path.into(),
            line: error.span().map_or(1, |span| line_at(text, span.start)),
            message: error.message().trim().replace('\n', " "),
        })?;
        Ok(OptionsFile {
            path,
            text,
            document,
        })
    }

    fn table(&self) -> Result<Table, OptionsError> {
        toml::from_str(self.text).map_err(|cause| OptionsError::Table {
            path: self.path.into(),
            cause,
        })
    }

    /// Returns the line of a key, or of its longest prefix that is in the file.
    fn line_of(&self, key: &str) -> usize {
        let (mut item, mut span) = (self.document.as_item(), None);
        for name in key.split('.') {
            let Some(table) = item.as_table_like() else {
                break;
            };
            let Some((key, next)) = table.get_key_value(name) else {
                break;
            };
            span = key.span().or_else(|| next.span()).or(span);
            item = next;
        }
        span.map_or(1, |span| line_at(self.text, span.start))
    }
}

/// Returns the line number at an offset, counted from one.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

impl Merged {
    /// Merges the contents of a file.
    pub(super) fn merge_file(&mut self, path: &Path, text: &str) -> Result<(), OptionsError> {
        let file = OptionsFile::parse(path, text)?;
        let table = file.table()?;
        match table.get("version") {
            None => {}
            Some(Value::Integer(version)) if (1..=NEWEST_VERSION).contains(version) => {}
            Some(version) => {
                return Err(OptionsError::Version {
                    path: path.into(),
                    line: file.line_of("version"),
                    found: version.to_string(),
                    newest: NEWEST_VERSION,
                });
            }
        }
        let options = flatten(&table).into_iter();
        for (key, value) in options.filter(|(key, _)| key != "version") {
            let line = file.line_of(&key);
            self.set(&key, value, Source::File(path.into(), line))?;
        }
        self.check_empty_tables(&file, &table)
    }

    /// Checks the names of empty tables: these set nothing, but may be misspelled.
    fn check_empty_tables(
        &self,
        file: &OptionsFile<'_>,
        table: &Table,
    ) -> Result<(), OptionsError> {
        let empty = table
            .iter()
            .filter(|(_, value)| value.as_table().is_some_and(Table::is_empty));
        for (name, _) in empty {
            let is_known = |key: &String| key.split('.').next() == Some(name);
            if !self.known.iter().any(is_known) {
                let line = file.line_of(name);
                return Err(OptionsError::UnknownKey {
                    at: format!("{}:{line}", file.path.display()),
                    unknown: self.unknown(name),
                });
            }
        }
        Ok(())
    }

    /// Returns every key that can be set.
    fn settable_keys(&self) -> impl Iterator<Item = String> + '_ {
        let targets = LOG_TARGETS
            .iter()
            .map(|target| format!("log.parts.{target}"));
        self.known.iter().cloned().chain(targets)
    }

    /// Classifies an unknown key and suggests a similar known one.
    fn unknown(&self, key: &str) -> UnknownKey {
        let table = key.split('.').next().unwrap_or(key);
        if LATER_TABLES.contains(&table) {
            return UnknownKey::ReservedTable {
                key: key.into(),
                table: table.into(),
            };
        }
        let similarity = |known: &String| strsim::jaro_winkler(known, key);
        let nearest = self
            .settable_keys()
            .chain(["log".into(), "figures".into()])
            .max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
        UnknownKey::Misspelled {
            key: key.into(),
            nearest: nearest.unwrap_or_default(),
        }
    }

    /// Returns the key that a variable sets.
    pub(super) fn key_of(&self, variable: &str) -> Result<String, OptionsError> {
        let key = variable
            .strip_prefix(PREFIX)
            .or_else(|| variable.strip_prefix(DEPRECATED_PREFIX))
            .unwrap_or(variable);
        let wanted = key.to_ascii_lowercase();
        let found = self
            .settable_keys()
            .find(|key| key.replace('.', "_") == wanted);
        found.ok_or_else(|| OptionsError::UnknownKey {
            at: variable.into(),
            unknown: self.unknown(&wanted.replacen('_', ".", 1)),
        })
    }

    /// Sets one key and validates the result immediately, so that an error names the source.
    pub(super) fn set(
        &mut self,
        key: &str,
        value: Value,
        source: Source,
    ) -> Result<(), OptionsError> {
        let is_target_level = key
            .strip_prefix("log.parts.")
            .is_some_and(|target| LOG_TARGETS.contains(&target));
        if !is_target_level && !self.known.iter().any(|known| known == key) {
            return Err(OptionsError::UnknownKey {
                at: source.to_string(),
                unknown: self.unknown(key),
            });
        }
        let shown = value.to_string();
        self.insert(key, value, &source)?;
        let read: Result<Options, _> = Options::deserialize(self.table.clone());
        let options = read.map_err(|error| OptionsError::Type {
            at: source.clone(),
            key: key.into(),
            value: shown.clone(),
            message: error.message().trim().replace('\n', " "),
        })?;
        options.check().map_err(|cause| OptionsError::Invalid {
            at: source.clone(),
            key: key.into(),
            value: shown,
            cause,
        })?;
        self.options = options;
        self.sources.insert(key.into(), source);
        Ok(())
    }

    /// Inserts the value of a known key into the table.
    fn insert(&mut self, key: &str, value: Value, source: &Source) -> Result<(), OptionsError> {
        let mut names: Vec<&str> = key.split('.').collect();
        let last = names.pop().unwrap_or(key);
        let mut table = &mut self.table;
        for name in names {
            let inner = table
                .entry(name)
                .or_insert_with(|| Value::Table(Table::new()));
            table = inner
                .as_table_mut()
                .ok_or_else(|| OptionsError::NotATable {
                    at: source.clone(),
                    key: key.into(),
                })?;
        }
        table.insert(last.into(), value);
        Ok(())
    }
}
