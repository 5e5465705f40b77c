//! Options that were read, with the source of each: what is shown, checked against the disk and taken over. Owns no
//! state.
use super::merged::flat;
use super::{Options, Source};
use std::collections::BTreeMap;
use toml::Table;

/// Options and where each came from.
#[derive(Clone, Debug, PartialEq)]
pub struct Loaded {
    /// The options.
    pub options: Options,
    /// The source of each key that somebody set.
    pub(super) sources: BTreeMap<String, Source>,
    /// Variables of the environment that were read under the names of an earlier version.
    pub deprecated: Vec<String>,
}

impl Loaded {
    /// Where a key's value came from.
    pub fn source(&self, key: &str) -> Source {
        self.sources.get(key).cloned().unwrap_or(Source::Default)
    }

    /// Every key with its value as it would stand in a file.
    pub fn shown(&self) -> Vec<(String, String)> {
        // Options are made of what a table can hold.
        let table = Table::try_from(&self.options).unwrap_or_default();
        flat(&table)
            .into_iter()
            .map(|(key, value)| (key, value.to_string()))
            .collect()
    }

    /// Whether what the options name can be used; looks at the disk.
    pub fn usable(&self) -> Result<(), String> {
        let folders = [
            ("figures.dir", &self.options.figures.dir),
            ("recovery.dir", &self.options.recovery.dir),
        ];
        for (key, dir) in folders
            .into_iter()
            .filter(|(_, dir)| !dir.as_os_str().is_empty())
        {
            let made = tempfile::Builder::new()
                .prefix(".writable")
                .tempfile_in(dir);
            made.map_err(|e| {
                format!(
                    "{}: {key}: {}: can't be written to: {e}",
                    self.source(key),
                    dir.display()
                )
            })?;
        }
        Ok(())
    }

    /// Whether a running program can take these over from `before`; names the first key that it can't.
    pub fn follows(&self, before: &Options) -> Result<(), String> {
        let (now, then) = (&self.options, before);
        for (key, same) in [
            ("log.format", now.log.format == then.log.format),
            ("figures.dir", now.figures.dir == then.figures.dir),
            ("recovery.dir", now.recovery.dir == then.recovery.dir),
            (
                "recovery.list_age",
                now.recovery.list_age == then.recovery.list_age,
            ),
            (
                "recovery.learned",
                now.recovery.learned == then.recovery.learned,
            ),
            ("recovery.every", now.recovery.every == then.recovery.every),
            ("recovery.drill", now.recovery.drill == then.recovery.drill),
            ("peers.on", now.peers.on == then.peers.on),
            (
                "peers.version_most",
                now.peers.version_most == then.peers.version_most,
            ),
            ("figures.log", now.figures.on() == then.figures.on()),
        ] {
            if !same {
                return Err(format!(
                    "{}: {key}: can't change while the program runs",
                    self.source(key)
                ));
            }
        }
        Ok(())
    }
}
