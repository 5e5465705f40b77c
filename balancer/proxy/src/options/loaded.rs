//! Options that were read, with the source of each: what is shown, checked against the disk and applied. Owns no state.
use super::merged::flatten;
use super::{Options, OptionsError, Source};
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
        flatten(&table)
            .into_iter()
            .map(|(key, value)| (key, value.to_string()))
            .collect()
    }

    /// Checks whether what the options name can be used; looks at the disk.
    ///
    /// # Errors
    /// Names the key of a folder that cannot be written to.
    pub fn check_usable(&self) -> Result<(), OptionsError> {
        let folders = [
            ("figures.dir", &self.options.metrics.dir),
            ("recovery.dir", &self.options.recovery.dir),
        ];
        let named = folders
            .into_iter()
            .filter(|(_, dir)| !dir.as_os_str().is_empty());
        for (key, dir) in named {
            let created = tempfile::Builder::new()
                .prefix(".writable")
                .tempfile_in(dir);
            created.map_err(|cause| OptionsError::NotWritable {
                at: self.source(key),
                key,
                dir: dir.clone(),
                cause,
            })?;
        }
        Ok(())
    }

    /// Checks whether a running program can take these over from `before`.
    ///
    /// # Errors
    /// Names the first key that cannot change.
    pub fn check_follows(&self, before: &Options) -> Result<(), OptionsError> {
        let (now, then) = (&self.options, before);
        let (recovery, recovery_then) = (&now.recovery, &then.recovery);
        let compared = [
            ("log.format", now.log.format == then.log.format),
            ("figures.dir", now.metrics.dir == then.metrics.dir),
            ("recovery.dir", recovery.dir == recovery_then.dir),
            (
                "recovery.list_age",
                recovery.max_list_age == recovery_then.max_list_age,
            ),
            (
                "recovery.learned",
                recovery.restore_learned == recovery_then.restore_learned,
            ),
            (
                "recovery.every",
                recovery.interval == recovery_then.interval,
            ),
            (
                "recovery.start_timeout",
                recovery.start_timeout == recovery_then.start_timeout,
            ),
            (
                "recovery.drill",
                recovery.fault_file == recovery_then.fault_file,
            ),
            ("peers.on", now.peers.on == then.peers.on),
            (
                "peers.version_most",
                now.peers.max_version == then.peers.max_version,
            ),
            ("figures.log", now.metrics.is_on() == then.metrics.is_on()),
        ];
        let changed = compared.into_iter().find(|(_, is_same)| !is_same);
        match changed {
            None => Ok(()),
            Some((key, _)) => Err(OptionsError::Fixed {
                at: self.source(key),
                key,
            }),
        }
    }
}
