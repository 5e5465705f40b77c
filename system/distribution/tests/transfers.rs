//! Transfers of configurations, as differences and in chunks: completeness, resumption and rejection of faulty chunks.
mod common;

use common::{configuration, fetch_all, next_chunk, source};
use googletest::prelude::*;
use magpiegap_distribution::{ChangeError, ChunkOutcome, ConfigurationReceiver, CHUNK_BYTES};
use magpiegap_jobs::Service;
use magpiegap_protocol::fnv1a;

/// Number of routes in a large configuration, which takes several chunks even when compressed.
const LARGE_ROUTE_COUNT: u64 = 3000;

#[googletest::test]
fn empty_receiver_fetches_complete_configuration_in_chunks() {
    let mut source = source([configuration(3, 0..LARGE_ROUTE_COUNT)]);
    let mut receiver = ConfigurationReceiver::default();
    let bytes = fetch_all(&mut source, &mut receiver);
    expect_that!(bytes, gt(2 * CHUNK_BYTES));
    expect_that!(
        **receiver.configuration(),
        eq(&configuration(3, 0..LARGE_ROUTE_COUNT))
    );
}

#[googletest::test]
fn receiver_with_older_version_fetches_only_the_difference() {
    let mut source = source([configuration(3, 0..LARGE_ROUTE_COUNT)]);
    let mut receiver = ConfigurationReceiver::default();
    fetch_all(&mut source, &mut receiver);
    // One route is removed, one is added, one service changes.
    let mut newer = configuration(5, 1..=LARGE_ROUTE_COUNT);
    let service = Service {
        max_connections: 7,
        ..newer.services["s"].clone()
    };
    newer.services.insert("s".to_owned(), service);
    source.push(newer.clone());
    let bytes = fetch_all(&mut source, &mut receiver);
    expect_that!(bytes, lt(300));
    expect_that!(**receiver.configuration(), eq(&newer));
}

#[googletest::test]
fn small_difference_is_sent_inline_with_feed() {
    let mut source = source([
        configuration(3, 0..LARGE_ROUTE_COUNT),
        configuration(4, 0..LARGE_ROUTE_COUNT + 2),
    ]);
    expect_that!(source.inline_change(3).is_some(), eq(true));
    expect_that!(source.inline_change(4), none());
    // The complete configuration exceeds the limit for inline changes.
    expect_that!(source.inline_change(0), none());
}

#[googletest::test]
fn receiver_with_unretained_version_gets_complete_configuration() {
    let mut source = source((1..40).map(|version| configuration(version, 0..version)));
    let mut receiver = ConfigurationReceiver::default();
    let mut old = common::source([configuration(1, 0..1)]);
    fetch_all(&mut old, &mut receiver);
    expect_that!(next_chunk(&mut source, &receiver).transfer.base, eq(0));
    fetch_all(&mut source, &mut receiver);
    expect_that!(**receiver.configuration(), eq(&configuration(39, 0..39)));
}

#[googletest::test]
fn transfer_resumes_at_another_source() {
    let mut first = source([configuration(3, 0..LARGE_ROUTE_COUNT)]);
    let mut second = source([
        configuration(2, 0..10),
        configuration(3, 0..LARGE_ROUTE_COUNT),
    ]);
    let mut receiver = ConfigurationReceiver::default();
    receiver.receive_chunk(next_chunk(&mut first, &receiver));
    let received = receiver.received_bytes();
    expect_that!(received, eq(CHUNK_BYTES as u64));
    // The second source has not sent any chunk of this transfer yet.
    let next = next_chunk(&mut second, &receiver);
    expect_that!(next.offset, eq(CHUNK_BYTES as u64));
    receiver.receive_chunk(next);
    fetch_all(&mut first, &mut receiver);
    expect_that!(receiver.version(), eq(3));
}

#[googletest::test]
fn transfer_completes_and_skips_versions_pushed_meanwhile() {
    let mut source = source([configuration(1, 0..LARGE_ROUTE_COUNT)]);
    let mut receiver = ConfigurationReceiver::default();
    let mut applied_versions = Vec::new();
    // A newer version is pushed after each chunk.
    for version in 2..14 {
        if let Some(chunk) = source.chunk(&receiver.fetch()) {
            if let ChunkOutcome::Configuration(configuration) = receiver.receive_chunk(chunk) {
                applied_versions.push(configuration.version);
            }
        }
        source.push(configuration(version, 0..LARGE_ROUTE_COUNT + version));
    }
    expect_that!(
        applied_versions.first(),
        some(eq(&1)),
        "the transfer in progress completes"
    );
    expect_that!(receiver.version(), ge(12));
    expect_that!(applied_versions.len(), lt(12));
    fetch_all(&mut source, &mut receiver);
    expect_that!(
        **receiver.configuration(),
        eq(&configuration(13, 0..LARGE_ROUTE_COUNT + 13))
    );
}

#[googletest::test]
fn forwarded_configuration_is_added_once() {
    let mut origin = source([configuration(3, 0..4)]);
    let mut receiver = ConfigurationReceiver::default();
    let mut forwarded = source([]);
    fetch_all(&mut origin, &mut receiver);
    forwarded.push_shared(receiver.configuration());
    origin.push(configuration(5, 0..5));
    fetch_all(&mut origin, &mut receiver);
    forwarded.push_shared(receiver.configuration());
    forwarded.push_shared(receiver.configuration());
    forwarded.push_shared(&std::sync::Arc::new(configuration(4, 0..1)));
    expect_that!(
        **forwarded.newest().expect("the source has a configuration"),
        eq(&configuration(5, 0..5))
    );
    expect_that!(
        forwarded.inline_change(3).map(|chunk| chunk.transfer.base),
        some(eq(3))
    );
}

#[googletest::test]
fn faulty_chunks_leave_the_version_unchanged() {
    let mut source = source([configuration(1, 0..2), configuration(2, 0..3)]);
    let mut receiver = ConfigurationReceiver::default();
    let mut damaged = next_chunk(&mut source, &receiver);
    damaged.bytes[3] ^= 1;
    expect_that!(
        matches!(
            receiver.receive_chunk(damaged),
            ChunkOutcome::Rejected(ChangeError::Checksum)
        ),
        eq(true)
    );
    expect_that!(receiver.version(), eq(0));
    // The checksum is correct, but the bytes are not a configuration change.
    let mut undecodable = next_chunk(&mut source, &receiver);
    undecodable.bytes = vec![9, 9, 9];
    undecodable.length = 3;
    undecodable.transfer.checksum = fnv1a(&undecodable.bytes);
    expect_that!(
        matches!(
            receiver.receive_chunk(undecodable),
            ChunkOutcome::Rejected(ChangeError::Encoding(_))
        ),
        eq(true)
    );
    let mut misplaced = next_chunk(&mut source, &receiver);
    misplaced.offset = 7;
    expect_that!(
        matches!(receiver.receive_chunk(misplaced), ChunkOutcome::Unusable),
        eq(true)
    );
    fetch_all(&mut source, &mut receiver);
    expect_that!(receiver.version(), eq(2));
    // An older version and a change of another base version are not applied.
    let older = common::source([configuration(1, 0..2)])
        .chunk(&Default::default())
        .expect("the source has a chunk");
    expect_that!(
        matches!(receiver.receive_chunk(older), ChunkOutcome::Unusable),
        eq(true)
    );
    let mut unrelated = common::source([configuration(7, 0..2), configuration(8, 0..4)]);
    let based_on_version_7 = unrelated
        .inline_change(7)
        .expect("the difference is small enough");
    expect_that!(
        matches!(
            receiver.receive_chunk(based_on_version_7),
            ChunkOutcome::Unusable
        ),
        eq(true)
    );
    expect_that!(receiver.version(), eq(2));
}

#[googletest::test]
fn replica_applies_difference_without_the_complete_body() {
    let newer = configuration(7, 1..6);
    let mut proposer = source([configuration(3, 0..5)]);
    let change = proposer.change_to(3, &newer);
    expect_that!(
        proposer.change_to(2, &newer),
        is_empty(),
        "the difference has another base version"
    );
    let mut replica = source([configuration(3, 0..5)]);
    expect_that!(
        replica.apply_change(8, &change),
        eq(false),
        "the difference results in another version"
    );
    expect_that!(replica.apply_change(7, &change), eq(true));
    expect_that!(
        **replica.newest().expect("the source has a configuration"),
        eq(&newer)
    );
    expect_that!(
        replica.apply_change(7, &change),
        eq(false),
        "the version is already in force"
    );
    // A replica with another version or none has to parse the complete body.
    expect_that!(
        source([configuration(4, 0..5)]).apply_change(7, &change),
        eq(false)
    );
    expect_that!(source([]).apply_change(7, &change), eq(false));
    expect_that!(proposer.apply_change(7, &[]), eq(false));
}
