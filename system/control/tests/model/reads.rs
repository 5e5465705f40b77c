//! Reads at the tail, and the number of durable copies of acknowledged entries.
use crate::world::{Machine, Read, World};
use magpiegap_control::StateMachine;
use magpiegap_protocol::{LogIndex, ProposalId};

impl World {
    pub(crate) fn start_read(&mut self, machine: usize) {
        let acknowledged = self.history.keys().next_back().copied().unwrap_or(0);
        self.reads.push(Read {
            machine,
            since: self.now,
            acknowledged,
        });
    }

    /// Serves the reads that a coordinator could serve now. A read must reflect every entry acknowledged before it
    /// started.
    pub(crate) fn serve_reads(&mut self) {
        let now = self.now;
        for read in std::mem::take(&mut self.reads) {
            let Some((replica, state)) = self.machines[read.machine].process.as_ref() else {
                continue;
            };
            let is_current = state.position().view == replica.view().number;
            let can_serve = replica.is_tail()
                && is_current
                && replica.has_quorum_contact_since(read.since, now);
            if !can_serve || self.machines[read.machine].is_frozen {
                self.reads.push(read);
            } else if state.position().index < LogIndex(read.acknowledged) {
                self.violation = Some(format!(
                    "{read:?} was served from stale state {:?}",
                    state.position()
                ));
            }
        }
    }

    /// The number of disks on which an entry survives a power loss.
    pub(crate) fn durable_copies(&self, index: u64, proposal: ProposalId) -> usize {
        let holds = |machine: &&Machine| {
            let disk = &machine.synced;
            let is_in_state = disk.applied.index >= LogIndex(index);
            is_in_state
                || disk.entries.iter().any(|entry| {
                    entry.position.index == LogIndex(index) && entry.proposal == proposal
                })
        };
        self.machines.iter().filter(holds).count()
    }
}
