//! Messages arrive, disks confirm, and what replicas want is done.
use super::{Event, Group, Running, DELAY_MS};
use crate::common::disk_change::DiskChange;
use magpiegap_control::Output;
use magpiegap_protocol::{Millis, PeerMessage, ReplicaId, WallMillis};
use rand::Rng;

/// So many missing entries are sent as fast as anything else.
const FEW_ENTRIES: usize = 5;
/// Where chance decides, messages and syncs take up to this long.
const MAX_DELAY_MS: Millis = 30;
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
                // It keeps its place: messages on a link arrive, and a disk confirms, in order.
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
        if let Some(Running { replica, machine }) = self.running.get_mut(&to) {
            replica.handle_messages(now, WallMillis(now), from, message, machine);
        }
        self.perform(to);
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
        let Some(Running { replica, machine }) = running else {
            return;
        };
        replica.handle_persisted(ticket, now, machine);
        if let Some(disk) = self.disks.get_mut(&address) {
            change.apply(disk);
        }
        self.perform(address);
    }

    pub(super) fn perform(&mut self, address: u32) {
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
                Output::DiskSuperseded => self.to_empty.push(address),
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
            PeerMessage::MissingEntries { ref entries, .. } if entries.len() > FEW_ENTRIES => {
                self.catch_up_delay_ms
            }
            _ => self.some_time(DELAY_MS, MAX_DELAY_MS),
        };
        // Messages from one replica to another arrive in order.
        let link = self.links.entry((from.member.address, to)).or_default();
        let arrival = (self.now + delay).max(*link);
        *link = arrival;
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
        // A disk does its work in order.
        let sync = self.some_time(self.sync_ms, MAX_SYNC_MS);
        let done = self.syncs.entry(address).or_default();
        *done = (self.now + sync).max(*done);
        let at = *done;
        self.schedule_at(at, event);
    }

    fn some_time(&mut self, expected: Millis, max: Millis) -> Millis {
        self.random
            .as_mut()
            .map_or(expected, |random| random.gen_range(1..=max))
    }

    pub(super) fn schedule_at(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
