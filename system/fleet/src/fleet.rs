//! The simulation loop: advances simulated time and drives the state machines.
//!
//! This module owns the simulated components and the clock. Each child module implements one kind of interaction:
//! inputs and outputs of coordinators (`delivery`), process starts and stops (`processes`), faults (`fault_injection`),
//! requests of clients, operators and observers (`requests`), requests of edges (`edges`), calls to workers
//! (`worker_calls`) and gang scheduling (`gangs`); or one check over all components (`state_checks`, `idle_capacity`).
mod delivery;
mod edges;
mod fault_injection;
mod gangs;
mod idle_capacity;
mod job_specs;
mod processes;
mod requests;
mod settings;
mod state_checks;
mod worker_calls;

pub use settings::FleetSettings;

use crate::{
    active_faults::ActiveFaults,
    client::{ClientJob, Operator, JOB_SERVICE},
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
use std::collections::{BTreeMap, BTreeSet};

/// Length of one step of simulated time, in milliseconds.
const STEP_MS: u64 = 5;
/// Maximum duration of a worker lease, in milliseconds.
const MAX_LEASE_MS: u64 = 6000;
/// Number of failed runs after which a task fails.
const MAX_ATTEMPTS: u32 = 3;
/// Interval at which the states of all coordinators are compared, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 500;
/// Interval at which `run_until_done` checks whether all jobs have ended, in milliseconds.
const DONE_CHECK_INTERVAL_MS: u64 = 200;
/// Delay between the initial starts of consecutive nodes, in milliseconds.
const START_INTERVAL_MS: u64 = 40;

/// Worker labels, assigned round-robin.
const WORKER_LABELS: [&str; 3] = ["a", "a", "b"];
/// Number of racks; workers are assigned to them round-robin.
const RACKS: usize = 2;

/// A simulated fleet of coordinators, workers, edges, clients and operators.
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
    /// When the effects of all faults injected so far have ended, in milliseconds.
    fault_free_since: u64,
    /// Number of worker incarnations created so far.
    worker_incarnations: u64,
    /// Longest response time of a configuration change, in milliseconds.
    longest_change_ms: u64,
    /// The address most recently assigned to a node.
    last_address: u32,
    /// Number of disks that were detected as stale and wiped.
    wiped_stale_disks: usize,
    clients: Vec<ClientJob>,
    operators: Vec<Operator>,
    edges: Vec<Edge>,
    requests: PendingRequests,
    specs: BTreeMap<JobId, JobSpec>,
    /// True durations of the tasks of jobs whose estimates are wrong, in milliseconds.
    task_durations: BTreeMap<JobId, u64>,
    /// Jobs whose starts every worker rejects as malformed.
    malformed_jobs: BTreeSet<JobId>,
    runs_started: BTreeMap<JobId, u32>,
    oracle: Oracle,
}

impl Fleet {
    /// Creates a fleet in which all nodes are due to start with empty state.
    pub fn new(settings: FleetSettings) -> Fleet {
        let addresses: Vec<u32> = (0..settings.nodes).map(address).collect();
        let mut fleet = Fleet {
            random: StdRng::seed_from_u64(settings.seed),
            now: 0,
            events: EventQueue::default(),
            nodes: new_nodes(&addresses),
            workers: Vec::new(),
            active_faults: ActiveFaults::default(),
            fault_free_since: 0,
            worker_incarnations: 0,
            longest_change_ms: 0,
            last_address: address(settings.nodes),
            wiped_stale_disks: 0,
            clients: Vec::new(),
            operators: vec![Operator::default(); settings.operators],
            edges: (0..settings.edges)
                .map(|number| Edge::new(number, addresses.clone()))
                .collect(),
            requests: PendingRequests::default(),
            specs: BTreeMap::new(),
            task_durations: BTreeMap::new(),
            malformed_jobs: BTreeSet::new(),
            runs_started: BTreeMap::new(),
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

    /// The true time of day, without the clock errors of individual nodes.
    pub fn wall(&self) -> WallMillis {
        WallMillis(START_WALL_MS + self.now)
    }

    /// Advances simulated time to `until`, in milliseconds.
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
            self.check_idle_capacity();
            if self.now.is_multiple_of(COMPARE_INTERVAL_MS) {
                self.compare_states();
                self.oracle
                    .check_cancelled_runs(self.now, self.fault_free_since);
            }
        }
    }

    /// Advances simulated time until every client has seen its job end, or to `until`, in milliseconds.
    pub fn run_until_done(&mut self, until: u64) {
        while self.now < until && !self.unfinished_jobs().is_empty() {
            self.run_until(self.now + DONE_CHECK_INTERVAL_MS);
        }
    }

    /// Adds a client that submits a job at `at` and cancels it at `cancel_at`, if given.
    pub fn submit_at(&mut self, at: u64, spec: JobSpec, cancel_at: Option<u64>) -> JobId {
        let job = JobId(self.clients.len() as u64 + 1);
        let submission = Submission {
            job,
            queue: "h/q/".to_owned(),
            service: JOB_SERVICE.to_owned(),
            // Every third job has the highest priority (0), so that it preempts others.
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

    /// Sets the true duration of the tasks of a job, in milliseconds. Without it, the estimates are true.
    pub fn set_task_duration(&mut self, job: JobId, duration_ms: u64) {
        self.task_durations.insert(job, duration_ms);
    }

    /// Makes every worker reject the starts of a job as malformed.
    pub fn set_malformed(&mut self, job: JobId) {
        self.malformed_jobs.insert(job);
    }

    /// Number of runs of a job's tasks that workers have started.
    pub fn runs_started(&self, job: JobId) -> u32 {
        self.runs_started.get(&job).copied().unwrap_or(0)
    }

    /// The invariant violations found so far.
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

    /// The jobs that their clients have not seen end.
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

    /// Longest response time of a configuration change, whether accepted or rejected, in milliseconds.
    pub fn longest_change_ms(&self) -> u64 {
        self.longest_change_ms
    }

    /// Number of gang members that timed out while waiting for the other members.
    pub fn gang_timeouts(&self) -> u64 {
        self.oracle.gang_timeouts()
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.events.push(self.now + after_ms, event);
    }

    /// Creates a new incarnation of a worker.
    fn new_worker(&mut self, number: usize) -> Worker {
        self.worker_incarnations += 1;
        let entry = WorkerEntry {
            incarnation: format!("i-{}-{}", number, self.worker_incarnations),
            service: JOB_SERVICE.to_owned(),
            address: format!("w{number}"),
            zone: "z".to_owned(),
            capacity: Resources {
                cpu: 8000,
                memory_mb: 8000,
                gpu: 0,
            },
            labels: vec![
                WORKER_LABELS[number % WORKER_LABELS.len()].to_owned(),
                format!("r{}", number % RACKS),
            ],
            ..WorkerEntry::default()
        };
        let settings = WorkerSettings {
            enforces_capacity: self.settings.enforces_capacity,
            clock_offset_ms: self.random.gen_range(1000..100_000_000),
            clock_rate_permille: self.random.gen_range(980..=1000),
            max_lease_ms: MAX_LEASE_MS,
        };
        Worker::new(entry, settings)
    }
}

/// Creates nodes with empty disks that start one after the other.
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

/// The initial address of a node.
fn address(node: usize) -> u32 {
    0x0a00_0001 + node as u32
}

/// Returns the step that a task belongs to.
fn find_step<'a>(specs: &'a BTreeMap<JobId, JobSpec>, task: &TaskId) -> Option<&'a StepSpec> {
    specs.get(&task.job)?.steps.get(task.step as usize)
}
