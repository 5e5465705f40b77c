//! What `check` prints. Owns no state.
use crate::config::Config;
use crate::options::Loaded;
use crate::peers;

/// What a balancer would start with, a line each.
pub(crate) fn told(config: &Config, loaded: &Loaded) -> String {
    let d = &config.deployment;
    let known = config.known.as_ref().map_or(0, |k| k.entries.len());
    let mut text = format!(
        "{}: listens at {}, discovery at {}\n{} classes, {} tenants, {} zones, {known} upstreams known, {} descriptors\n",
        config.name,
        config.listen,
        config.discovery,
        d.classes.len(),
        d.tenants.len(),
        d.zones.len(),
        config.sockets
    );
    if let Some(error) = &config.known_error {
        text.push_str(&format!("{error}; it would start without it\n"));
    }
    if loaded.options.peers.on {
        let said = match peers::addresses(d, &config.peers) {
            Ok(at) => format!("on, one of {}, listens at {}", at.peers.len(), at.listen),
            Err(error) => format!("off, {error}"),
        };
        text.push_str(&format!("peers: {said}\n"));
    }
    for (key, value) in loaded.shown() {
        let source = loaded.source(&key);
        text.push_str(&format!("{key:<24} {value:<24} {source}\n"));
    }
    text
}
