//! The fleet: simulated time, network, disks and clocks around the state machines.
//!
//! This module owns the parts and the passing of time. Each child module carries out one kind of interaction: what
//! reaches coordinators (`delivery`), their processes (`processes`), faults (`fault_injection`), requests of clients,
//! operators and observers (`requests`), those of edges (`edges`), calls to workers (`worker_calls`), gangs (`gangs`).
mod delivery;
mod edges;
mod fault_injection;
mod gangs;
mod job_specs;
mod processes;
mod requests;
mod settings;
mod state_checks;
mod worker_calls;

pub use settings::FleetSettings;

use crate::{
    active_faults::ActiveFaults,
    client::{ClientJob, Operator},
    disk::Disk,
    edge::Edge,
    events::{Event, EventQueue},
    node::{Node, START_WALL_MS},
    oracle::{Oracle, Violation},
    pending_requests::PendingRequests,
    worker::{Worker, WorkerSettings},
};
use magpiegap_control::DurableState;
use magpiegap_coordinator::take_snapshot;
use magpiegap_protocol::{
    JobId, JobPhase, JobSpec, Member, Resources, StepSpec, Submission, TaskId, ViewNumber,
    WallMillis, WorkerEntry,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::BTreeMap;

/// Length of one step of simulated time, in milliseconds.
const STEP_MS: u64 = 5;
/// The longest lease on a worker, in milliseconds.
const MAX_LEASE_MS: u64 = 6000;
/// Runs of a task that may fail.
const MAX_ATTEMPTS: u32 = 3;
/// How often the states of all coordinators are compared, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 500;
/// Time between two checks whether all jobs are done, in milliseconds.
const DONE_CHECK_INTERVAL_MS: u64 = 200;
/// Time between the first starts of two core machines, in milliseconds.
const START_INTERVAL_MS: u64 = 40;

/// Labels of workers, by turns.
const KIND_LABELS: [&str; 3] = ["a", "a", "b"];
/// Racks of workers, by turns.
const RACKS: usize = 2;

/// A fleet.
pub struct Fleet {
    settings: FleetSettings,
    random: StdRng,
    /// Simulated time, in milliseconds.
    now: u64,
    events: EventQueue,
    nodes: Vec<Node>,
    /// `None` while a worker has crashed.
    workers: Vec<Option<Worker>>,
    active_faults: ActiveFaults,
    /// When the effects of all faults so far are over, in milliseconds.
    calm_since: u64,
    /// How many incarnations of workers there have been.
    worker_incarnations: u64,
    /// The longest time that a coordinator took to respond to a change, in milliseconds.
    longest_change_ms: u64,
    /// The last address that a core machine was given.
    last_address: u32,
    /// How many disks were found to be old copies, and emptied.
    emptied_disks: usize,
    clients: Vec<ClientJob>,
    operators: Vec<Operator>,
    edges: Vec<Edge>,
    requests: PendingRequests,
    specs: BTreeMap<JobId, JobSpec>,
    oracle: Oracle,
}

impl Fleet {
    /// A fleet whose machines start for the first time.
    pub fn new(settings: FleetSettings) -> Fleet {
        let addresses: Vec<u32> = (0..settings.nodes).map(address).collect();
        let mut fleet = Fleet {
            random: StdRng::seed_from_u64(settings.seed),
            now: 0,
            events: EventQueue::default(),
            nodes: new_nodes(&addresses),
            workers: Vec::new(),
            active_faults: ActiveFaults::default(),
            calm_since: 0,
            worker_incarnations: 0,
            longest_change_ms: 0,
            last_address: address(settings.nodes),
            emptied_disks: 0,
            clients: Vec::new(),
            operators: vec![Operator::default(); settings.operators],
            edges: (0..settings.edges)
                .map(|number| Edge::new(number, addresses.clone()))
                .collect(),
            requests: PendingRequests::default(),
            specs: BTreeMap::new(),
            oracle: Oracle::default(),
            settings,
        };
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

    /// True time of day.
    pub fn wall(&self) -> WallMillis {
        WallMillis(START_WALL_MS + self.now)
    }

    /// Lets time pass until a simulated time in milliseconds.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MS;
            self.start_due_processes();
            self.handle_due_events();
            self.tick_coordinators();
            self.end_drained_processes();
            self.run_workers();
            self.send_requests();
            self.run_edges();
            if self.now.is_multiple_of(COMPARE_INTERVAL_MS) {
                self.compare_states();
                self.oracle.check_cancelled_runs(self.now, self.calm_since);
            }
        }
    }

    /// Lets time pass until all jobs are shown as ended, or up to a simulated time in milliseconds.
    pub fn run_until_done(&mut self, until: u64) {
        while self.now < until && !self.unfinished_jobs().is_empty() {
            self.run_until(self.now + DONE_CHECK_INTERVAL_MS);
        }
    }

    /// Lets a client submit a job at a time, and perhaps cancel it later.
    pub fn submit_at(&mut self, at: u64, spec: JobSpec, cancel_at: Option<u64>) -> JobId {
        let job = JobId(self.clients.len() as u64 + 1);
        let submission = Submission {
            job,
            queue: "h/q/".to_owned(),
            service: "s".to_owned(),
            // Every third job is urgent: others are preempted for it.
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

    /// All that must never happen, and did.
    pub fn violations(&self) -> &[Violation] {
        self.oracle.violations()
    }

    /// A job's phase as its client last saw it.
    pub fn phase(&self, job: JobId) -> Option<JobPhase> {
        self.clients
            .iter()
            .find(|client| client.id() == job)
            .and_then(|client| client.phase)
    }

    /// The jobs that have not been shown as ended.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        self.clients
            .iter()
            .filter(|client| !client.is_finished())
            .map(ClientJob::id)
            .collect()
    }

    /// The newest configuration version that was acknowledged to an operator.
    pub fn acknowledged_configuration(&self) -> u64 {
        self.oracle.acknowledged_configuration()
    }

    /// The longest time that a coordinator took to respond to a change, whatever it responded, in milliseconds.
    pub fn longest_change_ms(&self) -> u64 {
        self.longest_change_ms
    }

    /// How many members of gangs have timed out while they waited for the others.
    pub fn gang_timeouts(&self) -> u64 {
        self.oracle.gang_timeouts()
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.events.push(self.now + after_ms, event);
    }

    /// A new incarnation of a worker.
    fn new_worker(&mut self, number: usize) -> Worker {
        self.worker_incarnations += 1;
        let entry = WorkerEntry {
            incarnation: format!("i-{}-{}", number, self.worker_incarnations),
            service: "s".to_owned(),
            address: format!("w{number}"),
            zone: "z".to_owned(),
            capacity: Resources {
                cpu: 8000,
                memory_mb: 8000,
                gpu: 0,
            },
            labels: vec![
                KIND_LABELS[number % KIND_LABELS.len()].to_owned(),
                format!("r{}", number % RACKS),
            ],
            ..WorkerEntry::default()
        };
        let settings = WorkerSettings {
            guards: self.settings.guards,
            clock_offset_ms: self.random.gen_range(1000..100_000_000),
            clock_rate_permille: self.random.gen_range(980..=1000),
            max_lease_ms: MAX_LEASE_MS,
        };
        Worker::new(entry, settings)
    }
}

/// Core machines that start for the first time, one after the other.
fn new_nodes(addresses: &[u32]) -> Vec<Node> {
    let voters: Vec<Member> = addresses
        .iter()
        .map(|address| Member {
            address: *address,
            disk: 0,
        })
        .collect();
    let new_node = |(number, member): (usize, &Member)| {
        let state = take_snapshot(&magpiegap_jobs::State::default());
        let empty = DurableState::empty(0, Some(ViewNumber(0)), voters.clone(), state);
        Node::new(*member, Disk::new(empty), number as u64 * START_INTERVAL_MS)
    };
    voters.iter().enumerate().map(new_node).collect()
}

/// The first address of a core machine.
fn address(node: usize) -> u32 {
    0x0a00_0001 + node as u32
}

/// The step that a task is of.
fn find_step<'a>(specs: &'a BTreeMap<JobId, JobSpec>, task: &TaskId) -> Option<&'a StepSpec> {
    specs.get(&task.job)?.steps.get(task.step as usize)
}
