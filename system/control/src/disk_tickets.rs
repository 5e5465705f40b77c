//! The disk work that a replica waits for. It owns the order of that work and what each piece of it releases; what is
//! written is up to the replica.
use crate::durable_state::AgreementState;
use magpiegap_protocol::{DiskProgress, LogIndex, LogPosition, Millis, PeerMessage};
use std::collections::VecDeque;

/// What disk work releases once it is durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OnDurable {
    /// The message to an address that rests on it.
    Send { to: u32, message: PeerMessage },
    /// Entries up to this one are on disk.
    EntriesDurable(LogIndex),
    /// The votes of this replica are on disk as they stand here.
    VotesDurable(DiskProgress),
    /// What was read at the start is surely on disk.
    Started,
}

impl OnDurable {
    /// The votes in a state of the agreement are on disk.
    pub(crate) fn votes_of(state: &AgreementState) -> OnDurable {
        OnDurable::VotesDurable(state.progress(LogPosition::default()))
    }
}

/// Disk work in flight.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Names the work; numbers grow in the order of the work.
    pub number: u64,
    pub issued_at: Millis,
    pub on_durable: Vec<OnDurable>,
}

/// The disk work in flight, in order, and what has been written since the last checkpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskTickets {
    last_number: u64,
    in_flight: VecDeque<Ticket>,
    /// About how many bytes of records follow the last checkpoint.
    bytes_since_checkpoint: usize,
}

impl DiskTickets {
    /// Issues a ticket for records of about so many bytes.
    pub(crate) fn issue_records(
        &mut self,
        bytes: usize,
        on_durable: Vec<OnDurable>,
        now: Millis,
    ) -> u64 {
        self.bytes_since_checkpoint += bytes;
        self.issue(on_durable, now)
    }

    /// Issues a ticket for a checkpoint, which replaces all records.
    pub(crate) fn issue_checkpoint(&mut self, on_durable: Vec<OnDurable>, now: Millis) -> u64 {
        self.bytes_since_checkpoint = 0;
        self.issue(on_durable, now)
    }

    fn issue(&mut self, on_durable: Vec<OnDurable>, now: Millis) -> u64 {
        self.last_number += 1;
        self.in_flight.push_back(Ticket {
            number: self.last_number,
            issued_at: now,
            on_durable,
        });
        self.last_number
    }

    /// Takes the oldest ticket, when its number is at most `completed`.
    pub(crate) fn pop_completed(&mut self, completed: u64) -> Option<Ticket> {
        let oldest = self.in_flight.front()?;
        if oldest.number > completed {
            return None;
        }
        self.in_flight.pop_front()
    }

    /// When the oldest work in flight was issued.
    pub(crate) fn oldest_issued_at(&self) -> Option<Millis> {
        self.in_flight.front().map(|ticket| ticket.issued_at)
    }

    /// Whether nothing is in flight and the records take up more than so many bytes.
    pub(crate) fn needs_checkpoint(&self, max_bytes: usize) -> bool {
        self.bytes_since_checkpoint > max_bytes && self.in_flight.is_empty()
    }

    /// Entries that are still in flight to the disk are not those of the log any more.
    pub(crate) fn forget_entries_in_flight(&mut self) {
        for ticket in &mut self.in_flight {
            ticket
                .on_durable
                .retain(|release| !matches!(release, OnDurable::EntriesDurable(_)));
        }
    }
}
