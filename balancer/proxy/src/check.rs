//! The report printed by the `check` command. Owns no state.
use crate::config::Config;
use crate::options::Loaded;
use crate::peers;

/// Describes the configuration and options that a balancer would start with, one item per line.
pub(crate) fn report(config: &Config, loaded: &Loaded) -> String {
    let deployment = &config.deployment;
    let known = config.known.as_ref().map_or(0, |known| known.entries.len());
    let mut text = format!(
        "{}: listens at {}, discovery at {}\n{} classes, {} tenants, {} zones, {known} upstreams known, {} descriptors\n",
        config.name,
        config.listen,
        config.discovery,
        deployment.classes.len(),
        deployment.tenants.len(),
        deployment.zones.len(),
        config.sockets
    );
    if let Some(error) = &config.known_error {
        text.push_str(&format!("{error}; the balancer would start without it\n"));
    }
    if loaded.options.peers.on {
        let state = match peers::addresses(deployment, &config.peers) {
            Ok(addresses) => {
                let (replicas, listen) = (addresses.peers.len(), addresses.listen);
                format!("on, one of {replicas}, listens at {listen}")
            }
            Err(error) => format!("off, {error}"),
        };
        text.push_str(&format!("peers: {state}\n"));
    }
    for (key, value) in loaded.entries() {
        let source = loaded.source(&key);
        text.push_str(&format!("{key:<24} {value:<24} {source}\n"));
    }
    text
}
