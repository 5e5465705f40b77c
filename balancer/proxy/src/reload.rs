//! What SIGHUP does. Owns no state.
use crate::config::{Config, Fixed};
use crate::log::Logging;
use crate::options::{Options, Sources};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Reads configuration and options again. Each is taken over whole or not at all, and by itself: what cannot be read,
/// and what cannot change while the program runs, changes nothing.
pub(crate) struct Reload<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// What stays as it was at the start.
    pub fixed: Fixed,
    /// Where discovery answers.
    pub discovery: watch::Sender<SocketAddr>,
    /// Where the options come from.
    pub sources: Sources,
    /// The options.
    pub options: watch::Sender<Options>,
    /// The log.
    pub logging: &'a Logging,
}

impl Reload<'_> {
    /// Does it, and tells of it.
    pub(crate) fn again(&self) {
        let name = self.name;
        match Config::load() {
            Ok(config) => {
                let at = config.discovery;
                let (kept, note) = self.kept(&config);
                tracing::info!(target: "run", event = "reloaded", discovery = %at, kept, "{name}: reloaded, discovery at {at}{note}");
                self.discovery.send_replace(at);
            }
            Err(error) => {
                tracing::warn!(target: "run", event = "not_reloaded", error, "{name}: not reloaded: {error}");
            }
        }
        let before = self.options.borrow().clone();
        // Folders can't change, so that no disk is asked for them here, where requests would wait for it.
        let loaded = self
            .sources
            .load()
            .and_then(|loaded| loaded.follows(&before).map(|()| loaded.options));
        match loaded {
            Ok(options) if options == before => {}
            Ok(options) => {
                self.logging.change(&options.log);
                self.options.send_replace(options);
                tracing::info!(target: "run", event = "options_reloaded", "{name}: options reloaded");
            }
            Err(error) => {
                tracing::warn!(target: "run", event = "options_not_reloaded", error, "{name}: options not reloaded: {error}");
            }
        }
    }

    /// The fields that stay as they were though the configuration says something else, and a remark on them.
    fn kept(&self, config: &Config) -> (String, String) {
        let kept = self.fixed.differing(config).join(", ");
        let note = match kept.as_str() {
            "" => String::new(),
            kept => format!("; as before until the next start: {kept}"),
        };
        (kept, note)
    }
}
