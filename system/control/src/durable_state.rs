//! What a replica has on disk, and its encoding.
use crate::state_machine::{EncodedSnapshot, StateSnapshot};
use magpiegap_protocol::{
    decode, encode, AcceptedView, Ballot, DecodeError, DiskNote, DiskProgress, Entry, LogIndex,
    LogPosition, Member, View, ViewNumber,
};
use minicbor::{Decode, Encode};
use std::sync::Arc;

/// The part of the agreement that must outlast the process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AgreementState {
    /// The newest view known to be agreed.
    #[n(0)]
    pub current: View,
    /// The highest ballot taken part in for the next view.
    #[n(1)]
    pub promised: Option<Ballot>,
    /// What was accepted for the next view.
    #[n(2)]
    pub accepted: Option<AcceptedView>,
    /// What tells this disk, and those of the others, from old copies; `None`: an earlier build has written this.
    #[n(3)]
    pub disks: Option<DiskRecords>,
}

/// What tells disks from old copies of them (see [`DiskNote`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskRecords {
    /// How many processes have started on this disk.
    #[n(0)]
    pub starts: u64,
    /// What was noted of the disks of others.
    #[n(1)]
    pub notes: Vec<DiskNote>,
}

impl AgreementState {
    /// How far a disk with this state has come, when its log ends there.
    pub(crate) fn progress(&self, last: LogPosition) -> DiskProgress {
        DiskProgress {
            view: self.current.number,
            promised: self.promised,
            accepted: self.accepted.as_ref().map(|accepted| accepted.ballot),
            committed: last,
        }
    }
}

/// One record of the log on disk.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DurableRecord {
    /// The complete state of the agreement.
    #[n(0)]
    Agreement(#[n(0)] Box<AgreementState>),
    /// Entries that follow those before.
    #[n(1)]
    Entries(#[n(0)] Vec<Entry>),
    /// From here on the replica has all that was committed up to this view.
    #[n(2)]
    Synchronized(#[n(0)] ViewNumber),
    /// All entries up to this one are committed; written beside other records, so it may lie behind.
    #[n(3)]
    Committed(#[n(0)] LogIndex),
}

/// All that a replica has on disk, at one moment.
#[derive(Clone, Debug)]
pub struct DurableState {
    /// Names this incarnation of the disk.
    pub disk: u64,
    /// The state of the agreement.
    pub agreement: AgreementState,
    /// The view up to which the replica has all that was committed; `None`: it has nothing yet.
    pub synchronized: Option<ViewNumber>,
    /// The last entry that the state holds.
    pub applied: LogPosition,
    /// The state.
    pub state: Arc<dyn StateSnapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
    /// Entries up to this one were known to be committed.
    pub committed: LogIndex,
}

/// The first chunk of a snapshot on disk: all but the state.
#[derive(Clone, Debug, Encode, Decode)]
struct Header {
    #[n(0)]
    disk: u64,
    #[n(1)]
    agreement: AgreementState,
    #[n(2)]
    synchronized: Option<ViewNumber>,
    #[n(3)]
    applied: LogPosition,
    /// The state as one chunk, as earlier builds wrote it; empty: the chunks that follow hold it.
    #[cbor(n(4), with = "minicbor::bytes")]
    state: Vec<u8>,
    #[n(5)]
    entries: Vec<Entry>,
    #[n(6)]
    #[cbor(default)]
    committed: LogIndex,
}

impl DurableState {
    /// A disk that was never written, with the state that all begin with.
    pub fn empty(
        disk: u64,
        synchronized: Option<ViewNumber>,
        voters: Vec<Member>,
        state: Arc<dyn StateSnapshot>,
    ) -> Self {
        let agreement = AgreementState {
            current: View::initial(voters),
            promised: None,
            accepted: None,
            disks: None,
        };
        DurableState {
            disk,
            agreement,
            synchronized,
            applied: state.position(),
            state,
            entries: Vec::new(),
            committed: LogIndex::default(),
        }
    }

    /// What goes on disk, chunk by chunk.
    pub fn chunks(&self) -> impl Iterator<Item = Vec<u8>> + '_ {
        let header = Header {
            disk: self.disk,
            agreement: self.agreement.clone(),
            synchronized: self.synchronized,
            applied: self.applied,
            state: Vec::new(),
            entries: self.entries.clone(),
            committed: self.committed,
        };
        std::iter::once(encode(&header))
            .chain((0..self.state.chunks()).map(|number| self.state.chunk(number)))
    }

    /// Recovers what was on disk, from the chunks of a snapshot and the records that came after it.
    ///
    /// # Errors
    /// When the bytes are not of a build that this one understands.
    pub fn recover(
        mut chunks: Vec<Vec<u8>>,
        records: &[Vec<u8>],
    ) -> Result<DurableState, DecodeError> {
        let header: Header = decode(chunks.first().map_or(&[], Vec::as_slice))?;
        let state = match chunks.len() {
            0 | 1 => vec![header.state],
            _ => chunks.drain(1..).collect(),
        };
        let mut snapshot = DurableState {
            disk: header.disk,
            agreement: header.agreement,
            synchronized: header.synchronized,
            applied: header.applied,
            state: Arc::new(EncodedSnapshot::new(header.applied, state)),
            entries: header.entries,
            committed: header.committed,
        };
        for record in records {
            snapshot.add(decode(record)?);
        }
        Ok(snapshot)
    }

    /// Takes up a record that came after the snapshot.
    pub fn add(&mut self, record: DurableRecord) {
        match record {
            DurableRecord::Agreement(agreement) => self.agreement = *agreement,
            DurableRecord::Entries(entries) => self.entries.extend(entries),
            DurableRecord::Synchronized(view) => self.synchronized = Some(view),
            DurableRecord::Committed(index) => self.committed = self.committed.max(index),
        }
    }
}
