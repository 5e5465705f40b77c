//! Everything at one moment: the log's state, holders of the role, workers, calls and answers under way.
use magpiegap_fleet::Worker;
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
/// Part of a hold.
pub(crate) const MIDDLE_MS: u64 = 2000;
/// Longer than any hold, and than a scheduler waits for one.
pub(crate) const LONG_MS: u64 = 9000;
pub(crate) const MAX_HOLD_MS: u64 = 6000;
/// How long the task takes.
pub(crate) const QUICK_MS: u64 = 200;
pub(crate) const SLOW_MS: u64 = 12_000;
pub(crate) const LEASE_MS: u64 = 900;
pub(crate) const JOB: JobId = JobId(1);
/// Calls under way beyond these are not sent: the scheduler looks at its workers again and again.
pub(crate) const MOST_CALLS: usize = 5;
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub short: u8,
    pub middle: u8,
    pub long: u8,
    pub silences: u8,
    pub lost: u8,
    pub late: u8,
    pub take_overs: u8,
    pub crashes: u8,
}

/// A scheduler that holds, or held, the role.
#[derive(Clone)]
pub(crate) struct Holder {
    pub scheduler: Scheduler,
    /// When its lease ends, once another one has the role.
    pub acts_until: Option<u64>,
}

/// A call under way, or one that its caller has given up.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub holder: usize,
    pub call: WorkerCall,
    pub is_given_up: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub holder: usize,
    pub call: u64,
    pub reply: WorkerReply,
}

#[derive(Clone)]
pub(crate) struct World {
    pub now: u64,
    pub work_ms: u64,
    pub state: State,
    pub holders: Vec<Holder>,
    pub workers: Vec<Worker>,
    /// Workers that no call reaches.
    pub silent: BTreeSet<usize>,
    pub lives: u64,
    pub calls: Vec<Call>,
    pub answers: Vec<Answer>,
    pub proposals: VecDeque<(usize, Command)>,
    pub budget: Budget,
    /// What goes on where.
    pub running: BTreeSet<(String, RunId)>,
    pub noted_done: bool,
    pub wrong: Option<String>,
}
impl World {
    pub(crate) fn new(budget: Budget, work_ms: u64) -> World {
        let mut world = World {
            now: 1000,
            work_ms,
            state: State::default(),
            holders: Vec::new(),
            workers: Vec::new(),
            silent: BTreeSet::new(),
            lives: 0,
            calls: Vec::new(),
            answers: Vec::new(),
            proposals: VecDeque::new(),
            budget,
            running: BTreeSet::new(),
            noted_done: false,
            wrong: None,
        };
        for number in 0..2 {
            let worker = world.new_worker(number);
            world.workers.push(worker);
        }
        world.take_over();
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
        let command = world.holders[0].scheduler.submit(world.now, submission);
        world.proposals.push_back((0, command));
        // Both workers have answered their first hold, and the start is on its way.
        world.settle();
        world
    }

    pub(crate) fn new_worker(&mut self, number: usize) -> Worker {
        self.lives += 1;
        let entry = WorkerEntry {
            incarnation: format!("i-{number}-{}", self.lives),
            service: SERVICE.to_owned(),
            address: format!("w{number}"),
            capacity: Resources {
                cpu: 4000,
                memory_mb: 100,
                gpu: 0,
            },
            ..WorkerEntry::default()
        };
        // One clock is right, the other is slow by 2%.
        Worker::new(entry, true, 5000, 980 + 20 * number as u64, MAX_HOLD_MS)
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

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} {:?} ",
            self.now, self.state.jobs, self.state.workers
        )?;
        for holder in &self.holders {
            write!(f, "{:?} {:?} ", holder.scheduler, holder.acts_until)?;
        }
        write!(
            f,
            "{:?} {:?} {:?} {:?}",
            self.workers, self.calls, self.answers, self.proposals
        )?;
        write!(
            f,
            "{:?} {:?} {:?} {:?}",
            self.budget, self.running, self.silent, self.wrong
        )
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
