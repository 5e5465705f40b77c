//! Starts and stops the processes of the core machines.
use super::{Fleet, FleetSettings, MAX_LEASE_MS};
use crate::events::ProcessId;
use magpiegap_control::{ControlSettings, DurableState, Tolerance};
use magpiegap_coordinator::{take_snapshot, Coordinator, CoordinatorSettings, Machine};
use magpiegap_protocol::{Location, Member, ReplicaId};
use magpiegap_scheduler::SchedulerSettings;
use rand::Rng;

impl Fleet {
    pub(super) fn start_due_processes(&mut self) {
        for number in 0..self.nodes.len() {
            let is_due = self.nodes[number]
                .restart_at
                .is_some_and(|at| self.now >= at);
            if is_due {
                self.start_process(number);
            }
        }
    }

    /// The process that a machine has now.
    pub(super) fn process(&self, node: usize) -> ProcessId {
        ProcessId {
            node,
            incarnation: self.nodes[node].incarnation,
        }
    }

    fn start_process(&mut self, number: usize) {
        let replica_incarnation = self.random.gen();
        let new_disk = self.random.gen::<u64>().max(1);
        let node = &mut self.nodes[number];
        let empty = || {
            let state = take_snapshot(&magpiegap_jobs::State::default());
            DurableState::empty(new_disk, None, Vec::new(), state)
        };
        // What an empty disk is to hold is on it once the coordinator has had it written.
        let state: DurableState = node.disk.state().unwrap_or_else(empty);
        node.member = Member {
            address: node.address,
            disk: state.disk,
        };
        node.incarnation += 1;
        node.started_at = self.now;
        node.restart_at = None;
        let own = ReplicaId {
            member: node.member,
            incarnation: replica_incarnation,
        };
        let steady = node.steady(self.now);
        // The operator's list of core machines, as it is now.
        let seeds = self.nodes.iter().map(|node| node.address).collect();
        let settings = coordinator_settings(&self.settings, seeds, own);
        let machine = Machine::recover(&state).unwrap_or_default();
        let coordinator = Coordinator::new(settings, state, machine, steady);
        self.nodes[number].coordinator = Some(coordinator);
        self.perform_outputs(number);
    }

    /// Stops a process; it starts again after a time in milliseconds.
    pub(super) fn stop_process(&mut self, number: usize, for_ms: u64) {
        let node = &mut self.nodes[number];
        node.drain_restart_after_ms = None;
        node.coordinator = None;
        node.incarnation += 1;
        node.restart_at = Some(self.now + for_ms);
    }

    /// Ends a process that was told to drain.
    pub(super) fn end_drain(&mut self, node: usize) {
        if let Some(for_ms) = self.nodes[node].drain_restart_after_ms.take() {
            self.nodes[node].disk.kill_process();
            self.stop_process(node, for_ms);
        }
    }

    /// Ends the drained processes that the others go on without.
    pub(super) fn end_drained_processes(&mut self) {
        for node in 0..self.nodes.len() {
            let has_departed = self.nodes[node]
                .coordinator
                .as_ref()
                .is_some_and(Coordinator::has_departed);
            if has_departed {
                self.end_drain(node);
            }
        }
    }
}

fn coordinator_settings(
    settings: &FleetSettings,
    seeds: Vec<u32>,
    own: ReplicaId,
) -> CoordinatorSettings {
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds,
            location: Location::default(),
            tolerance: Tolerance::of_machines(settings.tolerance),
            heartbeat_interval_ms: 80,
            suspicion_timeout_ms: 420,
            seed: own.incarnation,
        },
        scheduler: SchedulerSettings {
            max_lease_ms: MAX_LEASE_MS,
            ..SchedulerSettings::default()
        },
        lease_ms: 900,
        list_interval_ms: 600,
    }
}
