//! Starts and stops the processes of the nodes.
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

    /// The current process of a node.
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
        // An empty disk stays empty until the coordinator writes its initial state.
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
        let monotonic_ms = node.monotonic_ms(self.now);
        // The operator's current list of nodes.
        let seeds = self.nodes.iter().map(|node| node.address).collect();
        let settings = coordinator_settings(&self.settings, seeds, own);
        let machine = Machine::recover(&state).unwrap_or_default();
        let coordinator = Coordinator::new(settings, state, machine, monotonic_ms);
        self.nodes[number].coordinator = Some(coordinator);
        self.perform_outputs(number);
    }

    /// Stops a process, and restarts it after `restart_after_ms` milliseconds.
    pub(super) fn stop_process(&mut self, number: usize, restart_after_ms: u64) {
        let node = &mut self.nodes[number];
        node.drain_restart_after_ms = None;
        node.coordinator = None;
        node.incarnation += 1;
        node.restart_at = Some(self.now + restart_after_ms);
    }

    /// Stops a draining process.
    pub(super) fn end_drain(&mut self, node: usize) {
        if let Some(restart_after_ms) = self.nodes[node].drain_restart_after_ms.take() {
            self.nodes[node].disk.kill_process();
            self.stop_process(node, restart_after_ms);
        }
    }

    /// Stops the draining processes whose coordinators have left the cluster.
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
            random_seed: own.incarnation,
        },
        scheduler: SchedulerSettings {
            max_lease_ms: MAX_LEASE_MS,
            ..SchedulerSettings::default()
        },
        lease_ms: 900,
        list_interval_ms: 600,
    }
}
