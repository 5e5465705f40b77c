//! Golden test of the encoding of the state that a replica keeps on disk.
//!
//! The encoding must not change: a build must read disks written by earlier builds, and during a rolling upgrade a
//! machine may be downgraded again. The expected bytes are in `golden/durable.hex`, one value per line, in the
//! form `name: bytes`. Renaming things in the code does not affect them; a new encoding gets additional lines.
use googletest::prelude::*;
use magpiegap_control::{DurableRecord, DurableState, EncodedSnapshot, StateSnapshot};
use magpiegap_protocol::{
    decode, encode, AcceptedView, Ballot, ChainRecord, Command, Entry, FailureDomainId,
    FencingToken, Location, LogIndex, LogPosition, Member, MemberLocation, ProposalId, ReplicaId,
    Role, RoleToken, View, ViewNumber, WallMillis,
};
use minicbor::{Decode, Encode};
use std::sync::Arc;

const STORED: &str = include_str!("golden/durable.hex");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The hex digits stored under a name; empty when there are none.
fn stored_hex(name: &str) -> &'static str {
    let line = STORED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_default()
}

/// The bytes stored under a name.
fn stored(name: &str) -> Vec<u8> {
    let digits = stored_hex(name).as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// Expects that a value is encoded as the bytes stored under its name, and that these are decoded as the value.
fn expect_bytes<T>(name: &str, value: &T)
where
    T: std::fmt::Debug + PartialEq + Encode<()> + for<'b> Decode<'b, ()>,
{
    expect_that!(hex(&encode(value)), eq(stored_hex(name)), "encoded: {name}");
    expect_that!(
        decode::<T>(&stored(name)).ok().as_ref(),
        some(eq(value)),
        "decoded: {name}"
    );
}

fn member(number: u32) -> Member {
    Member {
        address: 0x0a01_0000 + number,
        disk: 0x1122_3344_5566_0000 + u64::from(number),
    }
}

fn replica(number: u32) -> ReplicaId {
    ReplicaId {
        member: member(number),
        incarnation: 0xb007_0000 + u64::from(number),
    }
}

/// A view with a value in every field.
fn view(number: u64) -> View {
    let location = Location {
        zone: FailureDomainId(301),
        region: FailureDomainId(302),
    };
    View {
        number: ViewNumber(number),
        voters: vec![member(1), member(2), member(3)],
        chain: vec![replica(2), replica(1)],
        history: vec![
            ChainRecord {
                number: ViewNumber(number - 2),
                chain: vec![],
            },
            ChainRecord {
                number: ViewNumber(number - 1),
                chain: vec![replica(3), replica(2)],
            },
        ],
        locations: vec![MemberLocation {
            member: member(2),
            location,
        }],
    }
}

/// The initial state of a disk. Also used for the initial `AgreementState`, which only `DurableState` can create.
fn first_snapshot() -> DurableState {
    let state = EncodedSnapshot::new(LogPosition::default(), vec![vec![0xf1]]);
    DurableState::empty(0, None, vec![member(1)], Arc::new(state))
}

fn entries() -> Vec<Entry> {
    let claim = Command::ClaimRole {
        role: Role::PlatformReader,
        holder: replica(3),
        expected: FencingToken(77),
    };
    let role_token = RoleToken {
        role: Role::Scheduler("desk".to_owned()),
        token: FencingToken(78),
    };
    vec![
        Entry {
            position: LogPosition {
                view: ViewNumber(8),
                index: LogIndex(1001),
            },
            proposal: ProposalId {
                origin: replica(1),
                sequence: 9,
            },
            role_token: None,
            command: Command::Noop,
            wall_ms: WallMillis(1_700_000_000_001),
        },
        Entry {
            position: LogPosition {
                view: ViewNumber(9),
                index: LogIndex(1002),
            },
            proposal: ProposalId {
                origin: replica(2),
                sequence: 10,
            },
            role_token: Some(role_token),
            command: claim,
            wall_ms: WallMillis(1_700_000_000_002),
        },
    ]
}

/// A snapshot with a value in every field but the disk records, and with a state of two chunks.
fn full_snapshot() -> DurableState {
    let applied = LogPosition {
        view: ViewNumber(7),
        index: LogIndex(1000),
    };
    let state = EncodedSnapshot::new(applied, vec![vec![1, 2, 3], vec![0xfe, 0xff]]);
    let mut snapshot = first_snapshot();
    snapshot.disk = 0x1122_3344_5566_0002;
    snapshot.agreement.current = view(9);
    snapshot.agreement.promised = Some(Ballot {
        round: 11,
        proposer: 12,
    });
    snapshot.agreement.accepted = Some(AcceptedView {
        ballot: Ballot {
            round: 10,
            proposer: 13,
        },
        view: view(10),
    });
    snapshot.complete_up_to = Some(ViewNumber(6));
    snapshot.applied = applied;
    snapshot.state = Arc::new(state);
    snapshot.entries = entries();
    snapshot.committed = LogIndex(1001);
    snapshot
}

fn chunks_of(state: &dyn StateSnapshot) -> Vec<Vec<u8>> {
    (0..state.chunks())
        .map(|number| state.chunk(number))
        .collect()
}

/// Compares two snapshots field by field, since they do not implement `PartialEq`.
fn expect_same(name: &str, decoded: &DurableState, expected: &DurableState) {
    expect_that!(decoded.disk, eq(expected.disk), "{name}");
    expect_that!(decoded.agreement, eq(&expected.agreement), "{name}");
    expect_that!(
        decoded.complete_up_to,
        eq(expected.complete_up_to),
        "{name}"
    );
    expect_that!(decoded.applied, eq(expected.applied), "{name}");
    expect_that!(
        decoded.state.position(),
        eq(expected.state.position()),
        "{name}"
    );
    expect_that!(
        chunks_of(decoded.state.as_ref()),
        eq(&chunks_of(expected.state.as_ref())),
        "{name}"
    );
    expect_that!(decoded.entries, eq(&expected.entries), "{name}");
    expect_that!(decoded.committed, eq(expected.committed), "{name}");
}

/// Expects that a snapshot is encoded as the chunks stored as `name 0`, `name 1` and so on, and that these are decoded
/// as the snapshot.
fn expect_chunks(name: &str, count: usize, snapshot: &DurableState) {
    let written: Vec<String> = snapshot.chunks().map(|chunk| hex(&chunk)).collect();
    let names: Vec<String> = (0..count)
        .map(|number| format!("{name} {number}"))
        .collect();
    let expected: Vec<&str> = names.iter().map(|name| stored_hex(name)).collect();
    expect_that!(written, eq(&expected), "{name}");
    let decoded = DurableState::recover(names.iter().map(|name| stored(name)).collect(), &[]);
    expect_same(name, &decoded.unwrap(), snapshot);
}

#[googletest::test]
fn log_records_keep_their_encoding() {
    let (full, first) = (full_snapshot().agreement, first_snapshot().agreement);
    expect_bytes(
        "record agreement",
        &DurableRecord::Agreement(Box::new(full)),
    );
    expect_bytes(
        "record first agreement",
        &DurableRecord::Agreement(Box::new(first)),
    );
    expect_bytes("record entries", &DurableRecord::Entries(entries()));
    expect_bytes("record no entries", &DurableRecord::Entries(Vec::new()));
    expect_bytes(
        "record complete up to",
        &DurableRecord::CompleteUpTo(ViewNumber(0x0102_0304_0506)),
    );
    expect_bytes(
        "record committed",
        &DurableRecord::Committed(LogIndex(0x0a0b_0c0d)),
    );
}

#[googletest::test]
fn agreement_state_keeps_its_encoding() {
    expect_bytes("agreement", &full_snapshot().agreement);
    expect_bytes("first agreement", &first_snapshot().agreement);
    let mut only_promised = full_snapshot().agreement;
    only_promised.accepted = None;
    expect_bytes("agreement without accepted", &only_promised);
    let mut only_accepted = full_snapshot().agreement;
    only_accepted.promised = None;
    expect_bytes("agreement without promised", &only_accepted);
}

#[googletest::test]
fn snapshot_chunks_keep_their_encoding() {
    expect_chunks("snapshot", 3, &full_snapshot());
    expect_chunks("first snapshot", 2, &first_snapshot());
}

/// Earlier builds wrote the state in the header, and the earliest ones did not write the commit index. No build writes
/// such snapshots any more; the stored bytes were made from the current header, with the state inserted.
#[googletest::test]
fn single_chunk_snapshot_of_earlier_builds_is_readable() {
    let mut expected = full_snapshot();
    expected.state = Arc::new(EncodedSnapshot::new(
        expected.applied,
        vec![vec![1, 2, 3, 0xfe, 0xff]],
    ));
    let decoded = DurableState::recover(vec![stored("snapshot in one piece")], &[]).unwrap();
    expect_same("snapshot in one piece", &decoded, &expected);
    expected.committed = LogIndex(0);
    let decoded =
        DurableState::recover(vec![stored("snapshot in one piece without committed")], &[])
            .unwrap();
    expect_same(
        "snapshot in one piece without committed",
        &decoded,
        &expected,
    );
}

#[googletest::test]
fn stored_records_apply_after_stored_snapshot() {
    let chunks = vec![stored("first snapshot 0"), stored("first snapshot 1")];
    let names = [
        "record agreement",
        "record entries",
        "record complete up to",
        "record committed",
    ];
    let decoded = DurableState::recover(chunks, &names.map(stored)).unwrap();
    let mut expected = first_snapshot();
    expected.agreement = full_snapshot().agreement;
    expected.entries = entries();
    expected.complete_up_to = Some(ViewNumber(0x0102_0304_0506));
    expected.committed = LogIndex(0x0a0b_0c0d);
    expect_same("records", &decoded, &expected);
}

#[googletest::test]
fn stored_values_have_unique_names() {
    let mut names: Vec<&str> = STORED
        .lines()
        .filter_map(|line| line.split(": ").next())
        .collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(STORED.lines().count()));
    expect_that!(names.len(), eq(17));
}
