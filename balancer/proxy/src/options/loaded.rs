//! Loaded options with the source of each: printed, checked against the disk and applied. Owns no state.
use super::merged::flatten;
use super::{Options, OptionsError, Source};
use std::collections::BTreeMap;
use toml::Table;

/// Options and the source of each.
#[derive(Clone, Debug, PartialEq)]
pub struct Loaded {
    /// The options.
    pub options: Options,
    /// The source of each key that was set.
    pub(super) sources: BTreeMap<String, Source>,
    /// Environment variables that were read under their deprecated names.
    pub deprecated: Vec<String>,
}

impl Loaded {
    /// Returns the source of a key's value.
    pub fn source(&self, key: &str) -> Source {
        self.sources.get(key).cloned().unwrap_or(Source::Default)
    }

    /// Returns every key with its value in TOML syntax.
    pub fn entries(&self) -> Vec<(String, String)> {
        // Cannot fail: a table can represent all options.
        let table = Table::try_from(&self.options).unwrap_or_default();
        flatten(&table)
            .into_iter()
            .map(|(key, value)| (key, value.to_string()))
            .collect()
    }

    /// Checks on disk that the folders named by the options are writable.
    ///
    /// # Errors
    /// Names the key of a folder that is not writable.
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

    /// Checks that these options can replace `before` at runtime.
    ///
    /// # Errors
    /// Names the first changed key that cannot change at runtime.
    pub fn check_reloadable(&self, before: &Options) -> Result<(), OptionsError> {
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
            (
                "figures.log",
                now.metrics.is_enabled() == then.metrics.is_enabled(),
            ),
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
