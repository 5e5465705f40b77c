//! The reload on SIGHUP. Owns the fixed part of the configuration, and the channels for the parts that can change.
use crate::config::{Config, FixedConfig};
use crate::log::Logging;
use crate::options::{Options, OptionsError, Sources};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Reloads the configuration and the options, independently of each other. The configuration takes effect where it can
/// change at runtime. Options are applied completely or not at all. On an error, nothing changes.
pub(crate) struct Reload<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// The configuration that a reload cannot change.
    pub fixed: FixedConfig,
    /// The address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// The sources of the options.
    pub sources: Sources,
    /// The current options.
    pub options: watch::Sender<Options>,
    /// The log.
    pub logging: &'a Logging,
}

impl Reload<'_> {
    /// Reloads both and logs the results.
    pub(crate) fn reload(&self) {
        self.reload_config();
        self.reload_options();
    }

    fn reload_config(&self) {
        let name = self.name;
        match Config::load() {
            Ok(config) => {
                let address = config.discovery;
                let unchanged = self.fixed.changed_fields(&config).join(", ");
                let note = match unchanged.as_str() {
                    "" => String::new(),
                    fields => format!("; restart needed to change: {fields}"),
                };
                tracing::info!(target: "run", event = "reloaded", discovery = %address, kept = unchanged, "{name}: reloaded, discovery at {address}{note}");
                self.discovery.send_replace(address);
            }
            Err(error) => {
                let error = error.to_string();
                tracing::warn!(target: "run", event = "not_reloaded", error, "{name}: not reloaded: {error}");
            }
        }
    }

    fn reload_options(&self) {
        let name = self.name;
        let before = self.options.borrow().clone();
        match self.load_options(&before) {
            Ok(options) if options == before => {}
            Ok(options) => {
                self.logging.reconfigure(&options.log);
                self.options.send_replace(options);
                tracing::info!(target: "run", event = "options_reloaded", "{name}: options reloaded");
            }
            Err(error) => {
                let error = error.to_line();
                tracing::warn!(target: "run", event = "options_not_reloaded", error, "{name}: options not reloaded: {error}");
            }
        }
    }

    /// Loads the options without checking the folders: these cannot change, and disk access here would block requests.
    fn load_options(&self, before: &Options) -> Result<Options, OptionsError> {
        let loaded = self.sources.load()?;
        loaded.check_reloadable(before)?;
        Ok(loaded.options)
    }
}
