//! The disk work in flight of a replica. This module owns the order of the work and the effects that take place once
//! each piece is durable; what is written is decided by the replica.
use crate::durable_state::AgreementState;
use magpiegap_protocol::{DiskProgress, LogIndex, LogPosition, Millis, PeerMessage};
use std::collections::VecDeque;

/// An effect that takes place once disk work is durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OnDurable {
    /// Send a message to an address.
    Send { to: u32, message: PeerMessage },
    /// Entries up to this one are durable.
    EntriesDurable(LogIndex),
    /// These votes of this replica are durable.
    VotesDurable(DiskProgress),
    /// The state read at the start is durable.
    RecoveredStateDurable,
}

impl OnDurable {
    /// The effect that the votes in a state of the agreement are durable.
    pub(crate) fn votes_of(state: &AgreementState) -> OnDurable {
        OnDurable::VotesDurable(state.progress(LogPosition::default()))
    }
}

/// Disk work in flight.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Identifies the work. Numbers increase in the order of the work.
    pub number: u64,
    pub issued_at: Millis,
    pub on_durable: Vec<OnDurable>,
}

/// The disk work in flight, oldest first, and the size of the records since the last checkpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskTickets {
    last_number: u64,
    in_flight: VecDeque<Ticket>,
    /// The approximate size of the records since the last checkpoint.
    bytes_since_checkpoint: usize,
}

impl DiskTickets {
    /// Issues a ticket for records of about this size.
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

    /// Removes and returns the oldest ticket if its number is at most `completed`.
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

    /// Whether nothing is in flight and the records since the last checkpoint exceed `max_bytes`.
    pub(crate) fn needs_checkpoint(&self, max_bytes: usize) -> bool {
        self.bytes_since_checkpoint > max_bytes && self.in_flight.is_empty()
    }

    /// Drops the `EntriesDurable` effects in flight, because the log that they refer to was replaced.
    pub(crate) fn forget_entries_in_flight(&mut self) {
        for ticket in &mut self.in_flight {
            ticket
                .on_durable
                .retain(|effect| !matches!(effect, OnDurable::EntriesDurable(_)));
        }
    }
}
