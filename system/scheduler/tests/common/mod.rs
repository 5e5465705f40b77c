//! Test harness: a scheduler with a simulated log and simulated workers.
#![allow(dead_code)]
use magpiegap_jobs::State;
use magpiegap_protocol::{
    Command, CompletionKind, Entry, FencingToken, JobId, JobSpec, LogPosition, Member, ProposalId,
    ReplicaId, Resources, RunCompletion, RunStart, StepSpec, Submission, TaskId, ViewNumber,
    WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Listing, Output, Scheduler, SchedulerSettings, WorkerCall,
    WorkerOrder, WorkerReply,
};

pub(crate) const TOKEN: FencingToken = FencingToken(5);
/// Offset of the workers' clocks from the scheduler's clock.
pub(crate) const WORKER_CLOCK: u64 = 1_000_000;

/// A scheduler with a log that commits each proposal immediately.
pub(crate) struct Harness {
    pub now: u64,
    pub state: State,
    pub scheduler: Scheduler,
    pub calls: Vec<WorkerCall>,
    pub proposed: Vec<Command>,
    pub logs: Vec<String>,
}

pub(crate) fn worker(name: &str) -> WorkerEntry {
    WorkerEntry {
        incarnation: name.to_owned(),
        service: "s".to_owned(),
        address: format!("{name}:1"),
        capacity: Resources {
            cpu: 4000,
            memory_mb: 4000,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        ..WorkerEntry::default()
    }
}

pub(crate) fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu,
            memory_mb: 10,
            gpu: 0,
        },
        estimated_ms: 500,
        ..StepSpec::default()
    }
}

impl Harness {
    pub(crate) fn new(workers: &[&str]) -> Harness {
        let state = State::default();
        let scheduler = Scheduler::new("s", TOKEN, SchedulerSettings::default(), 1000, &state, 1);
        let mut harness = Harness {
            now: 1000,
            state,
            scheduler,
            calls: Vec::new(),
            proposed: Vec::new(),
            logs: Vec::new(),
        };
        let entries: Vec<WorkerEntry> = workers.iter().map(|name| worker(name)).collect();
        harness
            .scheduler
            .handle_worker_list(harness.now, &harness.state, &entries);
        harness.advance(10);
        harness.reply_to_first_calls();
        harness
    }

    /// Replies to the first renewal of each worker with an empty listing.
    pub(crate) fn reply_to_first_calls(&mut self) {
        for call in self.take_calls() {
            self.reply(&call, self.listing(vec![], vec![]));
        }
        self.advance(10);
    }

    pub(crate) fn clock(&self) -> u64 {
        WORKER_CLOCK + self.now
    }

    pub(crate) fn listing(
        &self,
        running: Vec<ListedRun>,
        completed: Vec<ListedCompletion>,
    ) -> WorkerReply {
        WorkerReply::Done {
            clock_ms: Some(self.clock()),
            listing: Some(Listing { running, completed }),
        }
    }

    pub(crate) fn done(&self) -> WorkerReply {
        WorkerReply::Done {
            clock_ms: Some(self.clock()),
            listing: None,
        }
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
            command: command.clone(),
            wall_ms: WallMillis(1_000_000 + self.now),
        };
        let runs: Vec<RunStart> = match &command {
            Command::StartRuns { runs } | Command::SubmitJob { runs, .. } => runs.clone(),
            _ => Vec::new(),
        };
        let applied = self.state.apply(&entry);
        self.scheduler.handle_applied(
            self.now,
            entry.position,
            &self.state,
            &applied.changes,
            &runs,
        );
        self.proposed.push(command);
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += ms;
        for _ in 0..4 {
            self.scheduler
                .on_timeout(self.now, WallMillis(1_000_000 + self.now), &self.state);
            for output in self.scheduler.poll_outputs() {
                match output {
                    Output::Call(call) => self.calls.push(call),
                    Output::Propose(command) => self.commit(command),
                    Output::Log(line) => self.logs.push(line),
                }
            }
        }
    }

    pub(crate) fn reply(&mut self, call: &WorkerCall, reply: WorkerReply) {
        self.scheduler
            .handle_reply(self.now, &self.state, call.id, reply);
    }

    pub(crate) fn take_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.calls)
    }

    pub(crate) fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        self.submit_with_priority(job, 0, steps);
    }

    pub(crate) fn submit_with_priority(&mut self, job: u64, priority: u32, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            steps,
            ..JobSpec::default()
        };
        self.submit_spec(job, priority, spec);
    }

    pub(crate) fn submit_spec(&mut self, job: u64, priority: u32, spec: JobSpec) {
        let submission = Submission {
            job: JobId(job),
            queue: "q".to_owned(),
            service: "s".to_owned(),
            priority,
            max_attempts: 3,
            stretch: 2.0,
            target_latency_ms: 1000,
            submitted_ms: WallMillis(1_000_000 + self.now),
            spec,
        };
        let command = self.scheduler.submit(self.now, submission);
        self.commit(command);
        self.advance(0);
    }

    pub(crate) fn starts(&mut self) -> Vec<WorkerCall> {
        let (starts, others) = self
            .take_calls()
            .into_iter()
            .partition(|call| matches!(call.order, WorkerOrder::Start { .. }));
        self.calls = others;
        starts
    }

    /// Replies to a start that the run has begun, and records that it completed in this way.
    pub(crate) fn complete(&mut self, start: &WorkerCall, kind: CompletionKind) {
        let WorkerOrder::Start { task, .. } = start.order else {
            panic!("not a start: {start:?}")
        };
        self.reply(start, self.done());
        self.complete_task(task, kind);
    }

    /// Records that the active run of a task completed in this way.
    pub(crate) fn complete_task(&mut self, task: TaskId, kind: CompletionKind) {
        let state = self.state.jobs[&task.job].task(&task);
        let Some(active) = state.and_then(|task| task.active_runs.first().cloned()) else {
            panic!("no run is active: {task}")
        };
        let completion = RunCompletion {
            task,
            run: active.run,
            kind,
            checkpoint: String::new(),
        };
        let acknowledged = self.state.workers[&active.incarnation].acknowledged_completion;
        self.commit(Command::RecordCompletions {
            incarnation: active.incarnation,
            acknowledged_completion: acknowledged + 1,
            completions: vec![completion],
        });
    }

    /// Lets time pass while workers carry out every order; started runs go on and make no progress.
    pub(crate) fn serve_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            for start in self.starts() {
                self.reply(&start, self.done());
            }
            self.serve_calls_other_than_starts();
            self.advance(50.min(end - self.now));
        }
    }

    /// Replies to stops and renewals; workers list the runs that are on record for them.
    pub(crate) fn serve_calls_other_than_starts(&mut self) {
        let starts = self.starts();
        let others = std::mem::replace(&mut self.calls, starts);
        for call in others {
            let reply = match call.order {
                WorkerOrder::RenewLease { .. } => {
                    self.listing(self.running_on(&call.incarnation), vec![])
                }
                _ => self.done(),
            };
            self.reply(&call, reply);
        }
    }

    /// The runs that are on record for a worker, as it lists them.
    fn running_on(&self, incarnation: &str) -> Vec<ListedRun> {
        let record = self.state.workers.get(incarnation);
        let runs = record.into_iter().flat_map(|record| &record.runs);
        let listed = |(task, run): (&TaskId, &u32)| ListedRun {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 0,
        };
        runs.map(listed).collect()
    }

    /// Drops the calls that are not starts.
    pub(crate) fn take_calls_other_than_starts(&mut self) {
        self.calls
            .retain(|call| matches!(call.order, WorkerOrder::Start { .. }));
    }

    pub(crate) fn active(&self, task: TaskId) -> Vec<String> {
        let state = self
            .state
            .jobs
            .get(&task.job)
            .and_then(|job| job.task(&task));
        state
            .map(|task| {
                task.active_runs
                    .iter()
                    .map(|run| run.incarnation.clone())
                    .collect()
            })
            .unwrap_or_default()
    }
}

pub(crate) fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A step of one task with this CPU demand and estimate.
pub(crate) fn timed_step(cpu: u64, estimated_ms: u64) -> StepSpec {
    StepSpec {
        estimated_ms,
        ..step(1, cpu)
    }
}

/// The long-poll durations of the renewals among these calls, in milliseconds.
pub(crate) fn long_polls(calls: &[WorkerCall]) -> Vec<u64> {
    let wait = |call: &WorkerCall| match call.order {
        WorkerOrder::RenewLease {
            long_poll_ms: wait_ms,
            ..
        } => Some(wait_ms),
        _ => None,
    };
    calls.iter().filter_map(wait).collect()
}
