//! Configurations reach receivers completely, as differences and in chunks, whatever is interrupted on the way.
mod common;

use common::{configuration, fetch_all, next_chunk, source};
use googletest::prelude::*;
use magpiegap_distribution::{ChangeError, ConfigurationReceiver, Received, CHUNK_BYTES};
use magpiegap_jobs::Service;
use magpiegap_protocol::fnv1a;

/// Routes of a large configuration: several chunks even when compressed.
const MANY: u64 = 3000;

#[googletest::test]
fn given_an_empty_receiver_when_it_fetches_then_it_gets_the_complete_configuration_in_chunks() {
    let mut source = source([configuration(3, 0..MANY)]);
    let mut receiver = ConfigurationReceiver::default();
    let bytes = fetch_all(&mut source, &mut receiver);
    expect_that!(bytes, gt(2 * CHUNK_BYTES));
    expect_that!(**receiver.configuration(), eq(&configuration(3, 0..MANY)));
}

#[googletest::test]
fn given_a_receiver_with_an_older_version_when_it_fetches_then_it_gets_the_difference_only() {
    let mut source = source([configuration(3, 0..MANY)]);
    let mut receiver = ConfigurationReceiver::default();
    fetch_all(&mut source, &mut receiver);
    // One route is removed, one is added, one service changes.
    let mut newer = configuration(5, 1..=MANY);
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
fn given_a_small_difference_when_the_feed_is_sent_then_it_goes_with_it() {
    let mut source = source([configuration(3, 0..MANY), configuration(4, 0..MANY + 2)]);
    expect_that!(source.inline_change(3).is_some(), eq(true));
    expect_that!(source.inline_change(4), none());
    // The complete configuration is too long.
    expect_that!(source.inline_change(0), none());
}

#[googletest::test]
fn given_a_version_that_is_not_remembered_when_it_is_the_base_then_the_complete_configuration_comes(
) {
    let mut source = source((1..40).map(|version| configuration(version, 0..version)));
    let mut receiver = ConfigurationReceiver::default();
    let mut old = common::source([configuration(1, 0..1)]);
    fetch_all(&mut old, &mut receiver);
    expect_that!(next_chunk(&mut source, &receiver).transfer.base, eq(0));
    fetch_all(&mut source, &mut receiver);
    expect_that!(**receiver.configuration(), eq(&configuration(39, 0..39)));
}

#[googletest::test]
fn given_a_transfer_in_progress_when_it_is_requested_from_another_source_then_it_resumes_there() {
    let mut first = source([configuration(3, 0..MANY)]);
    let mut second = source([configuration(2, 0..10), configuration(3, 0..MANY)]);
    let mut receiver = ConfigurationReceiver::default();
    receiver.take(next_chunk(&mut first, &receiver));
    let received = receiver.received_bytes();
    expect_that!(received, eq(CHUNK_BYTES as u64));
    // The other source has not sent any chunk of this transfer.
    let next = next_chunk(&mut second, &receiver);
    expect_that!(next.offset, eq(CHUNK_BYTES as u64));
    receiver.take(next);
    fetch_all(&mut first, &mut receiver);
    expect_that!(receiver.version(), eq(3));
}

#[googletest::test]
fn given_newer_versions_faster_than_a_transfer_when_it_goes_on_then_it_ends_and_those_between_are_skipped(
) {
    let mut source = source([configuration(1, 0..MANY)]);
    let mut receiver = ConfigurationReceiver::default();
    let mut seen = Vec::new();
    // With each chunk comes a newer version.
    for version in 2..14 {
        if let Some(chunk) = source.chunk(&receiver.fetch()) {
            if let Received::Configuration(configuration) = receiver.take(chunk) {
                seen.push(configuration.version);
            }
        }
        source.push(configuration(version, 0..MANY + version));
    }
    expect_that!(
        seen.first(),
        some(eq(&1)),
        "the transfer that was begun ends"
    );
    expect_that!(receiver.version(), ge(12));
    expect_that!(seen.len(), lt(12));
    fetch_all(&mut source, &mut receiver);
    expect_that!(
        **receiver.configuration(),
        eq(&configuration(13, 0..MANY + 13))
    );
}

#[googletest::test]
fn given_a_receiver_that_forwards_its_configuration_when_that_is_pushed_again_then_it_counts_once()
{
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
        **forwarded.newest().expect("it is there"),
        eq(&configuration(5, 0..5))
    );
    expect_that!(
        forwarded.inline_change(3).map(|chunk| chunk.transfer.base),
        some(eq(3))
    );
}

#[googletest::test]
fn given_damaged_or_misplaced_chunks_when_they_come_then_the_version_stays_and_the_complete_one_is_requested(
) {
    let mut source = source([configuration(1, 0..2), configuration(2, 0..3)]);
    let mut receiver = ConfigurationReceiver::default();
    let mut damaged = next_chunk(&mut source, &receiver);
    damaged.bytes[3] ^= 1;
    expect_that!(
        matches!(
            receiver.take(damaged),
            Received::Rejected(ChangeError::Checksum)
        ),
        eq(true)
    );
    expect_that!(receiver.version(), eq(0));
    // Sound as a transfer, and no change of a configuration.
    let mut foreign = next_chunk(&mut source, &receiver);
    foreign.bytes = vec![9, 9, 9];
    foreign.length = 3;
    foreign.transfer.checksum = fnv1a(&foreign.bytes);
    expect_that!(
        matches!(
            receiver.take(foreign),
            Received::Rejected(ChangeError::Encoding(_))
        ),
        eq(true)
    );
    let mut misplaced = next_chunk(&mut source, &receiver);
    misplaced.offset = 7;
    expect_that!(
        matches!(receiver.take(misplaced), Received::Unusable),
        eq(true)
    );
    fetch_all(&mut source, &mut receiver);
    expect_that!(receiver.version(), eq(2));
    // An older one, or one that builds on another version, is not taken.
    let older = common::source([configuration(1, 0..2)])
        .chunk(&Default::default())
        .expect("a chunk");
    expect_that!(matches!(receiver.take(older), Received::Unusable), eq(true));
    let mut unrelated = common::source([configuration(7, 0..2), configuration(8, 0..4)]);
    let building_on_seven = unrelated.inline_change(7).expect("a small difference");
    expect_that!(
        matches!(receiver.take(building_on_seven), Received::Unusable),
        eq(true)
    );
    expect_that!(receiver.version(), eq(2));
}

#[googletest::test]
fn given_a_difference_in_the_log_when_it_applies_then_a_replica_need_not_read_the_complete_body() {
    let newer = configuration(7, 1..6);
    let mut proposer = source([configuration(3, 0..5)]);
    let change = proposer.change_to(3, &newer);
    expect_that!(
        proposer.change_to(2, &newer),
        is_empty(),
        "it builds on another version"
    );
    let mut replica = source([configuration(3, 0..5)]);
    expect_that!(
        replica.follow(8, &change),
        eq(false),
        "it leads to another version"
    );
    expect_that!(replica.follow(7, &change), eq(true));
    expect_that!(**replica.newest().expect("it is there"), eq(&newer));
    expect_that!(replica.follow(7, &change), eq(false), "it is in force");
    // One that has another version, or none, reads the complete body.
    expect_that!(
        source([configuration(4, 0..5)]).follow(7, &change),
        eq(false)
    );
    expect_that!(source([]).follow(7, &change), eq(false));
    expect_that!(proposer.follow(7, &[]), eq(false));
}
