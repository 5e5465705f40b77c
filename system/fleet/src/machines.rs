//! Starts and stops the core machines, and brings about faults.
use crate::{
    disk::Disk,
    events::{Event, Restore},
    faults::Fault,
    fleet::{Fleet, FleetSettings, MAX_HOLD_MS},
};
use magpiegap_control::{ControlSettings, DurableState, Tolerance};
use magpiegap_coordinator::{take_snapshot, Coordinator, CoordinatorSettings, Machine};
use magpiegap_protocol::{Location, Member, ReplicaId};
use magpiegap_scheduler::SchedulerSettings;
use rand::Rng;

/// A process that was told to end has this long to hand over, in milliseconds.
const MOST_HAND_OVER_MS: u64 = 3500;

impl Fleet {
    pub(crate) fn start_nodes(&mut self) {
        for number in 0..self.nodes.len() {
            if self.nodes[number]
                .restart_at
                .is_some_and(|at| self.now >= at)
            {
                self.start_node(number);
            }
        }
    }

    /// The operator's list of core machines, as it is now.
    fn seeds(&self) -> Vec<u32> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    pub(crate) fn start_node(&mut self, number: usize) {
        let incarnation = self.random.gen();
        let disk = self.random.gen::<u64>().max(1);
        let node = &mut self.nodes[number];
        let empty = || {
            let state = take_snapshot(&magpiegap_jobs::State::default());
            DurableState::empty(disk, None, Vec::new(), state)
        };
        // What an empty disk is to hold is on it once the coordinator has had it written.
        let state: DurableState = node.disk.state().unwrap_or_else(empty);
        node.member = Member {
            address: node.address,
            disk: state.disk,
        };
        node.life += 1;
        node.started = self.now;
        node.restart_at = None;
        let own = ReplicaId {
            member: node.member,
            incarnation,
        };
        let settings = coordinator_settings(&self.settings, self.seeds(), own);
        let steady = self.nodes[number].steady(self.now);
        let machine = Machine::recover(&state).unwrap_or_default();
        let coordinator = Coordinator::new(settings, state, machine, steady);
        self.nodes[number].coordinator = Some(coordinator);
        self.perform(number);
    }

    pub(crate) fn stop_node(&mut self, number: usize, for_ms: u64) {
        self.nodes[number].leaves_for_ms = None;
        self.nodes[number].coordinator = None;
        self.nodes[number].life += 1;
        self.nodes[number].restart_at = Some(self.now + for_ms);
    }

    /// Brings about a fault.
    pub fn strike(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { node, for_ms } => {
                self.nodes[node].disk.process_dies();
                self.stop_node(node, for_ms);
            }
            Fault::PowerLoss { node, for_ms } => {
                self.nodes[node].disk.power_is_lost(&mut self.random);
                self.stop_node(node, for_ms);
            }
            Fault::Wipe { node, for_ms } => {
                self.nodes[node].disk = Disk::default();
                self.stop_node(node, for_ms);
            }
            Fault::PowerLossOfAll { for_ms } => {
                for node in 0..self.nodes.len() {
                    self.nodes[node].disk.power_is_lost(&mut self.random);
                    let jitter = self.random.gen_range(0..300);
                    self.stop_node(node, for_ms + jitter);
                }
            }
            Fault::Freeze { node, for_ms } => self.nodes[node].frozen_until = self.now + for_ms,
            Fault::Cut { from, to, for_ms } => {
                self.cuts.insert((from, to));
                self.schedule(for_ms, Event::Restore(Restore::Node { from, to }));
            }
            Fault::CutOff { node, for_ms } => {
                for other in (0..self.nodes.len()).filter(|other| *other != node) {
                    for (from, to) in [(node, other), (other, node)] {
                        self.cuts.insert((from, to));
                        self.schedule(for_ms, Event::Restore(Restore::Node { from, to }));
                    }
                }
            }
            Fault::Leave { node, for_ms } => {
                self.nodes[node].leaves_for_ms = Some(for_ms);
                let life = self.nodes[node].life;
                self.with_node(node, None, |coordinator, now, _| coordinator.drain(now));
                self.schedule(
                    MOST_HAND_OVER_MS,
                    Event::Restore(Restore::Leaving { node, life }),
                );
            }
            Fault::Replace { node, for_ms } => {
                self.last_address += 1;
                self.nodes[node].disk = Disk::default();
                self.nodes[node].address = self.last_address;
                self.stop_node(node, for_ms);
            }
            Fault::WorkerCut {
                worker,
                answers_only,
                for_ms,
            } => {
                self.workers_cut.insert(worker, answers_only);
                self.schedule(for_ms, Event::Restore(Restore::WorkerCut(worker)));
            }
            Fault::WorkerCrash { worker, for_ms } => {
                if let Some(old) = self.workers[worker].take() {
                    self.oracle.life_over(&old.entry.incarnation);
                    self.schedule(for_ms, Event::Restore(Restore::Worker(worker)));
                }
            }
            Fault::LateOrders { percent, for_ms } => {
                self.late_percent = percent;
                self.schedule(for_ms, Event::Restore(Restore::Orders));
            }
            Fault::SlowDisk {
                node,
                sync_ms,
                for_ms,
            } => {
                self.slow_disks.insert(node, sync_ms);
                self.schedule(for_ms, Event::Restore(Restore::Disk(node)));
            }
            Fault::ClockStep { node, by_ms } => self.nodes[node].wall_offset += by_ms,
        }
    }

    pub(crate) fn restore(&mut self, what: Restore) {
        match what {
            Restore::Node { from, to } => {
                self.cuts.remove(&(from, to));
            }
            Restore::Worker(number) => self.workers[number] = Some(self.new_worker(number)),
            Restore::WorkerCut(worker) => {
                self.workers_cut.remove(&worker);
            }
            Restore::Disk(node) => {
                self.slow_disks.remove(&node);
            }
            Restore::Orders => self.late_percent = 0,
            Restore::Leaving { node, life } if self.nodes[node].life == life => {
                self.end_leaving(node)
            }
            Restore::Leaving { .. } => {}
        }
    }

    /// Ends a process that was told to leave.
    fn end_leaving(&mut self, node: usize) {
        if let Some(for_ms) = self.nodes[node].leaves_for_ms.take() {
            self.nodes[node].disk.process_dies();
            self.stop_node(node, for_ms);
        }
    }

    /// Ends the processes that were told to leave, and whose others go on without them.
    pub(crate) fn end_those_that_left(&mut self) {
        for node in 0..self.nodes.len() {
            let has_left = self.nodes[node]
                .coordinator
                .as_ref()
                .is_some_and(Coordinator::has_departed);
            if has_left {
                self.end_leaving(node);
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
            max_lease_ms: MAX_HOLD_MS,
            ..SchedulerSettings::default()
        },
        lease_ms: 900,
        list_interval_ms: 600,
    }
}
