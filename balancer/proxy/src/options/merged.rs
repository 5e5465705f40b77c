//! Puts what the sources say together, key by key; each is checked at once. Owns the table of options while they are
//! read.
use super::{Options, Source, PARTS};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use toml::{Table, Value};

/// Variables of the environment that set options begin so; the key follows in capitals, with `_` for each dot.
pub(super) const PREFIX: &str = "BALANCER_OPTION_";
/// How such variables began in earlier versions. They are read still, before those of today, with a warning.
pub(super) const OLD_PREFIX: &str = "HERONDOCK_";
/// The form of the options file that this program writes of and reads; one that names a later form is refused.
const VERSION: i64 = 1;
/// Parts of the program that are on the way: their tables have names already, so that a file for a later version is
/// not taken for a slip of the pen.
const LATER: [&str; 3] = ["zones", "shared", "duties"];

/// A value as it stands in a variable or a flag: TOML, or else plain text.
pub(super) fn plain(text: &str) -> Value {
    let table: Result<Table, _> = toml::from_str(&format!("v = {text}"));
    table
        .ok()
        .and_then(|mut t| t.remove("v"))
        .unwrap_or_else(|| Value::String(text.into()))
}

/// Every key with a value that is no table, and its value. The parts of the log's levels are keys of their own.
pub(super) fn flat(table: &Table) -> Vec<(String, Value)> {
    let mut all = Vec::new();
    for (name, value) in table {
        match value {
            Value::Table(inner) => {
                all.extend(
                    flat(inner)
                        .into_iter()
                        .map(|(key, value)| (format!("{name}.{key}"), value)),
                );
            }
            value => all.push((name.clone(), value.clone())),
        }
    }
    all
}

/// What the sources read so far come to.
pub(super) struct Merged {
    pub(super) table: Table,
    /// What `table` says, checked.
    pub(super) options: Options,
    pub(super) sources: BTreeMap<String, Source>,
    pub(super) known: Vec<String>,
}

impl Merged {
    /// Takes a file's text.
    pub(super) fn file(&mut self, path: &Path, text: &str) -> Result<(), String> {
        let shown = path.display();
        let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
        let document = toml_edit::Document::parse(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_at(s.start));
            format!("{shown}:{line}: {}", e.message().trim().replace('\n', " "))
        })?;
        let line_of = |key: &str| {
            let (mut item, mut at) = (document.as_item(), None);
            for name in key.split('.') {
                let Some(table) = item.as_table_like() else {
                    break;
                };
                let Some((key, next)) = table.get_key_value(name) else {
                    break;
                };
                at = key.span().or_else(|| next.span()).or(at);
                item = next;
            }
            at.map_or(1, |s| line_at(s.start))
        };
        let table: Table = toml::from_str(text).map_err(|e| format!("{shown}: {}", e.message()))?;
        match table.get("version") {
            None => {}
            Some(Value::Integer(version)) if (1..=VERSION).contains(version) => {}
            Some(version) => {
                let line = line_of("version");
                return Err(format!(
                    "{shown}:{line}: version: {version} is not known; this program reads 1 to {VERSION}"
                ));
            }
        }
        for (key, value) in flat(&table).into_iter().filter(|(key, _)| key != "version") {
            let line = line_of(&key);
            self.set(&key, value, Source::File(path.into(), line))?;
        }
        // A table without a key says nothing, but its name may be a slip.
        for (name, _) in table
            .iter()
            .filter(|(_, v)| v.as_table().is_some_and(Table::is_empty))
        {
            if !self.known.iter().any(|k| k.split('.').next() == Some(name)) {
                return Err(format!("{shown}:{}: {}", line_of(name), self.unknown(name)));
            }
        }
        Ok(())
    }

    /// What a key that is not known should perhaps have been.
    fn unknown(&self, key: &str) -> String {
        let first = key.split('.').next().unwrap_or(key);
        if LATER.contains(&first) {
            return format!("{key}: this version has no part {first:?}");
        }
        let parts = PARTS.iter().map(|p| format!("log.parts.{p}"));
        let all = self
            .known
            .iter()
            .cloned()
            .chain(parts)
            .chain(["log".into(), "figures".into()]);
        let near = all
            .max_by(|a, b| strsim::jaro_winkler(a, key).total_cmp(&strsim::jaro_winkler(b, key)));
        format!(
            "{key}: unknown; the nearest known key is {}",
            near.unwrap_or_default()
        )
    }

    /// The key that a variable sets.
    pub(super) fn key_of(&self, variable: &str) -> Result<String, String> {
        let key = variable
            .strip_prefix(PREFIX)
            .or_else(|| variable.strip_prefix(OLD_PREFIX))
            .unwrap_or(variable);
        let wanted = key.to_ascii_lowercase();
        let parts = PARTS.iter().map(|p| format!("log.parts.{p}"));
        let found = self
            .known
            .iter()
            .cloned()
            .chain(parts)
            .find(|key| key.replace('.', "_") == wanted);
        found.ok_or_else(|| {
            format!(
                "{variable}: {}",
                self.unknown(&wanted.replacen('_', ".", 1))
            )
        })
    }

    /// Sets one key. What comes of it is checked at once, so that what is wrong is named with its source.
    pub(super) fn set(&mut self, key: &str, value: Value, source: Source) -> Result<(), String> {
        let part = key
            .strip_prefix("log.parts.")
            .is_some_and(|part| PARTS.contains(&part));
        if !part && !self.known.iter().any(|k| k == key) {
            return Err(format!("{source}: {}", self.unknown(key)));
        }
        let mut names: Vec<&str> = key.split('.').collect();
        let last = names.pop().unwrap_or(key);
        let mut table = &mut self.table;
        for name in names {
            let inner = table
                .entry(name)
                .or_insert_with(|| Value::Table(Table::new()));
            table = inner
                .as_table_mut()
                .ok_or_else(|| format!("{source}: {key}: no table"))?;
        }
        let shown = value.to_string();
        table.insert(last.into(), value);
        let read: Result<Options, _> = Options::deserialize(self.table.clone());
        let options = read.map_err(|e| {
            let what = e.message().trim().replace('\n', " ");
            format!("{source}: {key}: {shown}: {what}")
        })?;
        options
            .check()
            .map_err(|what| format!("{source}: {key}: {shown}: {what}"))?;
        self.options = options;
        self.sources.insert(key.into(), source);
        Ok(())
    }
}
