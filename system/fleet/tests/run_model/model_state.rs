//! The state of the model: replicated state, schedulers, workers, and calls and replies in flight.
use magpiegap_fleet::{Worker, WorkerSettings};
use magpiegap_jobs::State;
use magpiegap_protocol::{
    Command, JobId, JobSpec, Resources, RunId, StepSpec, Submission, WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{Scheduler, WorkerCall, WorkerReply};
use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

pub(crate) const SERVICE: &str = "s";
pub(crate) const SHORT_MS: u64 = 60;
/// Shorter than a worker lease.
pub(crate) const MEDIUM_MS: u64 = 2000;
/// Longer than any worker lease, and longer than a scheduler waits for a lease to expire.
pub(crate) const LONG_MS: u64 = 9000;
pub(crate) const MAX_LEASE_MS: u64 = 6000;
/// Duration of a quick task.
pub(crate) const QUICK_MS: u64 = 200;
/// Duration of a slow task, longer than a worker lease.
pub(crate) const SLOW_MS: u64 = 12_000;
/// Duration of a scheduler's role lease.
pub(crate) const ROLE_LEASE_MS: u64 = 900;
pub(crate) const JOB: JobId = JobId(1);
/// Maximum number of calls in flight. Further lease renewals are not sent, since the scheduler renews leases
/// indefinitely and the state space would be unbounded.
pub(crate) const MAX_CALLS: usize = 5;

/// How many more times each kind of action may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub short: u8,
    pub medium: u8,
    pub long: u8,
    pub unreachable_workers: u8,
    pub lost_messages: u8,
    pub late_calls: u8,
    pub failovers: u8,
    pub crashes: u8,
}

/// A scheduler that owns or has owned the role.
#[derive(Clone)]
pub(crate) struct RoleOwner {
    pub scheduler: Scheduler,
    /// When its role lease expires; set once another scheduler has claimed the role.
    pub role_lease_until: Option<u64>,
}

/// A call in flight, whose caller may have timed out.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub owner: usize,
    pub call: WorkerCall,
    pub has_timed_out: bool,
}

/// A reply in flight to its caller.
#[derive(Clone, Debug)]
pub(crate) struct PendingReply {
    pub owner: usize,
    pub call: u64,
    pub reply: WorkerReply,
}

#[derive(Clone)]
pub(crate) struct ModelState {
    pub now: u64,
    pub work_ms: u64,
    pub state: State,
    pub owners: Vec<RoleOwner>,
    pub workers: Vec<Worker>,
    /// Workers to which all calls are lost.
    pub unreachable: BTreeSet<usize>,
    pub worker_incarnations: u64,
    pub calls: Vec<PendingCall>,
    pub replies: Vec<PendingReply>,
    pub proposals: VecDeque<(usize, Command)>,
    pub budget: Budget,
    /// The runs in progress, by worker incarnation.
    pub running: BTreeSet<(String, RunId)>,
    pub completion_acknowledged: bool,
    pub violation: Option<String>,
}

impl ModelState {
    pub(crate) fn new(budget: Budget, work_ms: u64) -> ModelState {
        let mut model_state = ModelState {
            now: 1000,
            work_ms,
            state: State::default(),
            owners: Vec::new(),
            workers: Vec::new(),
            unreachable: BTreeSet::new(),
            worker_incarnations: 0,
            calls: Vec::new(),
            replies: Vec::new(),
            proposals: VecDeque::new(),
            budget,
            running: BTreeSet::new(),
            completion_acknowledged: false,
            violation: None,
        };
        for number in 0..2 {
            let worker = model_state.new_worker(number);
            model_state.workers.push(worker);
        }
        model_state.fail_over();
        let submission = Submission {
            job: JOB,
            queue: "h/q/".to_owned(),
            service: SERVICE.to_owned(),
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            target_latency_ms: 500,
            submitted_ms: WallMillis(1),
            spec: JobSpec {
                steps: vec![StepSpec {
                    count: 1,
                    resources: Resources {
                        cpu: 1000,
                        memory_mb: 10,
                        gpu: 0,
                    },
                    estimated_ms: work_ms,
                    ..StepSpec::default()
                }],
                ..JobSpec::default()
            },
        };
        let command = model_state.owners[0]
            .scheduler
            .submit(model_state.now, submission);
        model_state.proposals.push_back((0, command));
        // Afterwards both workers have answered their first lease renewal, and the start order is in flight.
        model_state.deliver_all();
        model_state
    }

    pub(crate) fn new_worker(&mut self, number: usize) -> Worker {
        self.worker_incarnations += 1;
        let entry = WorkerEntry {
            incarnation: format!("i-{number}-{}", self.worker_incarnations),
            service: SERVICE.to_owned(),
            address: format!("w{number}"),
            capacity: Resources {
                cpu: 4000,
                memory_mb: 100,
                gpu: 0,
            },
            ..WorkerEntry::default()
        };
        // Worker 0 has a clock that is 2% slow; the clock of worker 1 is exact.
        let settings = WorkerSettings {
            enforces_capacity: true,
            clock_offset_ms: 5000,
            clock_rate_permille: 980 + 20 * number as u64,
            max_lease_ms: MAX_LEASE_MS,
        };
        Worker::new(entry, settings)
    }

    pub(crate) fn entries(&self) -> Vec<WorkerEntry> {
        self.workers
            .iter()
            .map(|worker| worker.entry.clone())
            .collect()
    }

    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Debug for ModelState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} {:?} ",
            self.now, self.state.jobs, self.state.workers
        )?;
        for owner in &self.owners {
            write!(f, "{:?} {:?} ", owner.scheduler, owner.role_lease_until)?;
        }
        write!(
            f,
            "{:?} {:?} {:?} {:?}",
            self.workers, self.calls, self.replies, self.proposals
        )?;
        write!(
            f,
            "{:?} {:?} {:?} {:?}",
            self.budget, self.running, self.unreachable, self.violation
        )
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.digest() == other.digest()
    }
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest().hash(state);
    }
}
