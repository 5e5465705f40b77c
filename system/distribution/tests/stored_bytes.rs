//! Compatibility of the encoding of configuration changes, plain and compressed.
//!
//! Changes are stored in the log and in snapshots, and agents and proxies of other versions receive them during a
//! rolling update. So these bytes must not change when types are renamed. The output of the compressor may differ
//! between versions of its library, so for compressed changes the tests compare the bytes before compression, and
//! decode stored ones.
#[path = "../../protocol/tests/golden/mod.rs"]
mod golden;

use flate2::read::DeflateDecoder;
use golden::{hex, Stored};
use googletest::prelude::*;
use magpiegap_distribution::{
    ChunkOutcome, ConfigurationChange, ConfigurationReceiver, ConfigurationSource,
};
use magpiegap_jobs::{Configuration, Limits, Route, Service};
use magpiegap_protocol::{decode, ConfigurationChunk, ConfigurationFetch};
use std::{io::Read, sync::Arc};

const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

fn route(number: u32) -> Route {
    Route {
        name: format!("films-{number}"),
        hostname: "films.example".to_owned(),
        path_prefix: format!("/render/{number}/"),
        timeout_ms: 3000 + u64::from(number),
        target_latency_ms: 250,
        priority: 26,
        service: "render".to_owned(),
        max_attempts: 27,
        stretch: 1.25,
    }
}

fn configuration(version: u64, routes: impl IntoIterator<Item = u32>) -> Configuration {
    let service = Service {
        name: "render".to_owned(),
        health_path: "/healthy".to_owned(),
        max_connections: 24,
        rejects_excess_tasks: true,
    };
    Configuration {
        version,
        routes: routes
            .into_iter()
            .map(|number| Arc::new(route(number)))
            .collect(),
        services: [("render".to_owned(), service)].into(),
        limits: Limits {
            max_body_bytes: 100_000,
            max_header_bytes: 9000,
            idle_timeout_ms: 25_000,
        },
    }
}

fn older() -> Configuration {
    configuration(28, 1..4)
}

/// A small change of the older configuration: the first route is removed, another one is added.
fn with_small_change() -> Configuration {
    configuration(300, 2..5)
}

/// A change of the older configuration that is large enough to be compressed.
fn with_large_change() -> Configuration {
    configuration(301, 2..12)
}

fn source(configurations: impl IntoIterator<Item = Configuration>) -> ConfigurationSource {
    let mut source = ConfigurationSource::default();
    configurations
        .into_iter()
        .for_each(|configuration| source.push(configuration));
    source
}

fn stored() -> Stored {
    Stored::read(include_str!("golden/changes.hex"))
}

fn stored_bytes(name: &str) -> Vec<u8> {
    stored().bytes(name).unwrap_or_default()
}

/// The first chunk for a receiver with version `base`.
fn chunk(source: &mut ConfigurationSource, base: u64) -> Option<ConfigurationChunk> {
    source.chunk(&ConfigurationFetch {
        base,
        ..ConfigurationFetch::default()
    })
}

/// The first chunk of a complete configuration.
fn complete_chunk(configuration: Configuration) -> ConfigurationChunk {
    chunk(&mut source([configuration]), 0).unwrap_or_default()
}

fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let (&DEFLATED, compressed) = bytes.split_first()? else {
        return None;
    };
    let mut plain = Vec::new();
    DeflateDecoder::new(compressed)
        .read_to_end(&mut plain)
        .ok()?;
    Some(plain)
}

#[googletest::test]
fn every_change_keeps_its_bytes() {
    let mut stored = stored();
    let empty = Configuration::default();
    stored.keeps(
        "small-change",
        &ConfigurationChange::between(&older(), &with_small_change()),
    );
    stored.keeps(
        "large-change",
        &ConfigurationChange::between(&older(), &with_large_change()),
    );
    stored.keeps(
        "small-complete",
        &ConfigurationChange::between(&empty, &configuration(28, 1..2)),
    );
    stored.keeps(
        "large-complete",
        &ConfigurationChange::between(&empty, &with_large_change()),
    );
    let small = chunk(&mut source([older(), with_small_change()]), 28).unwrap_or_default();
    stored.keeps("small-change-chunk", &small);
    let complete = complete_chunk(configuration(28, 1..2));
    stored.keeps("small-complete-chunk", &complete);
    // These contain compressed bytes, which the tests below decode.
    for name in ["large-change-chunk", "large-complete-chunk"] {
        expect_that!(stored.bytes(name), some(not(is_empty())));
    }
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn small_change_is_plain_after_byte_0() {
    let bytes = |name: &str| [vec![PLAIN], stored_bytes(name)].concat();
    let small = source([older()]).change_to(28, &with_small_change());
    expect_that!(hex(&small), eq(&hex(&bytes("small-change"))));
    let complete = complete_chunk(configuration(28, 1..2));
    expect_that!(hex(&complete.bytes), eq(&hex(&bytes("small-complete"))));
}

#[googletest::test]
fn large_change_is_deflated_after_byte_1() {
    let large = source([older()]).change_to(28, &with_large_change());
    expect_that!(
        inflate(&large).map(|plain| hex(&plain)),
        some(eq(&hex(&stored_bytes("large-change"))))
    );
    let complete = complete_chunk(with_large_change());
    let plain = inflate(&complete.bytes).map(|plain| hex(&plain));
    expect_that!(plain, some(eq(&hex(&stored_bytes("large-complete")))));
}

#[googletest::test]
fn stored_changes_apply_to_the_older_configuration() {
    for (name, newer) in [
        ("small-change-chunk", with_small_change()),
        ("large-change-chunk", with_large_change()),
    ] {
        let chunk: ConfigurationChunk = decode(&stored_bytes(name)).unwrap_or_default();
        // A replica of the core applies the change from the log.
        let mut source = source([older()]);
        expect_that!(source.apply_change(newer.version, &chunk.bytes), eq(true));
        expect_that!(
            source.newest().map(|newest| newest.as_ref()),
            some(eq(&newer))
        );
        // An agent receives the change over a link.
        let mut receiver = ConfigurationReceiver::default();
        let complete = complete_chunk(older());
        expect_that!(
            receiver.receive_chunk(complete),
            matches_pattern!(ChunkOutcome::Configuration(_))
        );
        expect_that!(
            receiver.receive_chunk(chunk),
            matches_pattern!(ChunkOutcome::Configuration(_))
        );
        expect_that!(**receiver.configuration(), eq(&newer));
    }
}

#[googletest::test]
fn empty_receiver_accepts_stored_complete_configurations() {
    for (name, complete) in [
        ("small-complete-chunk", configuration(28, 1..2)),
        ("large-complete-chunk", with_large_change()),
    ] {
        let chunk: ConfigurationChunk = decode(&stored_bytes(name)).unwrap_or_default();
        let mut receiver = ConfigurationReceiver::default();
        expect_that!(
            receiver.receive_chunk(chunk),
            matches_pattern!(ChunkOutcome::Configuration(_))
        );
        expect_that!(**receiver.configuration(), eq(&complete));
    }
}
