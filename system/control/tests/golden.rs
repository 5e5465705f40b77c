//! The bytes of what a replica keeps on disk.
//!
//! They must not change: a build that starts on a disk written by an earlier one must read the same from it, and while a
//! group is brought to another build one by one, a machine may go back to the build before. The stored bytes are in
//! `golden/durable.hex`, one line for each value, as `name: bytes`. A change of names in the code leaves them as they
//! are; what has to be kept in another form gets lines of its own beside these.
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

/// The bytes stored under a name, as they stand there; empty: there are none.
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

/// A value is written as the bytes stored under its name, and they are read as the value.
fn expect_bytes<T>(name: &str, value: &T)
where
    T: std::fmt::Debug + PartialEq + Encode<()> + for<'b> Decode<'b, ()>,
{
    expect_that!(hex(&encode(value)), eq(stored_hex(name)), "written: {name}");
    expect_that!(
        decode::<T>(&stored(name)).ok().as_ref(),
        some(eq(value)),
        "read: {name}"
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

/// A view with something in each of its fields.
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

/// The state that all begin with; snapshots are the one place where a state of the agreement can be had.
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

/// A snapshot with something in each of its fields, whose state has two chunks.
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
    snapshot.synchronized = Some(ViewNumber(6));
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

/// Snapshots have no comparison of their own.
fn expect_same(name: &str, read: &DurableState, meant: &DurableState) {
    expect_that!(read.disk, eq(meant.disk), "{name}");
    expect_that!(read.agreement, eq(&meant.agreement), "{name}");
    expect_that!(read.synchronized, eq(meant.synchronized), "{name}");
    expect_that!(read.applied, eq(meant.applied), "{name}");
    expect_that!(read.state.position(), eq(meant.state.position()), "{name}");
    expect_that!(
        chunks_of(read.state.as_ref()),
        eq(&chunks_of(meant.state.as_ref())),
        "{name}"
    );
    expect_that!(read.entries, eq(&meant.entries), "{name}");
    expect_that!(read.committed, eq(meant.committed), "{name}");
}

/// A snapshot is written in chunks with the bytes stored as `name 0`, `name 1` and so on, and they are read as it.
fn expect_chunks(name: &str, count: usize, snapshot: &DurableState) {
    let written: Vec<String> = snapshot.chunks().map(|chunk| hex(&chunk)).collect();
    let names: Vec<String> = (0..count)
        .map(|number| format!("{name} {number}"))
        .collect();
    let expected: Vec<&str> = names.iter().map(|name| stored_hex(name)).collect();
    expect_that!(written, eq(&expected), "{name}");
    let read = DurableState::recover(names.iter().map(|name| stored(name)).collect(), &[]);
    expect_same(name, &read.unwrap(), snapshot);
}

#[googletest::test]
fn every_record_of_the_log_keeps_its_bytes() {
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
        "record synchronized",
        &DurableRecord::Synchronized(ViewNumber(0x0102_0304_0506)),
    );
    expect_bytes(
        "record committed",
        &DurableRecord::Committed(LogIndex(0x0a0b_0c0d)),
    );
}

#[googletest::test]
fn the_state_of_the_agreement_keeps_its_bytes() {
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
fn the_chunks_of_a_snapshot_keep_their_bytes() {
    expect_chunks("snapshot", 3, &full_snapshot());
    expect_chunks("first snapshot", 2, &first_snapshot());
}

/// Earlier builds wrote the state in the header, and those before them did not say what was committed. Nothing writes such
/// snapshots any more: the stored bytes were made from those of today's head, with the state put in its place.
#[googletest::test]
fn a_snapshot_that_holds_the_state_as_one_chunk_is_still_read() {
    let mut meant = full_snapshot();
    meant.state = Arc::new(EncodedSnapshot::new(
        meant.applied,
        vec![vec![1, 2, 3, 0xfe, 0xff]],
    ));
    let read = DurableState::recover(vec![stored("snapshot in one piece")], &[]).unwrap();
    expect_same("snapshot in one piece", &read, &meant);
    meant.committed = LogIndex(0);
    let read = DurableState::recover(vec![stored("snapshot in one piece without committed")], &[])
        .unwrap();
    expect_same("snapshot in one piece without committed", &read, &meant);
}

#[googletest::test]
fn stored_records_are_taken_up_after_the_stored_snapshot() {
    let chunks = vec![stored("first snapshot 0"), stored("first snapshot 1")];
    let names = [
        "record agreement",
        "record entries",
        "record synchronized",
        "record committed",
    ];
    let read = DurableState::recover(chunks, &names.map(stored)).unwrap();
    let mut meant = first_snapshot();
    meant.agreement = full_snapshot().agreement;
    meant.entries = entries();
    meant.synchronized = Some(ViewNumber(0x0102_0304_0506));
    meant.committed = LogIndex(0x0a0b_0c0d);
    expect_same("records", &read, &meant);
}

#[googletest::test]
fn every_stored_line_has_a_name_of_its_own() {
    let mut names: Vec<&str> = STORED
        .lines()
        .filter_map(|line| line.split(": ").next())
        .collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(STORED.lines().count()));
    expect_that!(names.len(), eq(17));
}
