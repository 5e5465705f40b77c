//! The views, entries and snapshots in the stored folder, and the function that writes it.
use crate::commands::*;
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_coordinator::take_snapshot;
use magpiegap_jobs::State;
use magpiegap_protocol::{
    encode, AcceptedView, Ballot, ChainRecord, Command, Entry, FailureDomainId, FencingToken,
    Location, LogIndex, LogPosition, Member, MemberLocation, ProposalId, ReplicaId, Role,
    RoleToken, View, ViewNumber, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::path::Path;

/// Number of entries applied in the first snapshot.
pub(crate) const FIRST_SNAPSHOT: usize = 6;

/// Number of entries applied in the second snapshot.
pub(crate) const SECOND_SNAPSHOT: usize = 20;

/// Number of entries that the second checkpoint holds, applied or not; the rest is in its log.
pub(crate) const SECOND_CHECKPOINT: usize = 22;

/// Number of entries at the end of the log that are not known to be committed.
pub(crate) const UNCOMMITTED: usize = 2;

pub(crate) fn member(number: u32) -> Member {
    Member {
        address: 0x0a01_000f + number,
        disk: 0xd15c_0000_0000_0000 + u64::from(number),
    }
}

pub(crate) fn replica(number: u32) -> ReplicaId {
    ReplicaId {
        member: member(number),
        incarnation: 0xb007_0000 + u64::from(number),
    }
}

pub(crate) fn view(number: u64) -> View {
    let location = |zone, region| Location {
        zone: FailureDomainId::from_name(zone),
        region: FailureDomainId::from_name(region),
    };
    View {
        number: ViewNumber(number),
        voters: vec![member(0), member(1), member(2)],
        chain: vec![replica(1), replica(0)],
        history: vec![
            ChainRecord {
                number: ViewNumber(0),
                chain: Vec::new(),
            },
            ChainRecord {
                number: ViewNumber(number - 1),
                chain: vec![replica(0), replica(1), replica(2)],
            },
        ],
        locations: vec![
            MemberLocation {
                member: member(0),
                location: location("east-1", "east"),
            },
            MemberLocation {
                member: member(1),
                location: location("west-1", "west"),
            },
        ],
    }
}

/// All entries of the log. Commands issued by the holder of a role carry the token of that role.
pub(crate) fn entries() -> Vec<Entry> {
    let commands = commands_in_snapshots()
        .into_iter()
        .chain(commands_after_snapshots());
    let numbered = commands.zip(1_u64..).map(|(command, index)| Entry {
        position: LogPosition {
            view: ViewNumber(6 + index / 10),
            index: LogIndex(index),
        },
        proposal: ProposalId {
            origin: replica((index % 3) as u32),
            sequence: 100 + index,
        },
        role_token: match command {
            Command::StartRuns { .. }
            | Command::RecordCompletions { .. }
            | Command::MarkRunsLost { .. } => Some(RoleToken {
                role: desk_role(),
                token: FencingToken(1),
            }),
            Command::MarkIncarnationLost { .. } => Some(RoleToken {
                role: Role::PlatformReader,
                token: FencingToken(2),
            }),
            _ => None,
        },
        command,
        wall_ms: WallMillis(1_700_000_002_000 + index),
    });
    numbered.collect()
}

/// The state after applying `entries`.
pub(crate) fn state_after(entries: &[Entry]) -> State {
    let mut state = State::default();
    for entry in entries {
        state.apply(entry);
    }
    state
}

/// A durable state with a snapshot after `applied` entries, and the entries after it up to `known`.
pub(crate) fn snapshot(entries: &[Entry], applied: usize, known: usize) -> DurableState {
    let state = state_after(&entries[..applied]);
    let mut snapshot = DurableState::empty(
        member(0).disk,
        Some(ViewNumber(7)),
        Vec::new(),
        take_snapshot(&state),
    );
    snapshot.agreement.current = view(8);
    snapshot.agreement.promised = Some(Ballot {
        round: 4,
        proposer: member(1).address,
    });
    snapshot.agreement.accepted = Some(AcceptedView {
        ballot: Ballot {
            round: 3,
            proposer: member(2).address,
        },
        view: view(9),
    });
    snapshot.entries = entries[applied..known].to_vec();
    snapshot.committed = LogIndex(applied as u64);
    snapshot
}

/// Writes a folder in the format of a coordinator: two snapshots, each followed by a log.
pub(crate) fn write_folder(folder: &Path) {
    let entries = entries();
    let (mut store, _) = Store::open(FolderDirectory::new(folder).unwrap()).unwrap();
    store
        .checkpoint(snapshot(&entries, FIRST_SNAPSHOT, FIRST_SNAPSHOT).chunks())
        .unwrap();
    let between = DurableRecord::Entries(entries[FIRST_SNAPSHOT..SECOND_SNAPSHOT].to_vec());
    store
        .append(&[
            encode(&between),
            encode(&DurableRecord::Committed(LogIndex(SECOND_SNAPSHOT as u64))),
        ])
        .unwrap();
    let second = snapshot(&entries, SECOND_SNAPSHOT, SECOND_CHECKPOINT);
    store.checkpoint(second.chunks()).unwrap();
    let mut agreement = second.agreement;
    agreement.current = view(9);
    agreement.accepted = None;
    let records = [
        DurableRecord::Agreement(Box::new(agreement)),
        DurableRecord::Entries(entries[SECOND_CHECKPOINT..].to_vec()),
        DurableRecord::CompleteUpTo(ViewNumber(9)),
        DurableRecord::Committed(LogIndex((entries.len() - UNCOMMITTED) as u64)),
    ];
    store
        .append(&records.map(|record| encode(&record)))
        .unwrap();
}
