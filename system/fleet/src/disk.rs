//! A simulated disk: what is synced lasts, what is only written may be lost with the power.
use magpiegap_control::{DurableRecord, DurableState};
use rand::{rngs::StdRng, Rng};

/// Content of a write.
#[derive(Clone, Debug)]
pub(crate) enum WriteContent {
    Records(Vec<DurableRecord>),
    Checkpoint(Box<DurableState>),
}

/// A write that is not synced yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    content: WriteContent,
}

/// A node's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    durable: Option<DurableState>,
    /// By rising ticket.
    pending: Vec<PendingWrite>,
}

impl Disk {
    /// A disk that holds a state.
    pub(crate) fn new(state: DurableState) -> Disk {
        Disk {
            durable: Some(state),
            pending: Vec::new(),
        }
    }

    /// Takes a write that is not synced yet.
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

    /// Kills the process: the files stay as they were written.
    pub(crate) fn kill_process(&mut self) {
        self.sync(u64::MAX);
    }

    /// Cuts the power: of what was not synced, some prefix survives.
    pub(crate) fn lose_power(&mut self, random: &mut StdRng) {
        let survivors = random.gen_range(0..=self.pending.len());
        self.pending.truncate(survivors);
        self.sync(u64::MAX);
    }

    /// A copy of what outlasts a loss of power.
    pub(crate) fn synced(&self) -> Disk {
        Disk {
            durable: self.durable.clone(),
            pending: Vec::new(),
        }
    }

    /// What is on the disk; `None`: it is empty.
    pub(crate) fn state(&self) -> Option<DurableState> {
        self.durable.clone()
    }
}
