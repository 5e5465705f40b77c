//! A group of replicas with simulated disks, network and time.
mod delivery;
mod machines;

use super::{counting_state::CountingState, disk_change::DiskChange};
use magpiegap_control::{DurableState, Replica, StateMachine, Tolerance};
use magpiegap_protocol::{
    Command, FailureDomainId, Location, Member, Millis, PeerMessage, ProposalId, ReplicaId,
    ViewNumber, WallMillis,
};
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

/// The time between two steps of the simulation.
const STEP_MS: Millis = 5;
/// Default duration of a disk sync.
const SYNC_MS: Millis = 9;
/// Default delay of a message.
const DELAY_MS: Millis = 2;

struct RunningReplica {
    replica: Replica,
    state: CountingState,
}

enum Event {
    Message {
        to: u32,
        from: ReplicaId,
        message: Box<PeerMessage>,
    },
    Persisted {
        address: u32,
        incarnation: u64,
        ticket: u64,
        change: Box<DiskChange>,
    },
}

/// A simulated group of replicas.
pub(crate) struct Group {
    pub now: Millis,
    pub tolerance: Tolerance,
    /// The location of each machine. Machines without an entry are in one unknown zone.
    pub locations: BTreeMap<u32, Location>,
    /// The delay of messages with snapshot chunks or with many missing entries.
    pub catch_up_delay_ms: Millis,
    /// Duration of a disk sync.
    pub sync_ms: Millis,
    /// Machines that are cut off from all others.
    pub partitioned: BTreeSet<u32>,
    /// Pairs of machines without a link between them, the lower address first.
    pub partitioned_links: BTreeSet<(u32, u32)>,
    /// When each frozen machine continues.
    pub frozen_until: BTreeMap<u32, Millis>,
    /// Randomizes message delays and syncs; `None` for fixed durations.
    pub random: Option<StdRng>,
    /// The proposal that was first applied at each index by any replica.
    pub history: BTreeMap<u64, ProposalId>,
    /// Indexes at which another replica has applied a different proposal.
    pub conflicts: Vec<u64>,
    /// Machines whose disks were reported as superseded and wiped, in order.
    pub superseded: Vec<u32>,
    /// Machines whose superseded disks are still to be wiped.
    disks_to_wipe: Vec<u32>,
    /// Copies taken of disks.
    copies: BTreeMap<u32, DurableState>,
    running: BTreeMap<u32, RunningReplica>,
    disks: BTreeMap<u32, DurableState>,
    events: BTreeMap<(Millis, u64), Event>,
    /// When the last message in flight on each link, from sender to receiver, arrives.
    last_arrivals: BTreeMap<(u32, u32), Millis>,
    /// When each disk completes its last submitted work.
    disk_busy_until: BTreeMap<u32, Millis>,
    sequence: u64,
    incarnations: u64,
    proposals: u64,
}

impl Group {
    /// Starts a group of this size with empty disks.
    pub(crate) fn start(size: u32, tolerance: usize) -> Group {
        let zones = vec![""; size as usize];
        Group::start_in_zones(&zones, size, Tolerance::of_machines(tolerance))
    }

    /// Starts a group with one member per given zone and empty disks. The first `seeds` members are the initial voters.
    pub(crate) fn start_in_zones(zones: &[&str], seeds: u32, tolerance: Tolerance) -> Group {
        let voters: Vec<Member> = (1..=seeds)
            .map(|address| Member { address, disk: 0 })
            .collect();
        let location = |zone: &&str| Location {
            zone: FailureDomainId::from_name(zone),
            region: FailureDomainId::from_name("region"),
        };
        let locations: BTreeMap<u32, Location> = (1..).zip(zones.iter().map(location)).collect();
        let addresses: Vec<u32> = locations.keys().copied().collect();
        let mut group = Group {
            now: 0,
            tolerance,
            locations,
            catch_up_delay_ms: DELAY_MS,
            sync_ms: SYNC_MS,
            partitioned: BTreeSet::new(),
            partitioned_links: BTreeSet::new(),
            frozen_until: BTreeMap::new(),
            random: None,
            history: BTreeMap::new(),
            conflicts: Vec::new(),
            superseded: Vec::new(),
            disks_to_wipe: Vec::new(),
            copies: BTreeMap::new(),
            running: BTreeMap::new(),
            disks: BTreeMap::new(),
            events: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            disk_busy_until: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
            proposals: 0,
        };
        for address in addresses {
            let state = CountingState::default().snapshot();
            group.disks.insert(
                address,
                DurableState::empty(0, Some(ViewNumber(0)), voters.clone(), state),
            );
            group.start_replica(address);
        }
        group.run(1000);
        group
    }

    /// Whether the process on a machine is running.
    pub(crate) fn is_running(&self, address: u32) -> bool {
        self.running.contains_key(&address)
    }

    /// The addresses of all machines.
    pub(crate) fn addresses(&self) -> Vec<u32> {
        self.disks.keys().copied().collect()
    }

    fn is_frozen(&self, address: u32) -> bool {
        self.frozen_until
            .get(&address)
            .is_some_and(|until| self.now < *until)
    }

    /// Records the newly applied entries of all replicas, and any conflicts between them.
    fn record_applied(&mut self) {
        for running in self.running.values_mut() {
            for (index, proposal) in running.state.take_applied() {
                if *self.history.entry(index).or_insert(proposal) != proposal {
                    self.conflicts.push(index);
                }
            }
        }
    }

    /// The running replica at an address.
    pub(crate) fn replica(&self, address: u32) -> &Replica {
        &self.running[&address].replica
    }

    /// The addresses of the chain in the newest view, head first.
    pub(crate) fn chain(&self) -> Vec<u32> {
        let views = self.running.values().map(|running| running.replica.view());
        let newest = views.max_by_key(|view| view.number);
        newest
            .into_iter()
            .flat_map(|view| view.chain.iter().map(|replica| replica.member.address))
            .collect()
    }

    /// The number of the newest view.
    pub(crate) fn view(&self) -> u64 {
        self.running
            .values()
            .map(|running| running.replica.view().number)
            .max()
            .unwrap_or_default()
            .0
    }

    /// The highest commit index of any replica.
    pub(crate) fn committed(&self) -> u64 {
        self.running
            .values()
            .map(|running| running.replica.commit_index())
            .max()
            .unwrap_or_default()
            .0
    }

    /// The last entry that a replica has applied.
    pub(crate) fn applied(&self, address: u32) -> u64 {
        self.running[&address].state.position.index.0
    }

    /// Proposes an entry at every replica that considers itself the head.
    pub(crate) fn write_at_all_heads(&mut self) {
        let now = self.now;
        let not_frozen: Vec<u32> = self
            .running
            .keys()
            .copied()
            .filter(|at| !self.is_frozen(*at))
            .collect();
        for address in not_frozen {
            let Some(RunningReplica { replica, state }) = self.running.get_mut(&address) else {
                continue;
            };
            if !replica.is_head() {
                continue;
            }
            self.proposals += 1;
            let proposal = ProposalId {
                origin: replica.own(),
                sequence: self.proposals,
            };
            replica.propose(WallMillis(now), proposal, None, Command::Noop);
            replica.flush(now, state);
            self.handle_outputs(address);
        }
    }

    /// Proposes an entry at the head; `false` when there is none.
    pub(crate) fn write(&mut self) -> bool {
        self.proposals += 1;
        let now = self.now;
        let head = self
            .running
            .values_mut()
            .find(|running| running.replica.is_head());
        let Some(RunningReplica { replica, state }) = head else {
            return false;
        };
        let proposal = ProposalId {
            origin: replica.own(),
            sequence: self.proposals,
        };
        replica.propose(WallMillis(now), proposal, None, Command::Noop);
        replica.flush(now, state);
        true
    }

    /// Advances the simulated time.
    pub(crate) fn run(&mut self, for_ms: Millis) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += STEP_MS;
            self.run_events();
            for address in self.running.keys().copied().collect::<Vec<u32>>() {
                let now = self.now;
                if self.is_frozen(address) {
                    continue;
                }
                if let Some(RunningReplica { replica, state }) = self.running.get_mut(&address) {
                    replica.on_timeout(now, WallMillis(now), state);
                }
                self.handle_outputs(address);
            }
            self.record_applied();
            self.replace_superseded_disks();
        }
    }
}
