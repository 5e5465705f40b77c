//! A disk: what is synced lasts, what is not may be lost.
use magpiegap_control::{DurableRecord, DurableState};
use rand::{rngs::StdRng, Rng};

/// Work that the disk has not synced yet.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Records(Vec<DurableRecord>),
    Checkpoint(Box<DurableState>),
}

/// A node's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    durable: Option<DurableState>,
    pending: Vec<(u64, Work)>,
}

impl Disk {
    /// A disk that holds this.
    pub(crate) fn new(state: DurableState) -> Disk {
        Disk {
            durable: Some(state),
            pending: Vec::new(),
        }
    }

    /// Takes work that is not synced yet.
    pub(crate) fn write(&mut self, ticket: u64, work: Work) {
        self.pending.push((ticket, work));
    }

    /// Syncs all work up to a ticket.
    pub(crate) fn sync(&mut self, ticket: u64) {
        let split = self
            .pending
            .partition_point(|(number, _)| *number <= ticket);
        for (_, work) in self.pending.drain(..split).collect::<Vec<_>>() {
            self.add(work);
        }
    }

    fn add(&mut self, work: Work) {
        match (work, &mut self.durable) {
            (Work::Checkpoint(snapshot), durable) => *durable = Some(*snapshot),
            (Work::Records(records), Some(durable)) => {
                records.into_iter().for_each(|record| durable.add(record))
            }
            (Work::Records(_), None) => {}
        }
    }

    /// The process dies: the files stay as they were written.
    pub(crate) fn process_dies(&mut self) {
        self.sync(u64::MAX);
    }

    /// Power is lost: of what was not synced some first part is there.
    pub(crate) fn power_is_lost(&mut self, random: &mut StdRng) {
        let kept = random.gen_range(0..=self.pending.len());
        self.pending.truncate(kept);
        self.sync(u64::MAX);
    }

    /// What is on the disk; `None`: it is empty.
    pub(crate) fn state(&self) -> Option<DurableState> {
        self.durable.clone()
    }
}
