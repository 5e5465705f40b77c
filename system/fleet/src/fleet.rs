//! The fleet: simulated time, network, disks and clocks around the state machines.
use crate::{
    client::{ClientJob, Operator},
    disk::Disk,
    edge::Edge,
    events::{Asker, Event},
    node::{Node, EPOCH_MS},
    oracle::{Oracle, Violation},
    worker::Worker,
};
use magpiegap_control::DurableState;
use magpiegap_coordinator::{take_snapshot, Coordinator, RequestId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{
    encode, JobId, JobPhase, JobSpec, LogPosition, Member, Resources, Submission, ViewNumber,
    WallMillis, WorkerEntry,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Length of one step of simulated time, in milliseconds.
pub(crate) const STEP_MS: u64 = 5;
/// Longest hold on a worker.
pub(crate) const MAX_HOLD_MS: u64 = 6000;
/// Runs of a task that may fail.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Longest time that members of a gang wait for each other.
pub(crate) const GANG_MS: u64 = 3000;
/// How often the states of all coordinators are compared, in milliseconds.
const COMPARE_EVERY_MS: u64 = 500;

/// Kinds of workers, by turns.
const KINDS: [&str; 3] = ["a", "a", "b"];

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Core machines.
    pub nodes: usize,
    /// How many of them may be lost at once.
    pub tolerance: usize,
    /// Workers.
    pub workers: usize,
    /// Hundredths of the runs that fail.
    pub failing_percent: u64,
    /// Workers refuse what does not fit; else they start whatever they are told.
    pub guards: bool,
    /// How long a core machine's process takes in what happens before it follows any of it up, as a busy one does.
    pub follow_up_ms: u64,
    /// Operators that change the configuration, all under the same numbers.
    pub operators: usize,
    /// Time between two orders of an operator, in milliseconds.
    pub order_every_ms: u64,
    /// Hundredths of the answers to operators that are lost; the order is sent again, to any coordinator.
    pub lost_answers_percent: u32,
    /// About how many bytes a configuration has beyond what it needs.
    pub configuration_bytes: usize,
    /// Routes of a configuration beside the one that is used.
    pub configuration_routes: u64,
    /// Edges, each with an agent that follows the configuration.
    pub edges: usize,
    /// What the link of an edge carries, in bytes a second.
    pub edge_bytes_a_second: u64,
    /// Seeds all chance.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            nodes: 3,
            tolerance: 1,
            workers: 6,
            failing_percent: 0,
            guards: true,
            follow_up_ms: 0,
            operators: 1,
            order_every_ms: 400,
            lost_answers_percent: 0,
            configuration_bytes: 0,
            configuration_routes: 0,
            edges: 0,
            edge_bytes_a_second: 250_000,
            seed: 1,
        }
    }
}

/// A fleet.
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) random: StdRng,
    pub(crate) now: u64,
    pub(crate) sequence: u64,
    pub(crate) events: BTreeMap<(u64, u64), Event>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<Option<Worker>>,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) workers_cut: BTreeMap<usize, bool>,
    pub(crate) slow_disks: BTreeMap<usize, u64>,
    pub(crate) late_percent: u32,
    pub(crate) lives_of_workers: u64,
    pub(crate) longest_order_ms: u64,
    /// The last address that a core machine was given.
    pub(crate) last_address: u32,
    pub(crate) clients: Vec<ClientJob>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) edges: Vec<Edge>,
    pub(crate) requests: BTreeMap<(usize, u64, RequestId), Asker>,
    pub(crate) next_request: RequestId,
    pub(crate) specs: BTreeMap<JobId, JobSpec>,
    pub(crate) oracle: Oracle,
}

impl Fleet {
    /// A fleet whose machines start for the first time.
    pub fn new(settings: FleetSettings) -> Fleet {
        let mut fleet = Fleet {
            random: StdRng::seed_from_u64(settings.seed),
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            workers: Vec::new(),
            cuts: BTreeSet::new(),
            workers_cut: BTreeMap::new(),
            slow_disks: BTreeMap::new(),
            late_percent: 0,
            lives_of_workers: 0,
            longest_order_ms: 0,
            last_address: address(settings.nodes),
            clients: Vec::new(),
            operators: vec![Operator::default(); settings.operators],
            edges: (0..settings.edges)
                .map(|number| Edge::new(number, (0..settings.nodes).map(address).collect()))
                .collect(),
            requests: BTreeMap::new(),
            next_request: 0,
            specs: BTreeMap::new(),
            oracle: Oracle::default(),
            settings,
        };
        let voters: Vec<Member> = (0..fleet.settings.nodes)
            .map(|node| Member {
                address: address(node),
                disk: 0,
            })
            .collect();
        for node in 0..fleet.settings.nodes {
            let state = take_snapshot(&magpiegap_jobs::State::default());
            let empty = DurableState::empty(0, Some(ViewNumber(0)), voters.clone(), state);
            fleet.nodes.push(Node {
                followed_up: 0,
                address: address(node),
                disk: Disk::new(empty),
                coordinator: None,
                life: 0,
                started: 0,
                frozen_until: 0,
                restart_at: Some(node as u64 * 40),
                leaves_for_ms: None,
                wall_offset: 0,
                member: Member {
                    address: address(node),
                    disk: 0,
                },
            });
        }
        for number in 0..fleet.settings.workers {
            let worker = fleet.new_worker(number);
            fleet.workers.push(Some(worker));
        }
        fleet
    }

    /// Simulated time, in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// All that must never happen, and did.
    pub fn violations(&self) -> &[Violation] {
        &self.oracle.violations
    }

    pub(crate) fn new_worker(&mut self, number: usize) -> Worker {
        self.lives_of_workers += 1;
        let entry = WorkerEntry {
            incarnation: format!("i-{}-{}", number, self.lives_of_workers),
            service: "s".to_owned(),
            address: format!("w{number}"),
            zone: "z".to_owned(),
            capacity: Resources {
                cpu: 8000,
                memory_mb: 8000,
                gpu: 0,
            },
            labels: vec![
                KINDS[number % KINDS.len()].to_owned(),
                format!("r{}", number % 2),
            ],
            ..WorkerEntry::default()
        };
        let offset = self.random.gen_range(1000..100_000_000);
        let rate = self.random.gen_range(980..=1000);
        Worker::new(entry, self.settings.guards, offset, rate, MAX_HOLD_MS)
    }

    /// Lets a client submit a job at a time, and perhaps cancel it later.
    pub fn submit_at(&mut self, at: u64, spec: JobSpec, cancel_at: Option<u64>) -> JobId {
        let job = JobId(self.clients.len() as u64 + 1);
        let submission = Submission {
            job,
            queue: "h/q/".to_owned(),
            service: "s".to_owned(),
            // Every third job is urgent: others make room for it.
            priority: (job.0 % 3) as u32,
            max_attempts: MAX_ATTEMPTS,
            stretch: 2.0,
            target_latency_ms: 500,
            submitted_ms: WallMillis(0),
            spec: spec.clone(),
        };
        self.specs.insert(job, spec);
        self.clients.push(ClientJob::new(submission, at, cancel_at));
        job
    }

    /// A job's state as its client last saw it.
    pub fn phase(&self, job: JobId) -> Option<JobPhase> {
        self.clients
            .iter()
            .find(|client| client.id() == job)
            .and_then(|client| client.phase)
    }

    /// The jobs that have not been shown as ended.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.clients
            .iter()
            .filter(|client| !client.is_over())
            .map(ClientJob::id)
            .collect()
    }

    /// The newest configuration that the operator was told to be taken.
    pub fn acknowledged_configuration(&self) -> u64 {
        self.oracle.told.newest()
    }

    /// The longest time that a coordinator took to answer an order, whatever it answered, in milliseconds.
    pub fn longest_order_ms(&self) -> u64 {
        self.longest_order_ms
    }

    /// The configuration versions of all coordinators that run.
    pub fn configurations(&self) -> Vec<u64> {
        let running = self
            .nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref());
        running
            .map(|coordinator| coordinator.state().configuration.version)
            .collect()
    }

    /// The state of each coordinator, for whoever looks into a failure.
    pub fn describe(&self) -> Vec<String> {
        let described = |node: &Node| match &node.coordinator {
            Some(coordinator) => format!("{} {:?}", node.member, coordinator.describe()),
            None => format!("{} does not run", node.member),
        };
        self.nodes.iter().map(described).collect()
    }

    /// A job as its client and the first coordinator that runs have it, for whoever looks into a failure.
    pub fn describe_job(&self, id: JobId) -> String {
        let client = self.clients.iter().find(|client| client.id() == id);
        let coordinators = self
            .nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref());
        let job = coordinators
            .map(|coordinator| coordinator.state())
            .next()
            .and_then(|state| state.jobs.get(&id));
        format!("{client:#?}\n{job:#?}")
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MS;
            self.start_nodes();
            self.deliver();
            self.tick_nodes();
            self.end_those_that_left();
            self.pass_time_of_workers();
            self.ask();
            self.run_edges();
            if self.now.is_multiple_of(COMPARE_EVERY_MS) {
                self.compare_states();
            }
        }
    }

    /// Coordinators that have applied the same entries have the same state, and none contradicts itself.
    fn compare_states(&mut self) {
        let mut found = Vec::new();
        let mut in_force = Vec::new();
        let mut states: BTreeMap<LogPosition, (Member, Vec<u8>)> = BTreeMap::new();
        for node in &self.nodes {
            let Some(coordinator) = node.coordinator.as_ref() else {
                continue;
            };
            let state = coordinator.state();
            let configuration = &state.configuration;
            in_force.push((configuration.version, configuration.body.clone()));
            if !goes_by_state(coordinator) {
                found.push(format!(
                    "{} goes by another configuration than its state has",
                    node.member
                ));
            }
            let contradictions = state.inconsistencies();
            found.extend(
                contradictions
                    .iter()
                    .map(|what| format!("{}: {what}", node.member)),
            );
            let encoded = encode(state);
            let (first, other) = states
                .entry(state.position)
                .or_insert_with(|| (node.member, encoded.clone()));
            if *other != encoded {
                found.push(format!(
                    "{first} and {} differ at {:?}",
                    node.member, state.position
                ));
            }
        }
        for what in found {
            self.oracle.report(self.now, what);
        }
        for (version, body) in in_force {
            self.oracle.in_force(self.now, version, &body);
        }
    }

    /// True time of day.
    pub fn wall(&self) -> WallMillis {
        WallMillis(EPOCH_MS + self.now)
    }

    /// How many members of gangs have waited for the others in vain.
    pub fn waited_alone(&self) -> u64 {
        self.oracle.waited_alone
    }

    /// Lets time pass until all jobs are shown as ended, or up to a time.
    pub fn run_until_done(&mut self, until: u64) {
        while self.now < until && !self.open_jobs().is_empty() {
            self.run_until(self.now + 200);
        }
    }
}

/// Whether a coordinator goes by what the operator sent, however it has come to it: by reading the whole or by differences.
fn goes_by_state(coordinator: &Coordinator) -> bool {
    let kept = &coordinator.state().configuration;
    match coordinator
        .configuration()
        .filter(|known| known.version == kept.version)
    {
        Some(known) => Configuration::parse(&kept.body).is_ok_and(|read| read == *known),
        // It has not followed what was applied yet.
        None => true,
    }
}

/// The address of a core machine.
pub(crate) fn address(node: usize) -> u32 {
    0x0a00_0001 + node as u32
}
