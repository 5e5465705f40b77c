//! A stored change of the configuration is read as the same change, plain and compressed.
//!
//! Changes are in the log and in the states of the core, and reach agents and proxies of other versions during a rolling
//! update. So these bytes must not change, whatever the types are called. What a compressor writes may differ from one
//! version of its library to the next; there the bytes before compression are pinned, and that stored ones can be read.
#[path = "../../protocol/tests/golden/mod.rs"]
mod golden;

use flate2::read::DeflateDecoder;
use golden::{hex, Stored};
use googletest::prelude::*;
use magpiegap_distribution::{
    ConfigurationChange, ConfigurationReceiver, ConfigurationSource, Received,
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
        guards: true,
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

/// Differs a little from the older one: the first route is removed, another one added.
fn slightly_newer() -> Configuration {
    configuration(300, 2..5)
}

/// Differs so much from the older one that the change is compressed.
fn much_newer() -> Configuration {
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

/// The first chunk for a receiver with this version.
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
        "little-difference",
        &ConfigurationChange::between(&older(), &slightly_newer()),
    );
    stored.keeps(
        "much-difference",
        &ConfigurationChange::between(&older(), &much_newer()),
    );
    stored.keeps(
        "whole-small",
        &ConfigurationChange::between(&empty, &configuration(28, 1..2)),
    );
    stored.keeps(
        "whole-large",
        &ConfigurationChange::between(&empty, &much_newer()),
    );
    let little = chunk(&mut source([older(), slightly_newer()]), 28).unwrap_or_default();
    stored.keeps("little-difference-on-its-way", &little);
    let complete = complete_chunk(configuration(28, 1..2));
    stored.keeps("whole-small-on-its-way", &complete);
    // These come from a compressor: see the other tests.
    for name in ["much-difference-on-its-way", "whole-large-on-its-way"] {
        expect_that!(stored.bytes(name), some(not(is_empty())));
    }
    expect_that!(stored.faults(), is_empty());
}

#[googletest::test]
fn a_small_change_is_a_zero_and_its_bytes() {
    let bytes = |name: &str| [vec![PLAIN], stored_bytes(name)].concat();
    let little = source([older()]).change_to(28, &slightly_newer());
    expect_that!(hex(&little), eq(&hex(&bytes("little-difference"))));
    let complete = complete_chunk(configuration(28, 1..2));
    expect_that!(hex(&complete.bytes), eq(&hex(&bytes("whole-small"))));
}

#[googletest::test]
fn a_large_change_is_a_one_and_its_bytes_deflated() {
    let much = source([older()]).change_to(28, &much_newer());
    expect_that!(
        inflate(&much).map(|plain| hex(&plain)),
        some(eq(&hex(&stored_bytes("much-difference"))))
    );
    let complete = complete_chunk(much_newer());
    let plain = inflate(&complete.bytes).map(|plain| hex(&plain));
    expect_that!(plain, some(eq(&hex(&stored_bytes("whole-large")))));
}

#[googletest::test]
fn stored_differences_lead_from_the_older_configuration_to_the_newer_ones() {
    for (name, newer) in [
        ("little-difference-on-its-way", slightly_newer()),
        ("much-difference-on-its-way", much_newer()),
    ] {
        let chunk: ConfigurationChunk = decode(&stored_bytes(name)).unwrap_or_default();
        // As a replica of the core takes it from the log ...
        let mut source = source([older()]);
        expect_that!(source.follow(newer.version, &chunk.bytes), eq(true));
        expect_that!(
            source.newest().map(|newest| newest.as_ref()),
            some(eq(&newer))
        );
        // ... and as an agent takes it from a link.
        let mut receiver = ConfigurationReceiver::default();
        let before = complete_chunk(older());
        expect_that!(
            receiver.take(before),
            matches_pattern!(Received::Configuration(_))
        );
        expect_that!(
            receiver.take(chunk),
            matches_pattern!(Received::Configuration(_))
        );
        expect_that!(**receiver.configuration(), eq(&newer));
    }
}

#[googletest::test]
fn stored_complete_configurations_are_taken_by_a_receiver_that_has_none() {
    for (name, complete) in [
        ("whole-small-on-its-way", configuration(28, 1..2)),
        ("whole-large-on-its-way", much_newer()),
    ] {
        let chunk: ConfigurationChunk = decode(&stored_bytes(name)).unwrap_or_default();
        let mut receiver = ConfigurationReceiver::default();
        expect_that!(
            receiver.take(chunk),
            matches_pattern!(Received::Configuration(_))
        );
        expect_that!(**receiver.configuration(), eq(&complete));
    }
}
