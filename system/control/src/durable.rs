//! What a replica keeps on disk.
use magpiegap_protocol::{decode, DecodeError, Entry, Position, View};
use minicbor::{Decode, Encode};

/// The part of the agreement that must outlast the process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AgreementState {
    /// The newest view known to be agreed.
    #[n(0)]
    pub current: View,
    /// The highest ballot taken part in for the next view.
    #[n(1)]
    pub promised: Option<(u64, u32)>,
    /// What was accepted for the next view.
    #[n(2)]
    pub accepted: Option<((u64, u32), View)>,
}

/// One record of the log on disk.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DurableRecord {
    /// The state of the agreement, whole.
    #[n(0)]
    Agreement(#[n(0)] Box<AgreementState>),
    /// Entries that follow those before.
    #[n(1)]
    Entries(#[n(0)] Vec<Entry>),
    /// From here on the replica has all that was committed up to this view.
    #[n(2)]
    Synchronized(#[n(0)] u64),
    /// All entries up to this one are committed; written beside other records, so it may lie behind.
    #[n(3)]
    Committed(#[n(0)] u64),
}

/// All that a replica keeps, at one moment.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Snapshot {
    /// Names this life of the disk.
    #[n(0)]
    pub disk: u64,
    /// The state of the agreement.
    #[n(1)]
    pub agreement: AgreementState,
    /// The view up to which the replica has all that was committed; `None`: it has nothing yet.
    #[n(2)]
    pub synchronized: Option<u64>,
    /// The last entry that the state holds.
    #[n(3)]
    pub applied: Position,
    /// The encoded state.
    #[cbor(n(4), with = "minicbor::bytes")]
    pub state: Vec<u8>,
    /// Entries after it.
    #[n(5)]
    pub entries: Vec<Entry>,
    /// Entries up to this one were known to be committed.
    #[n(6)]
    #[cbor(default)]
    pub committed: u64,
}

/// What is found on disk at the start: a snapshot and what came after it.
pub type DurableState = Snapshot;

impl Snapshot {
    /// A disk that was never written.
    pub fn empty(
        disk: u64,
        synchronized: Option<u64>,
        voters: Vec<magpiegap_protocol::Member>,
        state: Vec<u8>,
    ) -> Self {
        let agreement = AgreementState { current: View::initial(voters), promised: None, accepted: None };
        Snapshot {
            disk,
            agreement,
            synchronized,
            applied: Position::default(),
            state,
            entries: Vec::new(),
            committed: 0,
        }
    }

    /// What was kept, from the bytes of a snapshot and of the records that came after it.
    ///
    /// # Errors
    /// When the bytes are not of a build that this one understands.
    pub fn recover(snapshot: &[u8], records: &[Vec<u8>]) -> Result<Snapshot, DecodeError> {
        let mut state: Snapshot = decode(snapshot)?;
        for record in records {
            state.add(decode(record)?);
        }
        Ok(state)
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
