//! A group of replicas with disks and a network in memory.
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

/// Length of one step of time.
const STEP_MS: Millis = 5;
/// How long a sync takes, unless a test says otherwise.
const SYNC_MS: Millis = 9;
/// How long a message takes, unless it carries much that a replica is missing.
const DELAY_MS: Millis = 2;

struct Running {
    replica: Replica,
    machine: CountingState,
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

/// The group.
pub(crate) struct Group {
    pub now: Millis,
    pub tolerance: Tolerance,
    /// The location of each machine; those not named are in one unknown zone.
    pub locations: BTreeMap<u32, Location>,
    /// How long it takes to send a replica that has missed much what it is missing.
    pub catch_up_delay_ms: Millis,
    /// How long a sync takes.
    pub sync_ms: Millis,
    /// Those that neither send nor receive.
    pub partitioned: BTreeSet<u32>,
    /// Pairs that don't hear each other, the lower address first.
    pub partitioned_links: BTreeSet<(u32, u32)>,
    /// Frozen machines, and until when.
    pub frozen_until: BTreeMap<u32, Millis>,
    /// Draws how long messages and syncs take; `None`: always the same.
    pub random: Option<StdRng>,
    /// What was applied under each index, by whichever replica did it first.
    pub history: BTreeMap<u64, ProposalId>,
    /// Indexes under which another replica has applied something else.
    pub contradictions: Vec<u64>,
    /// Machines whose disks were found to be old copies that are not needed, in that order.
    pub superseded: Vec<u32>,
    /// Those of them that are to start anew.
    to_empty: Vec<u32>,
    /// Copies of disks that were taken at some time.
    copies: BTreeMap<u32, DurableState>,
    running: BTreeMap<u32, Running>,
    disks: BTreeMap<u32, DurableState>,
    events: BTreeMap<(Millis, u64), Event>,
    /// When the last message in flight from one to another arrives.
    links: BTreeMap<(u32, u32), Millis>,
    /// When the last work of each disk is done.
    syncs: BTreeMap<u32, Millis>,
    sequence: u64,
    incarnations: u64,
    proposals: u64,
}

impl Group {
    /// A group of this size whose members start for the first time.
    pub(crate) fn start(size: u32, tolerance: usize) -> Group {
        let places = vec![""; size as usize];
        Group::start_in_zones(&places, size, Tolerance::of_machines(tolerance))
    }

    /// A group with a member in each of these zones that start for the first time, the first of them known to all.
    pub(crate) fn start_in_zones(zones: &[&str], seeds: u32, tolerance: Tolerance) -> Group {
        let voters: Vec<Member> = (1..=seeds)
            .map(|address| Member { address, disk: 0 })
            .collect();
        let location = |zone: &&str| Location {
            zone: FailureDomainId::of(zone),
            region: FailureDomainId::of("region"),
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
            contradictions: Vec::new(),
            superseded: Vec::new(),
            to_empty: Vec::new(),
            copies: BTreeMap::new(),
            running: BTreeMap::new(),
            disks: BTreeMap::new(),
            events: BTreeMap::new(),
            links: BTreeMap::new(),
            syncs: BTreeMap::new(),
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

    /// Whether the process on a machine runs.
    pub(crate) fn runs(&self, address: u32) -> bool {
        self.running.contains_key(&address)
    }

    /// All machines.
    pub(crate) fn addresses(&self) -> Vec<u32> {
        self.disks.keys().copied().collect()
    }

    fn is_frozen(&self, address: u32) -> bool {
        self.frozen_until
            .get(&address)
            .is_some_and(|until| self.now < *until)
    }

    /// Takes note of what replicas have applied.
    fn compare(&mut self) {
        for running in self.running.values_mut() {
            for (index, proposal) in running.machine.take_applied() {
                if *self.history.entry(index).or_insert(proposal) != proposal {
                    self.contradictions.push(index);
                }
            }
        }
    }

    /// A replica that runs.
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

    /// Number of the newest view.
    pub(crate) fn view(&self) -> u64 {
        self.running
            .values()
            .map(|running| running.replica.view().number)
            .max()
            .unwrap_or_default()
            .0
    }

    /// The newest entry that any replica knows to be committed.
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
        self.running[&address].machine.position.index.0
    }

    /// Lets every replica that holds itself for the head write an entry.
    pub(crate) fn write_everywhere(&mut self) {
        let now = self.now;
        let awake: Vec<u32> = self
            .running
            .keys()
            .copied()
            .filter(|at| !self.is_frozen(*at))
            .collect();
        for address in awake {
            let Some(Running { replica, machine }) = self.running.get_mut(&address) else {
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
            replica.flush(now, machine);
            self.perform(address);
        }
    }

    /// Lets the head write an entry; `false` when there is none.
    pub(crate) fn write(&mut self) -> bool {
        self.proposals += 1;
        let now = self.now;
        let head = self
            .running
            .values_mut()
            .find(|running| running.replica.is_head());
        let Some(Running { replica, machine }) = head else {
            return false;
        };
        let proposal = ProposalId {
            origin: replica.own(),
            sequence: self.proposals,
        };
        replica.propose(WallMillis(now), proposal, None, Command::Noop);
        replica.flush(now, machine);
        true
    }

    /// Lets time pass.
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
                if let Some(Running { replica, machine }) = self.running.get_mut(&address) {
                    replica.on_timeout(now, WallMillis(now), machine);
                }
                self.perform(address);
            }
            self.compare();
            self.empty_superseded();
        }
    }
}
