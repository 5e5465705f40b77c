//! A simulated disk: synced writes are durable; unsynced writes may be lost in a power loss.
use magpiegap_control::{DurableRecord, DurableState};
use rand::{rngs::StdRng, Rng};

/// The content of a write.
#[derive(Clone, Debug)]
pub(crate) enum WriteContent {
    Records(Vec<DurableRecord>),
    Checkpoint(Box<DurableState>),
}

/// A write that has not been synced.
#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    content: WriteContent,
}

/// A node's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    durable: Option<DurableState>,
    /// In ascending order of tickets.
    pending: Vec<PendingWrite>,
}

impl Disk {
    /// Creates a disk with a durable state.
    pub(crate) fn new(state: DurableState) -> Disk {
        Disk {
            durable: Some(state),
            pending: Vec::new(),
        }
    }

    /// Adds an unsynced write.
    pub(crate) fn write(&mut self, ticket: u64, content: WriteContent) {
        self.pending.push(PendingWrite { ticket, content });
    }

    /// Syncs all writes up to a ticket.
    pub(crate) fn sync(&mut self, ticket: u64) {
        let split = self.pending.partition_point(|write| write.ticket <= ticket);
        for write in self.pending.drain(..split).collect::<Vec<_>>() {
            self.make_durable(write.content);
        }
    }

    fn make_durable(&mut self, content: WriteContent) {
        match (content, &mut self.durable) {
            (WriteContent::Checkpoint(snapshot), durable) => *durable = Some(*snapshot),
            (WriteContent::Records(records), Some(durable)) => {
                records.into_iter().for_each(|record| durable.add(record));
            }
            (WriteContent::Records(_), None) => {}
        }
    }

    /// Applies a process kill: the operating system still writes everything, so no write is lost.
    pub(crate) fn kill_process(&mut self) {
        self.sync(u64::MAX);
    }

    /// Applies a power loss: a random prefix of the unsynced writes survives.
    pub(crate) fn lose_power(&mut self, random: &mut StdRng) {
        let survivors = random.gen_range(0..=self.pending.len());
        self.pending.truncate(survivors);
        self.sync(u64::MAX);
    }

    /// Returns a copy that contains only the synced writes.
    pub(crate) fn synced(&self) -> Disk {
        Disk {
            durable: self.durable.clone(),
            pending: Vec::new(),
        }
    }

    /// The durable state, or `None` if the disk is empty.
    pub(crate) fn state(&self) -> Option<DurableState> {
        self.durable.clone()
    }
}
