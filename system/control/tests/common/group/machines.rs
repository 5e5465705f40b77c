//! Machines start, end, lose their disks and are replaced.
use super::{Event, Group, Running};
use crate::common::{counting_state::CountingState, disk_change::DiskChange};
use magpiegap_control::{restore, ControlSettings, DurableState, Replica, StateMachine};
use magpiegap_protocol::{Member, Millis, ReplicaId};

impl Group {
    /// Starts the process on a machine.
    pub(crate) fn start_replica(&mut self, address: u32) {
        self.incarnations += 1;
        let disk = self.disks[&address].clone();
        let own = ReplicaId {
            member: Member {
                address,
                disk: disk.disk,
            },
            incarnation: self.incarnations,
        };
        let settings = ControlSettings {
            own,
            seeds: self.disks.keys().copied().collect(),
            location: self.locations.get(&address).copied().unwrap_or_default(),
            tolerance: self.tolerance,
            heartbeat_interval_ms: 60,
            suspicion_timeout_ms: 320,
            seed: self.incarnations,
        };
        let mut machine = CountingState::default();
        restore(&mut machine, &*disk.state).expect("the disk holds a state");
        let replica = Replica::new(settings, disk, self.now);
        self.running.insert(address, Running { replica, machine });
        self.perform(address);
    }

    /// Ends the process on a machine. What it had not synced is lost.
    pub(crate) fn stop_replica(&mut self, address: u32) {
        self.running.remove(&address);
    }

    /// Ends the process on a machine; its disk gets all that the process had written.
    pub(crate) fn kill_replica(&mut self, address: u32) {
        let Some(killed) = self.running.remove(&address) else {
            return;
        };
        let own_incarnation = killed.replica.own().incarnation;
        let of_process = |event: &Event| matches!(event, Event::Persisted { address: at, incarnation, .. } if *at == address && *incarnation == own_incarnation);
        let keys: Vec<(Millis, u64)> = self
            .events
            .iter()
            .filter(|(_, event)| of_process(event))
            .map(|(key, _)| *key)
            .collect();
        let mut written: Vec<(u64, Box<DiskChange>)> = Vec::new();
        for key in keys {
            if let Some(Event::Persisted { ticket, change, .. }) = self.events.remove(&key) {
                written.push((ticket, change));
            }
        }
        written.sort_by_key(|(ticket, _)| *ticket);
        for (_, change) in written {
            if let Some(disk) = self.disks.get_mut(&address) {
                change.apply(disk);
            }
        }
    }

    /// Empties the disk of a machine whose process does not run.
    pub(crate) fn wipe(&mut self, address: u32) {
        let disk = 1000 + self.incarnations;
        let state = CountingState::default().snapshot();
        self.disks
            .insert(address, DurableState::empty(disk, None, Vec::new(), state));
    }

    /// Takes a copy of a machine's disk, as it would outlast a loss of power.
    pub(crate) fn copy_disk(&mut self, address: u32) {
        self.copies.insert(address, self.disks[&address].clone());
    }

    /// Puts the disk of a machine whose process does not run back from its copy.
    pub(crate) fn put_back(&mut self, address: u32) {
        let copy = self.copies[&address].clone();
        self.disks.insert(address, copy);
    }

    /// Machines whose processes have given their disks up start anew with empty ones.
    pub(super) fn empty_superseded(&mut self) {
        for address in std::mem::take(&mut self.to_empty) {
            self.superseded.push(address);
            self.stop_replica(address);
            self.wipe(address);
            self.start_replica(address);
        }
    }

    /// A machine is removed for good, and an empty one starts at another address.
    pub(crate) fn replace(&mut self, removed: u32, new: u32) {
        self.running.remove(&removed);
        self.disks.remove(&removed);
        self.wipe(new);
        self.start_replica(new);
    }
}
