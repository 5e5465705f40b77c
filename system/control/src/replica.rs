//! One replica: takes messages, the passing of time and the disk's word, and says what to send and to keep.
use crate::{
    agreement::Agreement,
    chain_state::{Activity, Chain},
    contact::Contact,
    durable::{DurableRecord, DurableState},
    log::Log,
    membership::Membership,
    settings::ControlSettings,
    StateMachine,
};
use magpiegap_protocol::{
    Entry, LogIndex, Millis, PeerMessage, ReplicaId, View, ViewNumber, WallMillis,
};
use rand::{rngs::StdRng, SeedableRng};
use std::collections::VecDeque;

/// A disk that has not done what it was asked to for this long makes the replica unfit ...
const DISK_PATIENCE_MS: Millis = 350;
/// ... and for this much longer, so that a slow disk does not come and go with every write.
const UNFIT_MS: Millis = 2500;
/// A view that was the newest one this long ago is taken for the newest one where seconds matter, and not less.
pub const CONTACT_MS: Millis = 600;

/// Something that a replica wants done. Disk work is done in order, and each ticket is answered with
/// [`Replica::persisted`].
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
    /// A line for the operator's log.
    Log(String),
}

/// What waits for the disk.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum After {
    Send(u32, PeerMessage),
    EntriesDurable(u64),
    /// What was read at the start is surely on disk.
    Started,
}

#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub number: u64,
    pub issued_at: Millis,
    pub after: Vec<After>,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: ControlSettings,
    pub(crate) agreement: Agreement,
    pub(crate) membership: Membership,
    pub(crate) contact: Contact,
    pub(crate) chain: Chain,
    /// The view up to which this replica has all that was committed.
    pub(crate) synchronized: Option<ViewNumber>,
    pub(crate) random: StdRng,
    pub(crate) view_since: Millis,
    pub(crate) needed_since: Option<Millis>,
    pub(crate) next_round_at: Millis,
    disk: u64,
    /// What was read at the start is surely on disk, with the name of the disk: from here on others may hear of it.
    pub(crate) started: bool,
    leaving: bool,
    /// The disk was too slow a moment ago; the replica is unfit until then.
    pub(crate) unfit_until: Millis,
    pub(crate) next_heartbeat: Millis,
    next_ticket: u64,
    pub(crate) tickets: VecDeque<Ticket>,
    pub(crate) bytes_since_checkpoint: usize,
    out: Vec<Output>,
}

impl Replica {
    /// A replica that has just started, with what was on its disk. The state machine must have been restored from
    /// the same.
    ///
    /// What was read may be there only because the process before was killed, and may not outlast a loss of power. So the
    /// first thing that the replica wants is that all of it is written anew; until that is done it keeps silent.
    pub fn new(settings: ControlSettings, durable: DurableState, now: Millis) -> Replica {
        let membership = Membership::new(&settings, &durable.agreement.current);
        let log = Log::new(durable.applied, durable.entries.clone());
        let last = log.last().index;
        let mut chain = Chain::new(log, durable.applied);
        chain.committed = durable
            .committed
            .min(chain.log.last().index)
            .max(durable.applied.index);
        if durable.agreement.current.number > ViewNumber::default() {
            // This life of the process is in no chain yet.
            chain.activity = Activity::Learning;
        }
        let mut replica = Replica {
            random: StdRng::seed_from_u64(settings.seed),
            agreement: Agreement::new(durable.agreement.clone()),
            membership,
            contact: Contact::default(),
            chain,
            synchronized: durable.synchronized,
            view_since: now,
            needed_since: None,
            next_round_at: now,
            disk: durable.disk,
            started: false,
            leaving: false,
            unfit_until: 0,
            next_heartbeat: now,
            next_ticket: 0,
            tickets: VecDeque::new(),
            bytes_since_checkpoint: 0,
            out: Vec::new(),
            settings,
        };
        let ticket = replica.ticket(vec![After::EntriesDurable(last.0), After::Started], now);
        replica.out.push(Output::Checkpoint {
            ticket,
            snapshot: Box::new(durable),
        });
        replica
    }

    /// This replica's name.
    pub fn own(&self) -> ReplicaId {
        self.settings.own
    }

    /// The newest view that this replica knows.
    pub fn view(&self) -> &View {
        &self.agreement.state.current
    }

    /// The newest entry known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.chain.committed
    }

    /// Takes what it wants done.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// A connection to the coordinator at an address was refused: most likely its process has ended.
    pub fn handle_connection_refused(&mut self, address: u32, now: Millis) {
        self.membership.handle_connection_refused(address, now);
    }

    /// Replaces the addresses at which others may be found.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.membership.set_seeds(seeds);
    }

    /// Whether so few of the view are heard that the seeds are asked too.
    pub fn is_seeking(&self, now: Millis) -> bool {
        self.membership.is_seeking(now)
    }

    /// Announces that this replica is about to end, so that the others go on without it at once.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        self.next_heartbeat = now;
    }

    /// The middle one of the times of day of the core machines.
    pub fn median_wall(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        self.membership.median_wall(own_wall, now)
    }

    /// Whether this replica takes part in its view, and that was the newest one at some moment of the last
    /// [`CONTACT_MS`] milliseconds.
    pub fn has_contact(&self, now: Millis) -> bool {
        let confirmed_at = self.confirmed_at(now);
        self.is_active() && confirmed_at > 0 && now <= confirmed_at + CONTACT_MS
    }

    /// Whether this replica takes part in its view, and that was the newest one at some moment after `since`.
    pub fn has_contact_since(&self, since: Millis, now: Millis) -> bool {
        self.is_active() && self.confirmed_at(now) > since
    }

    /// Whether this replica takes part in the newest view of at most [`CONTACT_MS`] milliseconds ago, and knows all that
    /// was committed then: it is the tail, or the tail has told it since.
    pub fn is_informed(&self, now: Millis) -> bool {
        let told_at = match self.view().tail() {
            Some(tail) if tail != self.settings.own => {
                self.contact.heard_by(self.view(), tail.member)
            }
            _ => now,
        };
        let informed_at = self.confirmed_at(now).min(told_at);
        self.is_active() && informed_at > 0 && now <= informed_at + CONTACT_MS
    }

    /// Until when this replica's view was surely the newest one; zero: that isn't known.
    pub fn confirmed_at(&self, now: Millis) -> Millis {
        self.contact
            .confirmed_at(self.view(), self.settings.own.member, now)
    }

    /// Whether this replica is at work in its view, or waits for its predecessor there.
    pub(crate) fn serving(&self) -> bool {
        matches!(self.chain.activity, Activity::Joining | Activity::Active)
            && !self.agreement.sealed()
    }

    /// Whether this replica can't take part for now.
    pub(crate) fn unfit(&self, now: Millis) -> bool {
        let stuck = |ticket: &Ticket| now.saturating_sub(ticket.issued_at) > DISK_PATIENCE_MS;
        self.leaving || now < self.unfit_until || self.tickets.front().is_some_and(stuck)
    }

    /// Takes note of disk work that took too long.
    pub(crate) fn judge_disk(&mut self, issued_at: Millis, now: Millis) {
        if now.saturating_sub(issued_at) > DISK_PATIENCE_MS {
            self.unfit_until = now + UNFIT_MS;
        }
    }

    pub(crate) fn log(&mut self, line: String) {
        self.out.push(Output::Log(line));
    }

    /// Sends a message; one to this replica itself comes back like any other.
    pub(crate) fn send(&mut self, to: u32, message: PeerMessage) {
        self.out.push(Output::Send { to, message });
    }

    fn ticket(&mut self, after: Vec<After>, now: Millis) -> u64 {
        self.next_ticket += 1;
        self.tickets.push_back(Ticket {
            number: self.next_ticket,
            issued_at: now,
            after,
        });
        self.next_ticket
    }

    pub(crate) fn persist(&mut self, records: Vec<DurableRecord>, after: Vec<After>, now: Millis) {
        let ticket = self.ticket(after, now);
        self.bytes_since_checkpoint += records.iter().map(rough_size).sum::<usize>();
        self.out.push(Output::Persist { ticket, records });
    }

    /// Entries that are still on their way to the disk are not those of the log any more.
    pub(crate) fn forget_entries_under_way(&mut self) {
        for ticket in &mut self.tickets {
            ticket
                .after
                .retain(|after| !matches!(after, After::EntriesDurable(_)));
        }
    }

    /// Replaces all that is on disk by what the replica has now.
    pub(crate) fn checkpoint(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        self.bytes_since_checkpoint = 0;
        let last = self.chain.log.last().index;
        let snapshot = DurableState {
            disk: self.disk,
            agreement: self.agreement.state.clone(),
            synchronized: self.synchronized,
            applied: machine.position(),
            state: machine.snapshot(),
            entries: self.chain.log.after(self.chain.applied).unwrap_or_default(),
            committed: self.chain.committed.min(last),
        };
        self.chain.handed_to_disk = last;
        let ticket = self.ticket(vec![After::EntriesDurable(last.0)], now);
        self.out.push(Output::Checkpoint {
            ticket,
            snapshot: Box::new(snapshot),
        });
    }
}

/// About how many bytes a record takes up on disk.
fn rough_size(record: &DurableRecord) -> usize {
    match record {
        DurableRecord::Entries(entries) => entries.iter().map(Entry::estimated_bytes).sum(),
        DurableRecord::Agreement(_) => 1000,
        DurableRecord::Synchronized(_) | DurableRecord::Committed(_) => 20,
    }
}
