//! The reload on SIGHUP. Owns what stays as it was at the start, and the channels of what may change.
use crate::config::{Config, Fixed};
use crate::log::Logging;
use crate::options::{Options, OptionsError, Sources};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Reads configuration and options again. Each is applied completely or not at all, and by itself: what cannot be read, and
/// what cannot change while the program runs, changes nothing.
pub(crate) struct Reload<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// What stays as it was at the start.
    pub fixed: Fixed,
    /// Where discovery listens.
    pub discovery: watch::Sender<SocketAddr>,
    /// Where the options come from.
    pub sources: Sources,
    /// The options.
    pub options: watch::Sender<Options>,
    /// The log.
    pub logging: &'a Logging,
}

impl Reload<'_> {
    /// Reloads, and logs the result.
    pub(crate) fn reload(&self) {
        self.reload_config();
        self.reload_options();
    }

    fn reload_config(&self) {
        let name = self.name;
        match Config::load() {
            Ok(config) => {
                let address = config.discovery;
                let unchanged = self.fixed.differing(&config).join(", ");
                let note = match unchanged.as_str() {
                    "" => String::new(),
                    fields => format!("; as before until the next start: {fields}"),
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

    /// Folders can't change, so that no disk is asked for them here, where requests would wait for it.
    fn load_options(&self, before: &Options) -> Result<Options, OptionsError> {
        let loaded = self.sources.load()?;
        loaded.check_follows(before)?;
        Ok(loaded.options)
    }
}
