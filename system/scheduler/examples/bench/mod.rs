//! The harness of the benchmarks of the core, without sockets, disks and other replicas.
#![allow(dead_code)]
use magpiegap_jobs::State;
use magpiegap_protocol::{
    Command, CompletionKind, Entry, FencingToken, JobId, JobSpec, LogPosition, Member, ProposalId,
    ReplicaId, Resources, RunStart, StepSpec, Submission, ViewNumber, WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{
    ListedCompletion, Listing, Output, Scheduler, SchedulerSettings, WorkerCall, WorkerOrder,
    WorkerReply,
};
use std::collections::{BTreeMap, HashMap};

/// Time of the day at which the play begins.
pub(crate) const WALL_MS: WallMillis = WallMillis(1_000_000);

/// A scheduler between a log that commits at once and workers that reply at once and list each run as done.
pub(crate) struct Bench {
    pub now: u64,
    pub state: State,
    pub scheduler: Scheduler,
    calls: Vec<WorkerCall>,
    /// Completions that each worker has yet to have acknowledged, and how many it has had.
    completions: HashMap<String, Vec<ListedCompletion>>,
    completed: BTreeMap<String, u64>,
}

impl Bench {
    pub(crate) fn new(workers: usize, cores: u64) -> Bench {
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
        let entries: Vec<WorkerEntry> = (0..workers).map(|number| worker(number, cores)).collect();
        bench
            .scheduler
            .handle_worker_list(bench.now, &bench.state, &entries);
        bench.step();
        bench
    }

    pub(crate) fn commit(&mut self, command: Command) {
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
    pub(crate) fn step(&mut self) {
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

    pub(crate) fn submit(&mut self, job: u64, priority: u32, steps: Vec<StepSpec>) {
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
                steps,
                ..JobSpec::default()
            },
        };
        let command = self.scheduler.submit(self.now, submission);
        self.commit(command);
    }
}

fn worker(number: usize, cores: u64) -> WorkerEntry {
    WorkerEntry {
        incarnation: format!("i-{number:08}"),
        service: "s".to_owned(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        capacity: Resources {
            cpu: 1000 * cores,
            memory_mb: 4000 * cores,
            gpu: 0,
        },
        labels: vec![
            ["a", "b"][number % 2].to_owned(),
            format!("r{}", number / 12),
        ],
        ..WorkerEntry::default()
    }
}

pub(crate) fn step(count: u32, cpu: u64) -> StepSpec {
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
