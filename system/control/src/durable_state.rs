//! The state that a replica keeps on disk, and its encoding.
use crate::state_machine::{EncodedSnapshot, StateSnapshot};
use magpiegap_protocol::{
    decode, encode, AcceptedView, Ballot, DecodeError, DiskNote, DiskProgress, Entry, LogIndex,
    LogPosition, Member, View, ViewNumber,
};
use minicbor::{Decode, Encode};
use std::sync::Arc;

/// The part of the agreement that must survive a restart of the process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AgreementState {
    /// The newest view known to be decided.
    #[n(0)]
    pub current: View,
    /// The highest ballot promised for the next view.
    #[n(1)]
    pub promised: Option<Ballot>,
    /// The view accepted for the next view number, with its ballot.
    #[n(2)]
    pub accepted: Option<AcceptedView>,
    /// Records for detecting disks restored from old copies; `None` when an earlier build has written the state.
    #[n(3)]
    pub disks: Option<DiskRecords>,
}

/// Records for detecting disks that were restored from old copies (see [`DiskNote`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskRecords {
    /// The number of processes that have started on this disk.
    #[n(0)]
    pub starts: u64,
    /// What was observed of the disks of other members.
    #[n(1)]
    pub notes: Vec<DiskNote>,
}

impl AgreementState {
    /// The progress of a disk with this state, whose log or committed part ends at `last`.
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
    /// Entries appended to the log.
    #[n(1)]
    Entries(#[n(0)] Vec<Entry>),
    /// From this record on, the replica holds all entries committed up to this view.
    #[n(2)]
    CompleteUpTo(#[n(0)] ViewNumber),
    /// Entries up to this one are committed. Written only along with other records, so it may lag behind.
    #[n(3)]
    Committed(#[n(0)] LogIndex),
}

/// The complete state of a replica's disk at one point in time.
#[derive(Clone, Debug)]
pub struct DurableState {
    /// The identity of this disk, which changes when the disk is wiped.
    pub disk: u64,
    /// The state of the agreement.
    pub agreement: AgreementState,
    /// The newest view in which the replica held all committed entries; `None` on a wiped disk.
    pub complete_up_to: Option<ViewNumber>,
    /// The last entry applied to the state.
    pub applied: LogPosition,
    /// The replicated state.
    pub state: Arc<dyn StateSnapshot>,
    /// The log entries after `applied`.
    pub entries: Vec<Entry>,
    /// The last entry known to be committed.
    pub committed: LogIndex,
}

/// The first chunk of a snapshot on disk: everything but the replicated state.
#[derive(Clone, Debug, Encode, Decode)]
struct Header {
    #[n(0)]
    disk: u64,
    #[n(1)]
    agreement: AgreementState,
    #[n(2)]
    complete_up_to: Option<ViewNumber>,
    #[n(3)]
    applied: LogPosition,
    /// The replicated state as one chunk, as earlier builds wrote it; empty when the following chunks hold it.
    #[cbor(n(4), with = "minicbor::bytes")]
    state: Vec<u8>,
    #[n(5)]
    entries: Vec<Entry>,
    #[n(6)]
    #[cbor(default)]
    committed: LogIndex,
}

impl DurableState {
    /// The state of a disk that was never written, with the initial replicated state.
    pub fn empty(
        disk: u64,
        complete_up_to: Option<ViewNumber>,
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
            complete_up_to,
            applied: state.position(),
            state,
            entries: Vec::new(),
            committed: LogIndex::default(),
        }
    }

    /// Encodes the state for the disk, chunk by chunk.
    pub fn chunks(&self) -> impl Iterator<Item = Vec<u8>> + '_ {
        let header = Header {
            disk: self.disk,
            agreement: self.agreement.clone(),
            complete_up_to: self.complete_up_to,
            applied: self.applied,
            state: Vec::new(),
            entries: self.entries.clone(),
            committed: self.committed,
        };
        std::iter::once(encode(&header))
            .chain((0..self.state.chunks()).map(|number| self.state.chunk(number)))
    }

    /// Decodes the state of a disk from the chunks of a snapshot and the records written after it.
    ///
    /// # Errors
    /// When the bytes can't be decoded, for example because a newer build has written them.
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
            complete_up_to: header.complete_up_to,
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

    /// Applies a record that was written after the snapshot.
    pub fn add(&mut self, record: DurableRecord) {
        match record {
            DurableRecord::Agreement(agreement) => self.agreement = *agreement,
            DurableRecord::Entries(entries) => self.entries.extend(entries),
            DurableRecord::CompleteUpTo(view) => self.complete_up_to = Some(view),
            DurableRecord::Committed(index) => self.committed = self.committed.max(index),
        }
    }
}
