//! One replica of the control plane: its components, queries and outputs. Input handling is in `inputs`.
use crate::{
    agreement::Agreement,
    chain_state::{Activity, Chain},
    disk_notes::DiskNotes,
    disk_tickets::{DiskTickets, OnDurable},
    durable_state::{AgreementState, DiskRecords, DurableRecord, DurableState},
    fitness::Fitness,
    log::Log,
    membership::Membership,
    own_disk::OwnDisk,
    quorum_contact::QuorumContact,
    settings::ControlSettings,
    view_timer::ViewTimer,
    StateMachine,
};
use magpiegap_protocol::{
    Entry, LogIndex, Millis, PeerMessage, ReplicaId, View, ViewNumber, WallMillis,
};

/// How long a confirmation of quorum contact stays valid: a majority of the voters has echoed heartbeats that were
/// sent at most this long ago, which proves that the view was still the newest one then (`docs/system/hardening.md`).
pub const QUORUM_CONTACT_TIMEOUT_MS: Millis = 600;

/// An action that the caller performs for a replica. Disk work must be performed in order, and the completion of each
/// ticket is reported with [`Replica::handle_persisted`].
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to the coordinator at an address.
    Send {
        /// The coordinator's address.
        to: u32,
        /// The message.
        message: PeerMessage,
    },
    /// Append records to the log on disk.
    Persist {
        /// Identifies the disk work.
        ticket: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// Replace everything on disk by a snapshot.
    Checkpoint {
        /// Identifies the disk work.
        ticket: u64,
        /// The state to store.
        snapshot: Box<DurableState>,
    },
    /// The disk was restored from an old copy, and the other replicas serve without it. It can be wiped, so that this
    /// machine rejoins with a new disk identity.
    DiskSuperseded,
    /// A line for the operator's log.
    Log(String),
}

/// A replica of the control plane.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: ControlSettings,
    pub(crate) agreement: Agreement,
    pub(crate) membership: Membership,
    pub(crate) quorum_contact: QuorumContact,
    pub(crate) chain: Chain,
    /// The newest view in which this replica held all committed entries.
    pub(crate) complete_up_to: Option<ViewNumber>,
    pub(crate) view_timer: ViewTimer,
    pub(crate) own_disk: OwnDisk,
    /// What this replica has observed of the disks of other members.
    pub(crate) disk_notes: DiskNotes,
    /// Whether the state read at the start, including the disk's name, is known to be durable. Only then does the
    /// replica send anything that depends on it.
    pub(crate) is_recovered_state_durable: bool,
    pub(crate) fitness: Fitness,
    pub(crate) next_heartbeat_at: Millis,
    pub(crate) tickets: DiskTickets,
    outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica that starts with the state read from its disk. The state machine must have been restored from
    /// the same state.
    ///
    /// When the previous process was killed, its last writes may be readable but not synced, and would be lost with the
    /// power. The first output is therefore a checkpoint that writes the entire state again; until that is durable, the
    /// replica sends nothing.
    pub fn new(settings: ControlSettings, mut durable: DurableState, now: Millis) -> Replica {
        let own_disk = OwnDisk::new(&durable);
        let disks = durable
            .agreement
            .disks
            .get_or_insert_with(DiskRecords::default);
        disks.starts = own_disk.starts;
        let disk_notes = DiskNotes::new(disks.notes.clone());
        let membership = Membership::new(&settings, &durable.agreement.current);
        let log = Log::new(durable.applied, durable.entries.clone());
        let last = log.last().index;
        let mut chain = Chain::new(log, durable.applied);
        chain.committed = durable
            .committed
            .min(chain.log.last().index)
            .max(durable.applied.index);
        if durable.agreement.current.number > ViewNumber::default() {
            // The chain names an earlier incarnation, so this one is not in any chain yet.
            chain.activity = Activity::Learning;
        }
        let mut replica = Replica {
            view_timer: ViewTimer::new(settings.random_seed, now),
            agreement: Agreement::new(durable.agreement.clone()),
            membership,
            quorum_contact: QuorumContact::default(),
            chain,
            complete_up_to: durable.complete_up_to,
            own_disk,
            disk_notes,
            is_recovered_state_durable: false,
            fitness: Fitness::default(),
            next_heartbeat_at: now,
            tickets: DiskTickets::default(),
            outputs: Vec::new(),
            settings,
        };
        let on_durable = vec![
            OnDurable::EntriesDurable(last),
            OnDurable::RecoveredStateDurable,
        ];
        replica.write_checkpoint(durable, on_durable, now);
        replica
    }

    /// This replica's identity.
    pub fn own(&self) -> ReplicaId {
        self.settings.own
    }

    /// The newest view that this replica knows.
    pub fn view(&self) -> &View {
        self.agreement.current()
    }

    /// The index of the newest entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.chain.committed
    }

    /// Takes the pending outputs.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles a refused connection to the coordinator at an address, whose process has most likely ended.
    pub fn handle_connection_refused(&mut self, address: u32, now: Millis) {
        self.membership.handle_connection_refused(address, now);
    }

    /// Replaces the seed addresses, at which other coordinators may be reachable.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.membership.set_seeds(seeds);
    }

    /// Whether so few members of the view are reachable that the seeds are sent heartbeats too.
    pub fn needs_seeds(&self, now: Millis) -> bool {
        self.membership.needs_seeds(now)
    }

    /// Announces that this process is shutting down, so that the other replicas replace it at once.
    pub fn drain(&mut self, now: Millis) {
        self.fitness.drain();
        self.next_heartbeat_at = now;
    }

    /// The median of the wall clocks of this replica and of those that it receives heartbeats from.
    pub fn median_time_of_day(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        self.membership.median_wall(own_wall, now)
    }

    /// Whether this replica is active in its view, and the view was the newest one at some time within the last
    /// [`QUORUM_CONTACT_TIMEOUT_MS`] milliseconds.
    pub fn has_quorum_contact(&self, now: Millis) -> bool {
        let confirmed_at = self.confirmed_at(now);
        self.is_active() && confirmed_at > 0 && now <= confirmed_at + QUORUM_CONTACT_TIMEOUT_MS
    }

    /// Whether this replica is active in its view, and the view was the newest one at some time after `since`.
    pub fn has_quorum_contact_since(&self, since: Millis, now: Millis) -> bool {
        self.is_active() && self.confirmed_at(now) > since
    }

    /// Whether this replica is active in a view that was the newest one within the last [`QUORUM_CONTACT_TIMEOUT_MS`]
    /// milliseconds, and knows the commit index of that time: it is the tail, or has heard from the tail since.
    pub fn knows_committed(&self, now: Millis) -> bool {
        let tail_confirmed_at = match self.view().tail() {
            Some(tail) if tail != self.settings.own => {
                self.quorum_contact.confirmed_by(self.view(), tail.member)
            }
            _ => now,
        };
        let informed_at = self.confirmed_at(now).min(tail_confirmed_at);
        self.is_active() && informed_at > 0 && now <= informed_at + QUORUM_CONTACT_TIMEOUT_MS
    }

    /// The latest time at which this replica's view is known to have been the newest one; zero when unknown.
    pub fn confirmed_at(&self, now: Millis) -> Millis {
        self.quorum_contact
            .confirmed_at(self.view(), self.settings.own.member, now)
    }

    /// Whether this replica is active in its view, or is catching up as a member of its chain.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.chain.activity, Activity::Joining | Activity::Active)
            && !self.agreement.is_sealed()
    }

    /// Whether this replica can't be a chain member for now.
    pub(crate) fn is_unfit(&self, now: Millis) -> bool {
        self.own_disk.is_stale() || self.fitness.is_unfit(self.tickets.oldest_issued_at(), now)
    }

    /// The state of the agreement, with the disk records, as it is written to disk.
    pub(crate) fn durable_agreement(&self) -> AgreementState {
        AgreementState {
            disks: Some(DiskRecords {
                starts: self.own_disk.starts,
                notes: self.disk_notes.to_vec(),
            }),
            ..self.agreement.state().clone()
        }
    }

    /// Adds an output.
    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds a line to the operator's log.
    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push(Output::Log(line));
    }

    /// Sends a message. Messages to this replica itself are delivered like any other.
    pub(crate) fn send(&mut self, to: u32, message: PeerMessage) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Appends records to the log on disk.
    pub(crate) fn persist(
        &mut self,
        records: Vec<DurableRecord>,
        on_durable: Vec<OnDurable>,
        now: Millis,
    ) {
        let bytes = records.iter().map(estimated_bytes).sum();
        let ticket = self.tickets.issue_records(bytes, on_durable, now);
        self.outputs.push(Output::Persist { ticket, records });
    }

    /// Replaces everything on disk by the current state of the replica.
    pub(crate) fn checkpoint(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        let last = self.chain.log.last().index;
        let snapshot = DurableState {
            disk: self.own_disk.name,
            agreement: self.durable_agreement(),
            complete_up_to: self.complete_up_to,
            applied: machine.position(),
            state: machine.snapshot(),
            entries: self.chain.log.after(self.chain.applied).unwrap_or_default(),
            committed: self.chain.committed.min(last),
        };
        self.chain.disk.submitted = last;
        let on_durable = vec![
            OnDurable::EntriesDurable(last),
            OnDurable::votes_of(&snapshot.agreement),
        ];
        self.write_checkpoint(snapshot, on_durable, now);
    }

    /// Issues a checkpoint with this state.
    fn write_checkpoint(
        &mut self,
        snapshot: DurableState,
        on_durable: Vec<OnDurable>,
        now: Millis,
    ) {
        let ticket = self.tickets.issue_checkpoint(on_durable, now);
        self.outputs.push(Output::Checkpoint {
            ticket,
            snapshot: Box::new(snapshot),
        });
    }
}

/// The approximate size of a record on disk, in bytes.
fn estimated_bytes(record: &DurableRecord) -> usize {
    match record {
        DurableRecord::Entries(entries) => entries.iter().map(Entry::estimated_bytes).sum(),
        DurableRecord::Agreement(_) => 1000,
        DurableRecord::CompleteUpTo(_) | DurableRecord::Committed(_) => 20,
    }
}
