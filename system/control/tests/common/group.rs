//! A group of replicas with disks and a network in memory.
use magpiegap_control::{
    restore, ControlSettings, DurableState, FrozenState, Output, Replica, Snapshot, StateMachine, Tolerance,
};
use magpiegap_protocol::{
    decode, encode, Command, Entry, Location, Member, Millis, PeerMessage, PlaceId, Position, ProposalId,
    Replica as ReplicaId,
};
use rand::{rngs::StdRng, Rng};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Length of one step of time.
const STEP_MS: Millis = 5;
/// How long a message takes, unless it tells a replica much that it is missing.
const DELAY_MS: Millis = 2;
/// So many missing entries are told as fast as anything else.
const FEW_ENTRIES: usize = 5;
/// How long a sync takes.
const SYNC_MS: Millis = 9;
/// Where chance decides, messages and syncs take up to this long.
const MOST_DELAY_MS: Millis = 30;
const MOST_SYNC_MS: Millis = 60;

/// How many parts a state has.
const PARTS: u32 = 9;

/// Counts what was applied, and remembers what that was until it is asked.
#[derive(Clone, Debug, Default)]
pub struct CountingState {
    position: Position,
    applied: Vec<(u64, ProposalId)>,
    building: Vec<Position>,
}

#[derive(Debug)]
struct FrozenCount(Position);

impl FrozenState for FrozenCount {
    fn position(&self) -> Position {
        self.0
    }
    fn parts(&self) -> u32 {
        PARTS
    }
    fn part(&self, _number: u32) -> Vec<u8> {
        encode(&self.0)
    }
}

impl CountingState {
    /// Takes what was applied since this was last asked.
    pub fn take_applied(&mut self) -> Vec<(u64, ProposalId)> {
        std::mem::take(&mut self.applied)
    }
}

impl StateMachine for CountingState {
    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.position.index, self.position.index + 1, "entries are applied in order");
        self.position = entry.position;
        self.applied.push((entry.position.index, entry.proposal));
    }
    fn position(&self) -> Position {
        self.position
    }
    fn freeze(&self) -> Arc<dyn FrozenState> {
        Arc::new(FrozenCount(self.position))
    }
    fn begin_restore(&mut self) {
        self.building.clear();
    }
    fn add_part(&mut self, part: &[u8]) -> bool {
        decode(part).map(|position| self.building.push(position)).is_ok()
    }
    fn finish_restore(&mut self, position: Position) -> bool {
        let built = std::mem::take(&mut self.building);
        let whole = built.len() == PARTS as usize && built.iter().all(|part| *part == position);
        if whole {
            self.position = position;
        }
        whole
    }
}

struct Running {
    replica: Replica,
    machine: CountingState,
}

enum Event {
    Message { to: u32, from: ReplicaId, message: Box<PeerMessage> },
    Persisted { address: u32, boot: u64, ticket: u64, change: Box<DiskChange> },
}

enum DiskChange {
    Records(Vec<magpiegap_control::DurableRecord>),
    Whole(Box<Snapshot>),
}

/// The group.
pub struct Group {
    pub now: Millis,
    pub tolerance: Tolerance,
    /// Where each machine stands; those not named stand in one unknown place.
    pub locations: BTreeMap<u32, Location>,
    /// How long it takes to tell a replica that has missed much what it is missing.
    pub catch_up_delay_ms: Millis,
    /// Those that neither send nor receive.
    pub cut_off: BTreeSet<u32>,
    /// Pairs that don't hear each other, the lower address first.
    pub cut_links: BTreeSet<(u32, u32)>,
    /// Machines that stand still, and until when.
    pub frozen: BTreeMap<u32, Millis>,
    /// Seeds how long messages and syncs take; `None`: always the same.
    pub chance: Option<StdRng>,
    /// What was applied under each index, by whichever replica did it first.
    pub history: BTreeMap<u64, ProposalId>,
    /// Indexes under which another replica has applied something else.
    pub contradictions: Vec<u64>,
    running: BTreeMap<u32, Running>,
    disks: BTreeMap<u32, DurableState>,
    events: BTreeMap<(Millis, u64), Event>,
    /// When the last message on the way from one to another arrives.
    links: BTreeMap<(u32, u32), Millis>,
    /// When the last work of each disk is done.
    syncs: BTreeMap<u32, Millis>,
    sequence: u64,
    boots: u64,
    proposals: u64,
}

impl Group {
    /// A group of this size whose members start for the first time.
    pub fn start(size: u32, tolerance: usize) -> Group {
        let places = vec![""; size as usize];
        Group::start_in_zones(&places, size, Tolerance::of_machines(tolerance))
    }

    /// A group with a member in each of these zones that start for the first time, the first of them known to all.
    pub fn start_in_zones(zones: &[&str], seeds: u32, tolerance: Tolerance) -> Group {
        let voters: Vec<Member> = (1..=seeds).map(|address| Member { address, disk: 0 }).collect();
        let location = |zone: &&str| Location { zone: PlaceId::of(zone), region: PlaceId::of("region") };
        let locations: BTreeMap<u32, Location> = (1..).zip(zones.iter().map(location)).collect();
        let addresses: Vec<u32> = locations.keys().copied().collect();
        let mut group = Group {
            now: 0,
            tolerance,
            locations,
            catch_up_delay_ms: DELAY_MS,
            cut_off: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            frozen: BTreeMap::new(),
            chance: None,
            history: BTreeMap::new(),
            contradictions: Vec::new(),
            running: BTreeMap::new(),
            disks: BTreeMap::new(),
            events: BTreeMap::new(),
            links: BTreeMap::new(),
            syncs: BTreeMap::new(),
            sequence: 0,
            boots: 0,
            proposals: 0,
        };
        for address in addresses {
            let state = CountingState::default().freeze();
            group.disks.insert(address, Snapshot::empty(0, Some(0), voters.clone(), state));
            group.start_replica(address);
        }
        group.run(1000);
        group
    }

    /// Starts the process on a machine.
    pub fn start_replica(&mut self, address: u32) {
        self.boots += 1;
        let disk = self.disks[&address].clone();
        let own = ReplicaId { member: Member { address, disk: disk.disk }, boot: self.boots };
        let settings = ControlSettings {
            own,
            seeds: self.disks.keys().copied().collect(),
            location: self.locations.get(&address).copied().unwrap_or_default(),
            tolerance: self.tolerance,
            heartbeat_ms: 60,
            suspect_ms: 320,
            seed: self.boots,
        };
        let mut machine = CountingState::default();
        assert!(restore(&mut machine, &*disk.state));
        let replica = Replica::new(settings, disk, self.now);
        self.running.insert(address, Running { replica, machine });
        self.perform(address);
    }

    /// Ends the process on a machine. What it had not synced is lost.
    pub fn stop_replica(&mut self, address: u32) {
        self.running.remove(&address);
    }

    /// Ends the process on a machine; its disk gets all that the process had written.
    pub fn kill_replica(&mut self, address: u32) {
        let Some(killed) = self.running.remove(&address) else { return };
        let own_boot = killed.replica.own().boot;
        let of_process = |event: &Event| matches!(event, Event::Persisted { address: at, boot, .. } if *at == address && *boot == own_boot);
        let keys: Vec<(Millis, u64)> =
            self.events.iter().filter(|(_, event)| of_process(event)).map(|(key, _)| *key).collect();
        let mut written: Vec<(u64, Box<DiskChange>)> = Vec::new();
        for key in keys {
            if let Some(Event::Persisted { ticket, change, .. }) = self.events.remove(&key) {
                written.push((ticket, change));
            }
        }
        written.sort_by_key(|(ticket, _)| *ticket);
        for (_, change) in written {
            self.change_disk(address, *change);
        }
    }

    /// Whether the process on a machine runs.
    pub fn runs(&self, address: u32) -> bool {
        self.running.contains_key(&address)
    }

    /// All machines.
    pub fn addresses(&self) -> Vec<u32> {
        self.disks.keys().copied().collect()
    }

    fn is_frozen(&self, address: u32) -> bool {
        self.frozen.get(&address).is_some_and(|until| self.now < *until)
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

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&mut self, address: u32) {
        let disk = 1000 + self.boots;
        let state = CountingState::default().freeze();
        self.disks.insert(address, Snapshot::empty(disk, None, Vec::new(), state));
    }

    /// A machine is gone for good, and an empty one starts at another address.
    pub fn replace(&mut self, gone: u32, new: u32) {
        self.running.remove(&gone);
        self.disks.remove(&gone);
        self.wipe(new);
        self.start_replica(new);
    }

    /// A replica that runs.
    pub fn replica(&self, address: u32) -> &Replica {
        &self.running[&address].replica
    }

    /// The addresses of the chain in the newest view, head first.
    pub fn chain(&self) -> Vec<u32> {
        let views = self.running.values().map(|running| running.replica.view());
        let newest = views.max_by_key(|view| view.number);
        newest.into_iter().flat_map(|view| view.chain.iter().map(|replica| replica.member.address)).collect()
    }

    /// Number of the newest view.
    pub fn view(&self) -> u64 {
        self.running.values().map(|running| running.replica.view().number).max().unwrap_or(0)
    }

    /// The newest entry that any replica knows to be committed.
    pub fn committed(&self) -> u64 {
        self.running.values().map(|running| running.replica.committed()).max().unwrap_or(0)
    }

    /// The last entry that a replica has applied.
    pub fn applied(&self, address: u32) -> u64 {
        self.running[&address].machine.position.index
    }

    /// Lets every replica that holds itself for the head write an entry.
    pub fn write_everywhere(&mut self) {
        let now = self.now;
        let awake: Vec<u32> = self.running.keys().copied().filter(|at| !self.is_frozen(*at)).collect();
        for address in awake {
            let Some(Running { replica, machine }) = self.running.get_mut(&address) else { continue };
            if !replica.is_head() {
                continue;
            }
            self.proposals += 1;
            let proposal = ProposalId { origin: replica.own(), sequence: self.proposals };
            replica.propose(now, proposal, None, Command::Noop);
            replica.flush(now, machine);
            self.perform(address);
        }
    }

    /// Lets the head write an entry; `false` when there is none.
    pub fn write(&mut self) -> bool {
        self.proposals += 1;
        let now = self.now;
        let head = self.running.values_mut().find(|running| running.replica.is_head());
        let Some(Running { replica, machine }) = head else { return false };
        let proposal = ProposalId { origin: replica.own(), sequence: self.proposals };
        replica.propose(now, proposal, None, Command::Noop);
        replica.flush(now, machine);
        true
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: Millis) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += STEP_MS;
            self.happen();
            for address in self.running.keys().copied().collect::<Vec<u32>>() {
                let now = self.now;
                if self.is_frozen(address) {
                    continue;
                }
                if let Some(Running { replica, machine }) = self.running.get_mut(&address) {
                    replica.tick(now, now, machine);
                }
                self.perform(address);
            }
            self.compare();
        }
    }

    fn happen(&mut self) {
        while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= self.now) {
            let event = first.remove();
            let at = match &event {
                Event::Message { to, .. } => *to,
                Event::Persisted { address, .. } => *address,
            };
            if self.is_frozen(at) {
                let until = self.frozen[&at];
                self.schedule_at(until, event);
                continue;
            }
            match event {
                Event::Message { to, from, message } => self.deliver(to, from, *message),
                Event::Persisted { address, boot, ticket, change } => {
                    self.persisted(address, boot, ticket, *change);
                }
            }
        }
    }

    fn deliver(&mut self, to: u32, from: ReplicaId, message: PeerMessage) {
        let now = self.now;
        if let Some(Running { replica, machine }) = self.running.get_mut(&to) {
            replica.receive(now, now, from, message, machine);
        }
        self.perform(to);
    }

    fn persisted(&mut self, address: u32, boot: u64, ticket: u64, change: DiskChange) {
        let now = self.now;
        let running = self.running.get_mut(&address).filter(|running| running.replica.own().boot == boot);
        let Some(Running { replica, machine }) = running else { return };
        replica.persisted(ticket, now, machine);
        self.change_disk(address, change);
        self.perform(address);
    }

    fn change_disk(&mut self, address: u32, change: DiskChange) {
        let Some(disk) = self.disks.get_mut(&address) else { return };
        match change {
            DiskChange::Whole(snapshot) => *disk = *snapshot,
            DiskChange::Records(records) => records.into_iter().for_each(|record| disk.add(record)),
        }
    }

    fn perform(&mut self, address: u32) {
        let Some(running) = self.running.get_mut(&address) else { return };
        let own = running.replica.own();
        for output in running.replica.take_outputs() {
            match output {
                Output::Send { to, message } => self.send(own, to, message),
                Output::Persist { ticket, records } => {
                    self.write_disk(own, ticket, DiskChange::Records(records));
                }
                Output::Checkpoint { ticket, snapshot } => {
                    self.write_disk(own, ticket, DiskChange::Whole(snapshot));
                }
                Output::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: u32, message: PeerMessage) {
        let cut = self.cut_off.contains(&to) || self.cut_off.contains(&from.member.address);
        let pair = (to.min(from.member.address), to.max(from.member.address));
        if (cut || self.cut_links.contains(&pair)) && to != from.member.address {
            return;
        }
        let delay = match message {
            PeerMessage::StatePart { .. } => self.catch_up_delay_ms,
            PeerMessage::MissingEntries { ref entries, .. } if entries.len() > FEW_ENTRIES => {
                self.catch_up_delay_ms
            }
            _ => self.some_time(DELAY_MS, MOST_DELAY_MS),
        };
        // Messages from one replica to another arrive in order.
        let link = self.links.entry((from.member.address, to)).or_default();
        let arrival = (self.now + delay).max(*link);
        *link = arrival;
        let event = Event::Message { to, from, message: Box::new(message) };
        self.schedule_at(arrival, event);
    }

    fn write_disk(&mut self, own: ReplicaId, ticket: u64, change: DiskChange) {
        let address = own.member.address;
        let event = Event::Persisted { address, boot: own.boot, ticket, change: Box::new(change) };
        // A disk does its work in order.
        let sync = self.some_time(SYNC_MS, MOST_SYNC_MS);
        let done = self.syncs.entry(address).or_default();
        *done = (self.now + sync).max(*done);
        let at = *done;
        self.schedule_at(at, event);
    }

    fn some_time(&mut self, usual: Millis, most: Millis) -> Millis {
        self.chance.as_mut().map_or(usual, |chance| chance.gen_range(1..=most))
    }

    fn schedule_at(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
