//! How long the scheduler's core takes for each run, against the number of workers and of tasks that can't be placed.
//!
//! `cargo run --profile system -p magpiegap-scheduler --example throughput`
//!
//! A scheduler between a log that commits at once and workers that reply at once: jobs of two tasks come, are placed,
//! started and listed as done. The time is that of the scheduler and of applying the log, without sockets, disks and
//! other replicas.
use magpiegap_jobs::State;
use magpiegap_protocol::{
    Command, CompletionKind, Entry, FencingToken, JobId, JobSpec, LogPosition, Member, ProposalId,
    ReplicaId, Resources, RunStart, StepSpec, Submission, ViewNumber, WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{
    ListedCompletion, Listing, Output, Scheduler, SchedulerSettings, WorkerCall, WorkerOrder,
    WorkerReply,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

const WORKERS: [usize; 5] = [50, 100, 200, 400, 800];
const WAITING: [u64; 3] = [0, 200, 1000];
/// Jobs played for each pair of sizes, of two tasks each.
const JOBS: u64 = 4000;
/// Time of the day at which the play begins.
const WALL_MS: WallMillis = WallMillis(1_000_000);
/// Jobs submitted at the same moment, before replies are taken.
const JOBS_AT_ONCE: u64 = 10;

struct Bench {
    now: u64,
    state: State,
    scheduler: Scheduler,
    calls: Vec<WorkerCall>,
    /// Completions that each worker has yet to have acknowledged, and how many it has had.
    completions: HashMap<String, Vec<ListedCompletion>>,
    completed: BTreeMap<String, u64>,
}

impl Bench {
    fn new(workers: usize) -> Bench {
        let state = State::default();
        let scheduler = Scheduler::new(
            "s",
            FencingToken(1),
            SchedulerSettings::default(),
            1000,
            &state,
            1,
        );
        let mut bench = Bench {
            now: 1000,
            state,
            scheduler,
            calls: Vec::new(),
            completions: HashMap::new(),
            completed: BTreeMap::new(),
        };
        let entries: Vec<WorkerEntry> = (0..workers).map(worker).collect();
        bench
            .scheduler
            .handle_worker_list(bench.now, &bench.state, &entries);
        bench.step();
        bench
    }

    fn commit(&mut self, command: Command) {
        let index = self.state.position.index + 1;
        let origin = ReplicaId {
            member: Member {
                address: 1,
                disk: 0,
            },
            incarnation: 1,
        };
        let runs: Vec<RunStart> = match &command {
            Command::StartRuns { runs } | Command::SubmitJob { runs, .. } => runs.clone(),
            _ => Vec::new(),
        };
        let entry = Entry {
            position: LogPosition {
                view: ViewNumber(1),
                index,
            },
            proposal: ProposalId {
                origin,
                sequence: index.0,
            },
            role_token: None,
            command,
            wall_ms: WALL_MS + self.now,
        };
        let applied = self.state.apply(&entry);
        self.scheduler.handle_applied(
            self.now,
            entry.position,
            &self.state,
            &applied.changes,
            &runs,
        );
    }

    /// A few milliseconds pass; all workers reply to their calls.
    fn step(&mut self) {
        self.now += 5;
        for _ in 0..4 {
            self.scheduler
                .on_timeout(self.now, WALL_MS + self.now, &self.state);
            for output in self.scheduler.poll_outputs() {
                match output {
                    Output::Call(call) => self.calls.push(call),
                    Output::Propose(command) => self.commit(command),
                    Output::Log(_) => {}
                }
            }
        }
        for call in std::mem::take(&mut self.calls) {
            let reply = self.reply_to(&call);
            self.scheduler
                .handle_reply(self.now, &self.state, call.id, reply);
        }
    }

    fn reply_to(&mut self, call: &WorkerCall) -> WorkerReply {
        let clock_ms = Some((WALL_MS + self.now).0);
        let completions = self
            .completions
            .entry(call.incarnation.clone())
            .or_default();
        match &call.order {
            WorkerOrder::Start { task, run, .. } => {
                let number = self.completed.entry(call.incarnation.clone()).or_default();
                *number += 1;
                let checkpoint = String::new();
                completions.push(ListedCompletion {
                    sequence: *number,
                    task: *task,
                    run: *run,
                    kind: CompletionKind::Done,
                    checkpoint,
                });
                WorkerReply::Done {
                    clock_ms,
                    listing: None,
                }
            }
            WorkerOrder::Stop { .. } => WorkerReply::Done {
                clock_ms,
                listing: None,
            },
            WorkerOrder::RenewLease {
                acknowledged_completion,
                ..
            } => {
                completions.retain(|completion| completion.sequence > *acknowledged_completion);
                let listing = Listing {
                    running: Vec::new(),
                    completed: completions.clone(),
                };
                WorkerReply::Done {
                    clock_ms,
                    listing: Some(listing),
                }
            }
        }
    }

    fn submit(&mut self, job: u64, priority: u32, step: StepSpec) {
        let submission = Submission {
            job: JobId(job),
            queue: "q".to_owned(),
            service: "s".to_owned(),
            priority,
            max_attempts: 3,
            stretch: 2.0,
            target_latency_ms: 1000,
            submitted_ms: WALL_MS + self.now,
            spec: JobSpec {
                steps: vec![step],
                ..JobSpec::default()
            },
        };
        let command = self.scheduler.submit(self.now, submission);
        self.commit(command);
    }
}

fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        incarnation: format!("i-{number:08}"),
        service: "s".to_owned(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        capacity: Resources {
            cpu: 16_000,
            memory_mb: 64_000,
            gpu: 0,
        },
        labels: vec![
            ["a", "b"][number % 2].to_owned(),
            format!("r{}", number / 12),
        ],
        ..WorkerEntry::default()
    }
}

fn step(count: u32, cpu: u64) -> StepSpec {
    let resources = Resources {
        cpu,
        memory_mb: 100,
        gpu: 0,
    };
    StepSpec {
        count,
        resources,
        estimated_ms: 500,
        ..StepSpec::default()
    }
}

/// Microseconds for each run.
fn play(workers: usize, waiting: u64) -> f64 {
    let mut bench = Bench::new(workers);
    for number in 0..waiting {
        // Requires a label that no worker has, and is unlike all before.
        let infeasible = StepSpec {
            requirements: vec!["none".to_owned()],
            ..step(1, 2000 - number)
        };
        bench.submit(1_000_000 + number, 1, infeasible);
    }
    bench.step();
    let began = Instant::now();
    for job in 0..JOBS {
        bench.submit(job + 1, 0, step(2, 1000));
        if job % JOBS_AT_ONCE == 0 {
            bench.step();
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / (2 * JOBS) as f64
}

/// Rounds of planning that are timed with all workers full.
const ROUNDS: u64 = 200;
/// Time between two of them, in milliseconds.
const ROUND_MS: u64 = 25;

/// Microseconds for a round of planning while all workers are full and so many jobs of two tasks are queued for capacity.
fn play_full(workers: usize, waiting: u64, priority: u32) -> f64 {
    let mut bench = Bench::new(workers);
    // Four runs on each worker, which never end.
    for number in 0..2 * workers as u64 {
        let long = StepSpec {
            estimated_ms: 60_000,
            ..step(2, 3900)
        };
        bench.submit(1_000_000 + number, 1, long);
    }
    bench.step();
    for number in 0..waiting {
        bench.submit(number + 1, priority, step(2, 1000 + number * 7 % 4000));
    }
    bench.step();
    let began = Instant::now();
    for _ in 0..ROUNDS {
        bench.now += ROUND_MS;
        bench
            .scheduler
            .on_timeout(bench.now, WALL_MS + bench.now, &bench.state);
        bench.scheduler.poll_outputs();
        // Something completes, or comes, between any two rounds.
        bench.submit(2_000_000 + bench.now, 2, step(1, 15_000));
    }
    began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn main() {
    println!("microseconds for a round of planning with all workers full");
    print!("{:>10}", "workers");
    for priority in [0, 2] {
        for waiting in WAITING {
            print!("{:>24}", format!("{waiting} of priority {priority}"));
        }
    }
    println!();
    for workers in WORKERS {
        print!("{workers:>10}");
        for priority in [0, 2] {
            for waiting in WAITING {
                print!("{:>24.1}", play_full(workers, waiting, priority));
            }
        }
        println!();
    }
    println!("microseconds for each run");
    print!("{:>10}", "workers");
    for waiting in WAITING {
        print!("{:>18}", format!("{waiting} wait in vain"));
    }
    println!();
    for workers in WORKERS {
        print!("{workers:>10}");
        for waiting in WAITING {
            print!("{:>18.1}", play(workers, waiting));
        }
        println!();
    }
}
