//! Starting, stopping and replacing machines, and losing and restoring their disks.
use super::{Event, Group, RunningReplica};
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
            random_seed: self.incarnations,
        };
        let mut state = CountingState::default();
        restore(&mut state, &*disk.state).expect("the state on disk can be restored");
        let replica = Replica::new(settings, disk, self.now);
        self.running
            .insert(address, RunningReplica { replica, state });
        self.handle_outputs(address);
    }

    /// Stops the process on a machine as by a power loss: what was not synced is lost.
    pub(crate) fn stop_replica(&mut self, address: u32) {
        self.running.remove(&address);
    }

    /// Kills the process on a machine. Everything that it has written stays on the disk.
    pub(crate) fn kill_replica(&mut self, address: u32) {
        let Some(killed) = self.running.remove(&address) else {
            return;
        };
        let own_incarnation = killed.replica.own().incarnation;
        let is_of_process = |event: &Event| matches!(event, Event::Persisted { address: at, incarnation, .. } if *at == address && *incarnation == own_incarnation);
        let keys: Vec<(Millis, u64)> = self
            .events
            .iter()
            .filter(|(_, event)| is_of_process(event))
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

    /// Wipes the disk of a machine whose process is stopped.
    pub(crate) fn wipe(&mut self, address: u32) {
        let disk = 1000 + self.incarnations;
        let state = CountingState::default().snapshot();
        self.disks
            .insert(address, DurableState::empty(disk, None, Vec::new(), state));
    }

    /// Copies the durable content of a machine's disk.
    pub(crate) fn copy_disk(&mut self, address: u32) {
        self.copies.insert(address, self.disks[&address].clone());
    }

    /// Restores the disk of a machine whose process is stopped from its copy.
    pub(crate) fn restore_disk(&mut self, address: u32) {
        let copy = self.copies[&address].clone();
        self.disks.insert(address, copy);
    }

    /// Wipes superseded disks and restarts their machines.
    pub(super) fn replace_superseded_disks(&mut self) {
        for address in std::mem::take(&mut self.disks_to_wipe) {
            self.superseded.push(address);
            self.stop_replica(address);
            self.wipe(address);
            self.start_replica(address);
        }
    }

    /// Removes a machine permanently, and starts one with an empty disk at another address.
    pub(crate) fn replace(&mut self, removed: u32, new: u32) {
        self.running.remove(&removed);
        self.disks.remove(&removed);
        self.wipe(new);
        self.start_replica(new);
    }
}
