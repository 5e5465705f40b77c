//! Events at the machines: processes start and stop, disks sync, messages are delivered, time passes.
use crate::{
    common::{counting_state::CountingState, disk_change::DiskChange},
    world::{address, World, TICK_MS},
};
use magpiegap_control::{
    restore, ControlSettings, DurableState, Output, Replica, StateMachine, Tolerance,
};
use magpiegap_protocol::{
    Command, Location, Member, Millis, PeerMessage, ProposalId, ReplicaId, WallMillis,
};
use std::collections::VecDeque;

impl World {
    pub(crate) fn start(&mut self, machine: usize, tolerance: usize) {
        self.incarnations += 1;
        let disk = self.machines[machine].disk.clone();
        let own = ReplicaId {
            member: Member {
                address: address(machine),
                disk: disk.disk,
            },
            incarnation: self.incarnations,
        };
        let settings = ControlSettings {
            own,
            seeds: (0..self.machines.len()).map(address).collect(),
            location: Location::default(),
            tolerance: Tolerance::of_machines(tolerance),
            heartbeat_interval_ms: 60,
            suspicion_timeout_ms: 320,
            random_seed: 1,
        };
        let mut state = CountingState::default();
        restore(&mut state, &*disk.state).expect("the state on disk can be restored");
        let replica = Replica::new(settings, disk, self.now);
        self.machines[machine].process = Some((replica, state));
        self.handle_outputs(machine);
    }

    pub(crate) fn stop_process(&mut self, machine: usize) {
        self.machines[machine].process = None;
        self.machines[machine].is_frozen = false;
        self.reads.retain(|read| read.machine != machine);
        // Messages in flight to the process are lost with its connections.
        self.links.retain(|(_, to), _| *to != machine);
    }

    pub(crate) fn lose_power(&mut self, machine: usize) {
        self.machines[machine].pending.clear();
        self.machines[machine].disk = self.machines[machine].synced.clone();
        self.stop_process(machine);
    }

    /// Stops a machine's process and wipes its disk, which gets a new identity.
    pub(crate) fn wipe(&mut self, machine: usize) {
        self.stop_process(machine);
        let name = 1000 + self.incarnations;
        let empty =
            DurableState::empty(name, None, Vec::new(), CountingState::default().snapshot());
        let wiped = &mut self.machines[machine];
        wiped.pending.clear();
        wiped.disk = empty.clone();
        wiped.synced = empty;
    }

    /// Copies the durable content of each disk, as an operator would do while the machines run.
    pub(crate) fn copy_disks(&mut self) {
        for machine in &mut self.machines {
            machine.copy = Some(Box::new(machine.synced.clone()));
        }
    }

    /// Stops a machine's process and restores its disk from the copy.
    pub(crate) fn restore(&mut self, machine: usize) {
        self.stop_process(machine);
        let restored = &mut self.machines[machine];
        let Some(copy) = restored.copy.clone() else {
            return;
        };
        restored.pending.clear();
        restored.disk = (*copy).clone();
        restored.synced = *copy;
    }

    /// Runs a step of a replica and handles the outputs.
    pub(crate) fn step_replica(
        &mut self,
        machine: usize,
        step: impl FnOnce(&mut Replica, Millis, &mut CountingState),
    ) {
        let now = self.now;
        if let Some((replica, state)) = self.machines[machine].process.as_mut() {
            step(replica, now, state);
        }
        self.handle_outputs(machine);
    }

    pub(crate) fn handle_outputs(&mut self, machine: usize) {
        loop {
            let now = self.now;
            let Some((replica, state)) = self.machines[machine].process.as_mut() else {
                return;
            };
            replica.flush(now, state);
            let outputs = replica.poll_outputs();
            let own = replica.own();
            let applied = state.take_applied();
            for (index, proposal) in applied {
                if *self.history.entry(index).or_insert(proposal) != proposal {
                    self.violation =
                        Some(format!("entry {index} was replaced by another proposal"));
                }
            }
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle_output(machine, own, output);
            }
            if self.machines[machine].is_superseded {
                self.machines[machine].is_superseded = false;
                self.wipe(machine);
            }
        }
    }

    pub(crate) fn handle_output(&mut self, machine: usize, own: ReplicaId, output: Output) {
        match output {
            Output::Persist { ticket, records } => {
                self.machines[machine]
                    .pending
                    .push_back((ticket, DiskChange::Records(records)));
            }
            Output::Checkpoint { ticket, snapshot } => {
                self.machines[machine]
                    .pending
                    .push_back((ticket, DiskChange::Checkpoint(snapshot)));
            }
            Output::Send { to, message } => self.send(machine, own, (to - 1) as usize, message),
            Output::DiskSuperseded => self.machines[machine].is_superseded = true,
            Output::Log(_) => {}
        }
    }

    pub(crate) fn send(&mut self, from: usize, own: ReplicaId, to: usize, message: PeerMessage) {
        if from == to {
            self.step_replica(to, |replica, now, state| {
                replica.handle_message(now, WallMillis(now), own, message, state)
            });
            return;
        }
        let is_partitioned = self.machines[from].is_partitioned || self.machines[to].is_partitioned;
        if is_partitioned || self.machines[to].process.is_none() {
            return;
        }
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat(_));
        if is_heartbeat && self.is_responsive(to) {
            self.step_replica(to, |replica, now, state| {
                replica.handle_message(now, WallMillis(now), own, message, state)
            });
            return;
        }
        self.links
            .entry((from, to))
            .or_default()
            .push_back((own, message));
    }

    /// Syncs everything that was submitted to a disk.
    pub(crate) fn sync(&mut self, machine: usize) {
        let pending = std::mem::take(&mut self.machines[machine].pending);
        let Some((last, _)) = pending.back() else {
            return;
        };
        let last = *last;
        self.apply_changes(machine, pending);
        let synced_machine = &mut self.machines[machine];
        synced_machine.synced = synced_machine.disk.clone();
        self.step_replica(machine, |replica, now, state| {
            replica.handle_persisted(last, now, state)
        });
    }

    pub(crate) fn apply_changes(&mut self, machine: usize, pending: VecDeque<(u64, DiskChange)>) {
        let disk = &mut self.machines[machine].disk;
        pending
            .into_iter()
            .for_each(|(_, change)| change.apply(disk));
    }

    pub(crate) fn tick(&mut self) {
        self.now += TICK_MS;
        for machine in 0..self.machines.len() {
            if self.is_responsive(machine) {
                self.step_replica(machine, |replica, now, state| {
                    replica.on_timeout(now, WallMillis(now), state)
                });
            }
        }
        self.serve_reads();
    }

    pub(crate) fn write(&mut self) {
        let heads: Vec<usize> = (0..self.machines.len())
            .filter(|machine| {
                self.is_responsive(*machine) && self.replica(*machine).is_some_and(Replica::is_head)
            })
            .collect();
        for machine in heads {
            self.proposals += 1;
            let sequence = self.proposals;
            self.step_replica(machine, |replica, now, _| {
                let proposal = ProposalId {
                    origin: replica.own(),
                    sequence,
                };
                replica.propose(WallMillis(now), proposal, None, Command::Noop);
            });
        }
    }

    /// Advances the time by a number of ticks, and delivers and syncs everything after each.
    pub(crate) fn run_ticks(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.tick();
            self.deliver_all();
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        loop {
            for machine in 0..self.machines.len() {
                self.sync(machine);
            }
            let Some(link) = self
                .links
                .iter()
                .find(|(_, queue)| !queue.is_empty())
                .map(|(link, _)| *link)
            else {
                return;
            };
            self.deliver(link.0, link.1);
        }
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize) {
        let next = self
            .links
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front);
        self.links.retain(|_, queue| !queue.is_empty());
        if let Some((own, message)) = next {
            self.step_replica(to, |replica, now, state| {
                replica.handle_message(now, WallMillis(now), own, message, state)
            });
        }
    }
}
