//! Test helpers: configurations, sources and receivers.
#![allow(dead_code)]
use magpiegap_distribution::{ChunkOutcome, ConfigurationReceiver, ConfigurationSource};
use magpiegap_jobs::{Configuration, Route, Service};
use magpiegap_protocol::{fnv1a, ConfigurationChunk};
use std::sync::Arc;

/// A pseudo-random name. Consecutive names do not compress against each other, like real names.
fn random_name(seed: u64) -> String {
    format!("{:016x}", fnv1a(&seed.to_le_bytes()))
}

/// A route whose name, host and prefix are derived from its number.
pub(crate) fn route(number: u64) -> Route {
    const HOSTS: u64 = 1 << 40;
    const PREFIXES: u64 = 1 << 41;
    Route {
        name: format!("r-{}", &random_name(number)[8..]),
        hostname: format!("{}.example", &random_name(HOSTS + number)[10..]),
        path_prefix: format!("/{}/", &random_name(PREFIXES + number)[8..]),
        timeout_ms: 3000,
        target_latency_ms: 250,
        priority: 0,
        service: "s".to_owned(),
        max_attempts: 3,
        stretch: 1.5,
    }
}

/// A configuration with the routes of these numbers.
pub(crate) fn configuration(version: u64, routes: impl IntoIterator<Item = u64>) -> Configuration {
    let service = Service {
        name: "s".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 64,
        rejects_excess_tasks: true,
    };
    Configuration {
        version,
        routes: routes
            .into_iter()
            .map(|number| Arc::new(route(number)))
            .collect(),
        services: [("s".to_owned(), service)].into(),
        ..Configuration::default()
    }
}

/// A source to which these configurations were pushed in order.
pub(crate) fn source(
    configurations: impl IntoIterator<Item = Configuration>,
) -> ConfigurationSource {
    let mut source = ConfigurationSource::default();
    configurations
        .into_iter()
        .for_each(|configuration| source.push(configuration));
    source
}

/// Fetches chunks until the receiver has the newest version of the source. Returns the number of bytes fetched.
pub(crate) fn fetch_all(
    source: &mut ConfigurationSource,
    receiver: &mut ConfigurationReceiver,
) -> usize {
    let mut bytes = 0;
    while let Some(chunk) = source.chunk(&receiver.fetch()) {
        bytes += chunk.bytes.len();
        let received = receiver.receive_chunk(chunk);
        assert!(
            matches!(
                received,
                ChunkOutcome::Configuration(_) | ChunkOutcome::Incomplete
            ),
            "{received:?}"
        );
    }
    bytes
}

/// The next chunk that the receiver requests. Panics if the source has none.
pub(crate) fn next_chunk(
    source: &mut ConfigurationSource,
    receiver: &ConfigurationReceiver,
) -> ConfigurationChunk {
    source
        .chunk(&receiver.fetch())
        .expect("the source has a chunk for the receiver")
}
