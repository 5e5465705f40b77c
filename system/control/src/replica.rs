//! One replica of the control plane: the components that it is made of, its queries, and its outputs. How it
//! handles its inputs is in `inputs`.
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

/// How long a proof of quorum contact counts, in milliseconds: a majority confirmed by echoed heartbeats, at most this long
/// ago, that the view was still the newest one (`docs/system/hardening.md`).
pub const QUORUM_CONTACT_TIMEOUT_MS: Millis = 600;

/// Something that a replica wants done. Disk work is done in order, and each ticket is answered with
/// [`Replica::handle_persisted`].
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to the coordinator at an address.
    Send {
        /// The address.
        to: u32,
        /// The message.
        message: PeerMessage,
    },
    /// Add records to the log on disk.
    Persist {
        /// Names the work.
        ticket: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// Replace all that is on disk.
    Checkpoint {
        /// Names the work.
        ticket: u64,
        /// What to keep.
        snapshot: Box<DurableState>,
    },
    /// The disk is an old copy, and the others serve without it: it can be emptied, so that this machine rejoins with
    /// another one.
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
    /// The view up to which this replica has all that was committed.
    pub(crate) synchronized: Option<ViewNumber>,
    pub(crate) view_timer: ViewTimer,
    pub(crate) own_disk: OwnDisk,
    /// What was noted of the disks of others.
    pub(crate) disk_notes: DiskNotes,
    /// What was read at the start is surely on disk, with the name of the disk: from here on others may hear of it.
    pub(crate) started: bool,
    pub(crate) fitness: Fitness,
    pub(crate) next_heartbeat_at: Millis,
    pub(crate) tickets: DiskTickets,
    outputs: Vec<Output>,
}

impl Replica {
    /// A replica that has just started, with what was on its disk. The state machine must have been restored from
    /// the same.
    ///
    /// What was read may be there only because the process before was killed, and may not outlast a loss of power. So the
    /// first thing that the replica wants is that all of it is written anew; until that is done it sends nothing.
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
            // This incarnation of the process is in no chain yet.
            chain.activity = Activity::Learning;
        }
        let mut replica = Replica {
            view_timer: ViewTimer::new(settings.seed, now),
            agreement: Agreement::new(durable.agreement.clone()),
            membership,
            quorum_contact: QuorumContact::default(),
            chain,
            synchronized: durable.synchronized,
            own_disk,
            disk_notes,
            started: false,
            fitness: Fitness::default(),
            next_heartbeat_at: now,
            tickets: DiskTickets::default(),
            outputs: Vec::new(),
            settings,
        };
        let on_durable = vec![OnDurable::EntriesDurable(last), OnDurable::Started];
        replica.write_checkpoint(durable, on_durable, now);
        replica
    }

    /// This replica's name.
    pub fn own(&self) -> ReplicaId {
        self.settings.own
    }

    /// The newest view that this replica knows.
    pub fn view(&self) -> &View {
        self.agreement.current()
    }

    /// The newest entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.chain.committed
    }

    /// Takes what it wants done.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// A connection to the coordinator at an address was refused: most likely its process has ended.
    pub fn handle_connection_refused(&mut self, address: u32, now: Millis) {
        self.membership.handle_connection_refused(address, now);
    }

    /// Replaces the addresses at which others may be found.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.membership.set_seeds(seeds);
    }

    /// Whether so few of the view are reachable that the seeds are sent heartbeats too.
    pub fn needs_seeds(&self, now: Millis) -> bool {
        self.membership.is_seeking(now)
    }

    /// Announces that this process is about to end, so that the others go on without it at once.
    pub fn drain(&mut self, now: Millis) {
        self.fitness.drain();
        self.next_heartbeat_at = now;
    }

    /// The median of the times of day of the core machines.
    pub fn median_time_of_day(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        self.membership.median_wall(own_wall, now)
    }

    /// Whether this replica is active in its view, and that was the newest one at some moment of the last
    /// [`QUORUM_CONTACT_TIMEOUT_MS`] milliseconds.
    pub fn has_quorum_contact(&self, now: Millis) -> bool {
        let confirmed_at = self.confirmed_at(now);
        self.is_active() && confirmed_at > 0 && now <= confirmed_at + QUORUM_CONTACT_TIMEOUT_MS
    }

    /// Whether this replica is active in its view, and that was the newest one at some moment after `since`.
    pub fn has_quorum_contact_since(&self, since: Millis, now: Millis) -> bool {
        self.is_active() && self.confirmed_at(now) > since
    }

    /// Whether this replica is active in the newest view of at most [`QUORUM_CONTACT_TIMEOUT_MS`] ago, and knows all
    /// that was committed then: it is the tail, or the tail has announced it since.
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

    /// Until when this replica's view was surely the newest one; zero: that isn't known.
    pub fn confirmed_at(&self, now: Millis) -> Millis {
        self.quorum_contact
            .confirmed_at(self.view(), self.settings.own.member, now)
    }

    /// Whether this replica is active in its view, or catches up as a member of its chain.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.chain.activity, Activity::Joining | Activity::Active)
            && !self.agreement.is_sealed()
    }

    /// Whether this replica can't take part for now.
    pub(crate) fn is_unfit(&self, now: Millis) -> bool {
        self.own_disk.is_stale() || self.fitness.is_unfit(self.tickets.oldest_issued_at(), now)
    }

    /// The state of the agreement as it is kept on disk.
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

    /// Sends a message; one to this replica itself comes back like any other.
    pub(crate) fn send(&mut self, to: u32, message: PeerMessage) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Adds records to the log on disk.
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

    /// Replaces all that is on disk by what the replica has now.
    pub(crate) fn checkpoint(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        let last = self.chain.log.last().index;
        let snapshot = DurableState {
            disk: self.own_disk.name,
            agreement: self.durable_agreement(),
            synchronized: self.synchronized,
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

    /// Issues a checkpoint of this state.
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

/// About how many bytes a record takes up on disk.
fn estimated_bytes(record: &DurableRecord) -> usize {
    match record {
        DurableRecord::Entries(entries) => entries.iter().map(Entry::estimated_bytes).sum(),
        DurableRecord::Agreement(_) => 1000,
        DurableRecord::Synchronized(_) | DurableRecord::Committed(_) => 20,
    }
}
