//! Delivery of messages, completion of disk work, and handling of the replicas' outputs.
use super::{Event, Group, RunningReplica, DELAY_MS};
use crate::common::disk_change::DiskChange;
use magpiegap_control::Output;
use magpiegap_protocol::{Millis, PeerMessage, ReplicaId, WallMillis};
use rand::Rng;

/// Messages with more missing entries than this have the catch-up delay.
const MAX_ENTRIES_WITHOUT_DELAY: usize = 5;
/// Upper bound of random message delays.
const MAX_DELAY_MS: Millis = 30;
/// Upper bound of random sync durations.
const MAX_SYNC_MS: Millis = 60;

impl Group {
    pub(super) fn run_events(&mut self) {
        while let Some(first) = self
            .events
            .first_entry()
            .filter(|first| first.key().0 <= self.now)
        {
            let ((_, sequence), event) = first.remove_entry();
            let at = match &event {
                Event::Message { to, .. } => *to,
                Event::Persisted { address, .. } => *address,
            };
            if self.is_frozen(at) {
                let until = self.frozen_until[&at];
                // The event keeps its sequence number, so that messages on a link and disk work stay in order.
                self.events.insert((until, sequence), event);
                continue;
            }
            match event {
                Event::Message { to, from, message } => self.deliver(to, from, *message),
                Event::Persisted {
                    address,
                    incarnation,
                    ticket,
                    change,
                } => {
                    self.handle_persisted(address, incarnation, ticket, *change);
                }
            }
        }
    }

    fn deliver(&mut self, to: u32, from: ReplicaId, message: PeerMessage) {
        let now = self.now;
        if let Some(RunningReplica { replica, state }) = self.running.get_mut(&to) {
            replica.handle_message(now, WallMillis(now), from, message, state);
        }
        self.handle_outputs(to);
    }

    fn handle_persisted(
        &mut self,
        address: u32,
        incarnation: u64,
        ticket: u64,
        change: DiskChange,
    ) {
        let now = self.now;
        let running = self
            .running
            .get_mut(&address)
            .filter(|running| running.replica.own().incarnation == incarnation);
        let Some(RunningReplica { replica, state }) = running else {
            return;
        };
        replica.handle_persisted(ticket, now, state);
        if let Some(disk) = self.disks.get_mut(&address) {
            change.apply(disk);
        }
        self.handle_outputs(address);
    }

    pub(super) fn handle_outputs(&mut self, address: u32) {
        let Some(running) = self.running.get_mut(&address) else {
            return;
        };
        let own = running.replica.own();
        for output in running.replica.poll_outputs() {
            match output {
                Output::Send { to, message } => self.send(own, to, message),
                Output::Persist { ticket, records } => {
                    self.write_disk(own, ticket, DiskChange::Records(records));
                }
                Output::Checkpoint { ticket, snapshot } => {
                    self.write_disk(own, ticket, DiskChange::Checkpoint(snapshot));
                }
                Output::DiskSuperseded => self.disks_to_wipe.push(address),
                Output::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: u32, message: PeerMessage) {
        let is_partitioned =
            self.partitioned.contains(&to) || self.partitioned.contains(&from.member.address);
        let pair = (to.min(from.member.address), to.max(from.member.address));
        if (is_partitioned || self.partitioned_links.contains(&pair)) && to != from.member.address {
            return;
        }
        let delay = match message {
            PeerMessage::SnapshotChunk { .. } => self.catch_up_delay_ms,
            PeerMessage::MissingEntries { ref entries, .. }
                if entries.len() > MAX_ENTRIES_WITHOUT_DELAY =>
            {
                self.catch_up_delay_ms
            }
            _ => self.duration(DELAY_MS, MAX_DELAY_MS),
        };
        // Messages from one replica to another arrive in order.
        let last_arrival = self
            .last_arrivals
            .entry((from.member.address, to))
            .or_default();
        let arrival = (self.now + delay).max(*last_arrival);
        *last_arrival = arrival;
        let event = Event::Message {
            to,
            from,
            message: Box::new(message),
        };
        self.schedule_at(arrival, event);
    }

    fn write_disk(&mut self, own: ReplicaId, ticket: u64, change: DiskChange) {
        let address = own.member.address;
        let event = Event::Persisted {
            address,
            incarnation: own.incarnation,
            ticket,
            change: Box::new(change),
        };
        // A disk completes its work in order.
        let sync = self.duration(self.sync_ms, MAX_SYNC_MS);
        let busy_until = self.disk_busy_until.entry(address).or_default();
        *busy_until = (self.now + sync).max(*busy_until);
        let at = *busy_until;
        self.schedule_at(at, event);
    }

    /// The fixed duration, or a random one up to `max` if the group is randomized.
    fn duration(&mut self, fixed: Millis, max: Millis) -> Millis {
        self.random
            .as_mut()
            .map_or(fixed, |random| random.gen_range(1..=max))
    }

    pub(super) fn schedule_at(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
