//! The replicas that run, explored by a model checker: views, the chain, learners, wiped and replaced voters, loss of
//! power, cuts, and machines that stand still.
//!
//! Each step is one of: a message arrives or is lost, all that is under way arrives, a disk confirms what it was asked to keep, time passes, a write or a
//! question comes, a process is killed, a machine loses power or its disk, starts again, is cut off or stands still. Time
//! passes for all at once, and heartbeats arrive while it does, except at machines that stand still, where they wait. How
//! much of each may happen is bounded (`Budget`); within that breadth-first search takes every order of steps up to a
//! number of states, and random walks go on far beyond it.
mod common;

use common::group::CountingState;
use magpiegap_control::{
    restore, ControlSettings, DurableRecord, DurableState, Output, Replica, Snapshot, StateMachine, Tolerance,
};
use magpiegap_protocol::{Command, Location, Member, Millis, PeerMessage, ProposalId, Replica as ReplicaId};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

/// How much time passes at once.
const TICK_MS: Millis = 110;
/// Questions are asked of the machine that is the tail in its own eyes.
const MOST_QUESTIONS: usize = 2;

/// How often each thing may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    writes: u8,
    questions: u8,
    lost_messages: u8,
    kills: u8,
    power_losses: u8,
    wipes: u8,
    cuts: u8,
    freezes: u8,
}

const NOTHING: Budget = Budget {
    ticks: 0,
    writes: 0,
    questions: 0,
    lost_messages: 0,
    kills: 0,
    power_losses: 0,
    wipes: 0,
    cuts: 0,
    freezes: 0,
};

#[derive(Clone, Debug)]
enum DiskChange {
    Records(Vec<DurableRecord>),
    Whole(Box<Snapshot>),
}

/// A machine with its disk and, while it runs, its process.
#[derive(Clone)]
struct Machine {
    /// What a process that starts now reads.
    disk: DurableState,
    /// What of that outlasts a loss of power.
    synced: DurableState,
    /// Asked of the disk and not confirmed.
    pending: VecDeque<(u64, DiskChange)>,
    process: Option<(Replica, CountingState)>,
    is_cut_off: bool,
    is_frozen: bool,
}

/// A question that waits for the tail's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Question {
    machine: usize,
    since: Millis,
    /// The newest entry that anybody had been told to be kept when it came.
    acknowledged: u64,
}

/// Everything at one moment.
#[derive(Clone)]
struct World {
    now: Millis,
    machines: Vec<Machine>,
    links: BTreeMap<(usize, usize), VecDeque<(ReplicaId, PeerMessage)>>,
    budget: Budget,
    boots: u64,
    proposals: u64,
    /// What was applied under each index by whichever replica did it first: from then on it is acknowledged.
    history: BTreeMap<u64, ProposalId>,
    questions: Vec<Question>,
    wrong: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    /// All messages arrive in order, and all disks confirm.
    Run,
    Deliver {
        from: usize,
        to: usize,
    },
    Lose {
        from: usize,
        to: usize,
    },
    Sync(usize),
    Write,
    Ask(usize),
    Kill(usize),
    LosePower(usize),
    Wipe(usize),
    Start(usize),
    CutOff(usize),
    Mend(usize),
    Freeze(usize),
    Thaw(usize),
}

fn address(machine: usize) -> u32 {
    machine as u32 + 1
}

impl World {
    fn new(size: usize, tolerance: usize, budget: Budget) -> World {
        let voters: Vec<Member> =
            (0..size).map(|machine| Member { address: address(machine), disk: 0 }).collect();
        let empty = Snapshot::empty(0, Some(0), voters.clone(), CountingState::default().freeze());
        let machine = |_| Machine {
            disk: empty.clone(),
            synced: empty.clone(),
            pending: VecDeque::new(),
            process: None,
            is_cut_off: false,
            is_frozen: false,
        };
        let mut world = World {
            now: 0,
            machines: (0..size).map(machine).collect(),
            links: BTreeMap::new(),
            budget,
            boots: 0,
            proposals: 0,
            history: BTreeMap::new(),
            questions: Vec::new(),
            wrong: None,
        };
        for machine in 0..size {
            world.start(machine, tolerance);
        }
        world
    }

    fn start(&mut self, machine: usize, tolerance: usize) {
        self.boots += 1;
        let disk = self.machines[machine].disk.clone();
        let own =
            ReplicaId { member: Member { address: address(machine), disk: disk.disk }, boot: self.boots };
        let settings = ControlSettings {
            own,
            seeds: (0..self.machines.len()).map(address).collect(),
            location: Location::default(),
            tolerance: Tolerance::of_machines(tolerance),
            heartbeat_ms: 60,
            suspect_ms: 320,
            seed: 1,
        };
        let mut state = CountingState::default();
        assert!(restore(&mut state, &*disk.state));
        let replica = Replica::new(settings, disk, self.now);
        self.machines[machine].process = Some((replica, state));
        self.perform(machine);
    }

    fn end(&mut self, machine: usize) {
        self.machines[machine].process = None;
        self.machines[machine].is_frozen = false;
        self.questions.retain(|question| question.machine != machine);
        // What was on its way to the process is lost with its connections.
        self.links.retain(|(_, to), _| *to != machine);
    }

    fn lose_power(&mut self, machine: usize) {
        self.machines[machine].pending.clear();
        self.machines[machine].disk = self.machines[machine].synced.clone();
        self.end(machine);
    }

    fn is_awake(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some() && !self.machines[machine].is_frozen
    }

    fn replica(&self, machine: usize) -> Option<&Replica> {
        self.machines[machine].process.as_ref().map(|(replica, _)| replica)
    }

    /// Takes a step at a process, and does what it wants done.
    fn with(&mut self, machine: usize, step: impl FnOnce(&mut Replica, Millis, &mut CountingState)) {
        let now = self.now;
        if let Some((replica, state)) = self.machines[machine].process.as_mut() {
            step(replica, now, state);
        }
        self.perform(machine);
    }

    fn perform(&mut self, machine: usize) {
        loop {
            let now = self.now;
            let Some((replica, state)) = self.machines[machine].process.as_mut() else { return };
            replica.flush(now, state);
            let outputs = replica.take_outputs();
            let own = replica.own();
            let applied = state.take_applied();
            for (index, proposal) in applied {
                if *self.history.entry(index).or_insert(proposal) != proposal {
                    self.wrong = Some(format!("entry {index} was replaced"));
                }
            }
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform_one(machine, own, output);
            }
        }
    }

    fn perform_one(&mut self, machine: usize, own: ReplicaId, output: Output) {
        match output {
            Output::Persist { ticket, records } => {
                self.machines[machine].pending.push_back((ticket, DiskChange::Records(records)));
            }
            Output::Checkpoint { ticket, snapshot } => {
                self.machines[machine].pending.push_back((ticket, DiskChange::Whole(snapshot)));
            }
            Output::Send { to, message } => self.send(machine, own, (to - 1) as usize, message),
            Output::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, own: ReplicaId, to: usize, message: PeerMessage) {
        if from == to {
            self.with(to, |replica, now, state| replica.receive(now, now, own, message, state));
            return;
        }
        let is_cut = self.machines[from].is_cut_off || self.machines[to].is_cut_off;
        if is_cut || self.machines[to].process.is_none() {
            return;
        }
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat(_));
        if is_heartbeat && self.is_awake(to) {
            self.with(to, |replica, now, state| replica.receive(now, now, own, message, state));
            return;
        }
        self.links.entry((from, to)).or_default().push_back((own, message));
    }

    /// A disk has everything that it was asked to keep.
    fn sync(&mut self, machine: usize) {
        let pending = std::mem::take(&mut self.machines[machine].pending);
        let Some((last, _)) = pending.back() else { return };
        let last = *last;
        self.write_through(machine, pending);
        let machine_now = &mut self.machines[machine];
        machine_now.synced = machine_now.disk.clone();
        self.with(machine, |replica, now, state| replica.persisted(last, now, state));
    }

    fn write_through(&mut self, machine: usize, pending: VecDeque<(u64, DiskChange)>) {
        let disk = &mut self.machines[machine].disk;
        for (_, change) in pending {
            match change {
                DiskChange::Whole(snapshot) => *disk = *snapshot,
                DiskChange::Records(records) => records.into_iter().for_each(|record| disk.add(record)),
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        for machine in 0..self.machines.len() {
            if self.is_awake(machine) {
                self.with(machine, |replica, now, state| replica.tick(now, now, state));
            }
        }
        self.answer_questions();
    }

    fn write(&mut self) {
        let heads: Vec<usize> = (0..self.machines.len())
            .filter(|machine| self.is_awake(*machine) && self.replica(*machine).is_some_and(Replica::is_head))
            .collect();
        for machine in heads {
            self.proposals += 1;
            let sequence = self.proposals;
            self.with(machine, |replica, now, _| {
                let proposal = ProposalId { origin: replica.own(), sequence };
                replica.propose(now, proposal, None, Command::Noop);
            });
        }
    }

    fn ask(&mut self, machine: usize) {
        let acknowledged = self.history.keys().next_back().copied().unwrap_or(0);
        self.questions.push(Question { machine, since: self.now, acknowledged });
    }

    /// Answers the questions that a coordinator would answer now.
    fn answer_questions(&mut self) {
        let now = self.now;
        for question in std::mem::take(&mut self.questions) {
            let Some((replica, state)) = self.machines[question.machine].process.as_ref() else { continue };
            let settled = state.position().view == replica.view().number;
            let answers = replica.is_tail() && settled && replica.has_contact_since(question.since, now);
            if !answers || self.machines[question.machine].is_frozen {
                self.questions.push(question);
            } else if state.position().index < question.acknowledged {
                self.wrong = Some(format!("{question:?} was answered by {:?}", state.position()));
            }
        }
    }

    /// Lets everything happen in order, and time pass, until a chain of all serves.
    fn settle(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.tick();
            self.run_links();
        }
    }

    fn run_links(&mut self) {
        loop {
            for machine in 0..self.machines.len() {
                self.sync(machine);
            }
            let Some(link) = self.links.iter().find(|(_, queue)| !queue.is_empty()).map(|(link, _)| *link)
            else {
                return;
            };
            self.deliver(link.0, link.1);
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let first = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front);
        self.links.retain(|_, queue| !queue.is_empty());
        if let Some((own, message)) = first {
            self.with(to, |replica, now, state| replica.receive(now, now, own, message, state));
        }
    }

    /// How many disks hold an entry that was acknowledged.
    fn copies(&self, index: u64, proposal: ProposalId) -> usize {
        let holds = |machine: &&Machine| {
            let mut disk = machine.disk.clone();
            // A killed process leaves what it had written; only a loss of power takes it.
            for (_, change) in &machine.pending {
                match change {
                    DiskChange::Whole(snapshot) => disk = (**snapshot).clone(),
                    DiskChange::Records(records) => {
                        records.iter().cloned().for_each(|record| disk.add(record))
                    }
                }
            }
            let in_state = disk.applied.index >= index;
            in_state
                || disk
                    .entries
                    .iter()
                    .any(|entry| entry.position.index == index && entry.proposal == proposal)
        };
        self.machines.iter().filter(holds).count()
    }

    /// What tells two worlds apart.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for machine in &self.machines {
            let process = machine.process.as_ref().map(|(replica, state)| (replica, state.position()));
            write!(f, "{:?} {process:?} ", (&machine.pending, machine.is_cut_off, machine.is_frozen))?;
            write!(f, "{:?} {:?} ", machine.disk.agreement, machine.disk.entries)?;
            write!(f, "{:?} {:?} ", machine.synced.agreement, machine.synced.entries)?;
        }
        write!(f, "{} {:?} {:?} {:?} {:?}", self.now, self.links, self.budget, self.questions, self.wrong)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.digest() == other.digest()
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest().hash(state);
    }
}

/// What is explored, from worlds that the replicas have come to by themselves.
struct Core {
    tolerance: usize,
    worlds: Vec<World>,
}

impl Core {
    /// Steps that the budget leaves.
    fn faults(world: &World, machine: usize) -> Vec<Step> {
        let budget = world.budget;
        let known = &world.machines[machine];
        if known.process.is_none() {
            return vec![Step::Start(machine)];
        }
        let possible = [
            (budget.kills, Step::Kill(machine)),
            (budget.power_losses, Step::LosePower(machine)),
            (budget.wipes, Step::Wipe(machine)),
            (budget.cuts * u8::from(!known.is_cut_off), Step::CutOff(machine)),
            (u8::from(known.is_cut_off), Step::Mend(machine)),
            (budget.freezes * u8::from(!known.is_frozen), Step::Freeze(machine)),
            (u8::from(known.is_frozen), Step::Thaw(machine)),
        ];
        possible.into_iter().filter(|(left, _)| *left > 0).map(|(_, step)| step).collect()
    }
}

impl Model for Core {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        self.worlds.clone()
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (from, to) in world.links.keys().copied() {
            if world.is_awake(to) {
                steps.push(Step::Deliver { from, to });
            }
            if world.budget.lost_messages > 0 {
                steps.push(Step::Lose { from, to });
            }
        }
        for machine in 0..world.machines.len() {
            if world.is_awake(machine) && !world.machines[machine].pending.is_empty() {
                steps.push(Step::Sync(machine));
            }
            steps.extend(Core::faults(world, machine));
            let is_tail = world.is_awake(machine) && world.replica(machine).is_some_and(Replica::is_tail);
            if is_tail && world.budget.questions > 0 && world.questions.len() < MOST_QUESTIONS {
                steps.push(Step::Ask(machine));
            }
        }
        if world.budget.ticks > 0 {
            steps.push(Step::Tick);
        }
        if world.budget.writes > 0 {
            steps.push(Step::Write);
        }
        let is_busy = |machine| world.is_awake(machine) && !world.machines[machine].pending.is_empty();
        if !world.links.is_empty() || (0..world.machines.len()).any(is_busy) {
            steps.push(Step::Run);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => {
                world.budget.ticks -= 1;
                world.tick();
            }
            Step::Run => world.run_links(),
            Step::Deliver { from, to } => world.deliver(from, to),
            Step::Lose { from, to } => {
                world.budget.lost_messages -= 1;
                world.links.get_mut(&(from, to))?.pop_front();
                world.links.retain(|_, queue| !queue.is_empty());
            }
            Step::Sync(machine) => world.sync(machine),
            Step::Write => {
                world.budget.writes -= 1;
                world.write();
            }
            Step::Ask(machine) => {
                world.budget.questions -= 1;
                world.ask(machine);
            }
            Step::Kill(machine) => {
                world.budget.kills -= 1;
                let pending = std::mem::take(&mut world.machines[machine].pending);
                world.write_through(machine, pending);
                world.end(machine);
            }
            Step::LosePower(machine) => {
                world.budget.power_losses -= 1;
                world.lose_power(machine);
            }
            Step::Wipe(machine) => {
                world.budget.wipes -= 1;
                world.machines[machine].pending.clear();
                world.end(machine);
                let name = 1000 + world.boots;
                let state = CountingState::default().freeze();
                world.machines[machine].disk = Snapshot::empty(name, None, Vec::new(), state);
                world.machines[machine].synced = world.machines[machine].disk.clone();
            }
            Step::Start(machine) => world.start(machine, self.tolerance),
            Step::CutOff(machine) => {
                world.budget.cuts -= 1;
                world.machines[machine].is_cut_off = true;
            }
            Step::Mend(machine) => world.machines[machine].is_cut_off = false,
            Step::Freeze(machine) => {
                world.budget.freezes -= 1;
                world.machines[machine].is_frozen = true;
            }
            Step::Thaw(machine) => world.machines[machine].is_frozen = false,
        }
        world.answer_questions();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing acknowledged is replaced or hidden from a question",
                |_, world: &World| world.wrong.is_none(),
            ),
            Property::always(
                "what is acknowledged is on as many disks as no loss takes",
                |core: &Core, world: &World| {
                    let lost = core.worlds[0].budget.wipes - world.budget.wipes;
                    let least = (core.tolerance + 1).saturating_sub(usize::from(lost));
                    world.history.iter().all(|(index, proposal)| world.copies(*index, *proposal) >= least)
                },
            ),
        ]
    }
}

/// A world in which all take part and an entry is committed.
fn serving(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = World::new(size, tolerance, budget);
    world.settle(8);
    let serving = world.machines.iter().filter_map(|machine| machine.process.as_ref());
    assert_eq!(serving.filter(|(replica, _)| replica.is_active()).count(), size);
    world.write();
    world.settle(2);
    assert!(!world.history.is_empty());
    world
}

/// A world in which one machine is cut off, and the others have gone on without it.
fn without_one(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    let tail = (0..size).find(|machine| world.replica(*machine).is_some_and(Replica::is_tail)).unwrap_or(0);
    world.machines[tail].is_cut_off = true;
    world.settle(8);
    world.write();
    world.settle(2);
    world
}

/// A world in which a machine with an empty disk is about to come back.
fn with_a_wiped_one(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    world.end(0);
    let state = CountingState::default().freeze();
    world.machines[0].disk = Snapshot::empty(77, None, Vec::new(), state);
    world.machines[0].synced = world.machines[0].disk.clone();
    world.machines[0].pending.clear();
    world.settle(8);
    world.write();
    world.settle(1);
    world
}

/// A world in which all have lost power.
fn dark(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    world.write();
    for machine in 0..size {
        world.lose_power(machine);
    }
    world.links.clear();
    world
}

/// Explores worlds: breadth first up to so many states, then by random walks. `MODEL_FACTOR` in the environment asks for
/// more of both. Prints how much was explored.
fn explore(name: &str, tolerance: usize, worlds: Vec<World>, states: usize, walks: usize) {
    let factor = std::env::var("MODEL_FACTOR").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let core = || Core { tolerance, worlds: worlds.clone() };
    let breadth = core()
        .checker()
        .target_state_count(states * factor)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let depth = core()
        .checker()
        .target_state_count(walks * factor)
        .target_max_depth(400)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(7, UniformChooser)
        .join();
    println!(
        "{name}: {} states breadth first, {} deep; {} states on random walks",
        breadth.unique_state_count(),
        breadth.max_depth(),
        depth.state_count()
    );
    for discoveries in [breadth.discoveries(), depth.discoveries()] {
        if let Some((property, path)) = discoveries.into_iter().next() {
            let wrong = path.last_state().wrong.clone();
            panic!("{name}: {property}: {wrong:?}; steps: {:#?}", path.into_actions());
        }
    }
}

#[test]
fn given_a_serving_core_when_one_is_cut_off_or_stands_still_then_nothing_is_lost_or_hidden() {
    let budget =
        Budget { ticks: 14, writes: 3, questions: 2, cuts: 1, freezes: 1, lost_messages: 1, ..NOTHING };
    explore("cut off", 1, vec![serving(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_one_that_is_cut_off_when_it_is_back_and_another_one_goes_then_nothing_is_lost_or_hidden() {
    let budget = Budget { ticks: 14, writes: 2, questions: 2, kills: 1, power_losses: 1, ..NOTHING };
    explore("back", 1, vec![without_one(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_a_wiped_disk_when_its_machine_comes_back_and_others_lose_power_then_nothing_is_lost() {
    let budget = Budget { ticks: 16, writes: 2, questions: 1, power_losses: 2, ..NOTHING };
    explore("wiped", 1, vec![with_a_wiped_one(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_a_serving_core_when_a_disk_and_the_power_of_the_others_are_lost_then_nothing_is_lost() {
    let budget = Budget { ticks: 16, writes: 2, wipes: 1, power_losses: 2, ..NOTHING };
    explore("disk and power", 1, vec![serving(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_a_loss_of_power_by_all_when_they_start_in_any_order_then_nothing_is_lost() {
    let budget = Budget { ticks: 12, writes: 2, questions: 1, kills: 1, lost_messages: 1, ..NOTHING };
    explore("dark", 1, vec![dark(3, 1, budget), dark(5, 2, budget)], 20_000, 40_000);
}

#[test]
fn given_five_when_two_disks_and_the_power_of_the_others_are_lost_then_nothing_is_lost() {
    let budget = Budget { ticks: 16, writes: 2, wipes: 2, power_losses: 3, ..NOTHING };
    explore("two disks of five", 2, vec![serving(5, 2, budget)], 8_000, 40_000);
}
