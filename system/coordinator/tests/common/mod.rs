//! Test fixture: a single coordinator that forms its own view, with an instantaneous disk and a simulated clock.
#![allow(dead_code)]
use magpiegap_control::{ControlSettings, DurableState, Output as ControlOutput, Tolerance};
use magpiegap_coordinator::{
    take_snapshot, Coordinator, CoordinatorSettings, Machine, Output, PlatformReply,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, FencingToken, JobId, JobSpec, Location, Member,
    PeerMessage, ReplicaId, Resources, Role, StepSpec, Submission, ViewNumber, WallMillis,
    WorkerEntry,
};
use magpiegap_scheduler::{SchedulerSettings, WorkerCall, WorkerOrder, WorkerReply};

/// Wall-clock time at which the coordinator starts, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// Interval between timeouts in simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Address of the coordinator.
const OWN_ADDRESS: u32 = 1;
/// Service of the only route.
pub(crate) const SERVICE: &str = "s";
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}]}"#;

/// A call to a worker and the fencing token under which it was sent.
pub(crate) struct SentCall {
    pub token: FencingToken,
    pub call: WorkerCall,
}

pub(crate) struct CoordinatorFixture {
    pub coordinator: Coordinator,
    now: u64,
    /// Worker calls without a reply.
    pub calls: Vec<SentCall>,
    /// Responses to requests, in order.
    pub responses: Vec<CoordinatorResponse>,
    /// Platform calls without a reply.
    platform_calls: Vec<u64>,
    /// Whether disk writes complete only once this is unset.
    pub is_disk_stalled: bool,
    /// The last disk write that has not completed.
    stalled_ticket: Option<u64>,
}

impl CoordinatorFixture {
    /// Creates a coordinator that holds all roles and has read a list with one worker.
    pub(crate) fn new() -> CoordinatorFixture {
        let own = replica(OWN_ADDRESS);
        let empty = DurableState::empty(
            0,
            Some(ViewNumber(0)),
            vec![own.member],
            take_snapshot(&State::default()),
        );
        let coordinator = Coordinator::new(settings(own), empty, Machine::default(), 0);
        let mut fixture = CoordinatorFixture {
            coordinator,
            now: 0,
            calls: Vec::new(),
            responses: Vec::new(),
            platform_calls: Vec::new(),
            is_disk_stalled: false,
            stalled_ticket: None,
        };
        fixture.advance(2000);
        let replace = CoordinatorRequest::ReplaceConfiguration {
            base: 0,
            body: CONFIGURATION.as_bytes().to_vec(),
        };
        let wall = fixture.wall();
        fixture
            .coordinator
            .handle_request(fixture.now, wall, 1, replace);
        fixture.advance(2000);
        fixture.reply_to_platform_calls(&[worker("w1")]);
        fixture.advance(100);
        fixture
    }

    fn wall(&self) -> WallMillis {
        WallMillis(START_WALL_MS + self.now)
    }

    /// Advances simulated time.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += STEP_MS;
            self.complete_stalled_writes();
            self.coordinator.on_timeout(self.now, self.wall());
            self.perform_outputs();
        }
    }

    /// Completes all disk writes, unless the disk is stalled.
    fn complete_stalled_writes(&mut self) {
        if self.is_disk_stalled {
            return;
        }
        if let Some(ticket) = self.stalled_ticket.take() {
            let wall = self.wall();
            self.coordinator.handle_persisted(self.now, wall, ticket);
        }
    }

    /// Delivers a request; the response follows in `responses`.
    pub(crate) fn handle_request(&mut self, request: CoordinatorRequest) {
        let wall = self.wall();
        self.coordinator.handle_request(self.now, wall, 2, request);
        self.perform_outputs();
    }

    /// Delivers a message from another coordinator.
    pub(crate) fn handle_message(&mut self, message: PeerMessage) {
        let wall = self.wall();
        self.coordinator
            .handle_messages(self.now, wall, replica(2), vec![message]);
        self.perform_outputs();
    }

    /// Delivers a worker's reply to a call sent under the given token.
    pub(crate) fn handle_worker_reply(
        &mut self,
        token: FencingToken,
        call: u64,
        reply: WorkerReply,
    ) {
        self.coordinator
            .handle_worker_reply(self.now, SERVICE, token, call, reply);
        self.perform_outputs();
    }

    /// Replies to all pending platform calls with a single-page worker list.
    fn reply_to_platform_calls(&mut self, workers: &[WorkerEntry]) {
        for call in std::mem::take(&mut self.platform_calls) {
            let reply = PlatformReply::Page {
                workers: workers.to_vec(),
                next: None,
            };
            self.coordinator
                .handle_platform_reply(self.now, call, reply);
        }
        self.perform_outputs();
    }

    /// Returns the current token of a role.
    pub(crate) fn token(&self, role: &Role) -> FencingToken {
        self.coordinator.state().fencing_token(role)
    }

    /// Returns the number of starts of a job among the worker calls without a reply.
    pub(crate) fn started_runs(&self, job: JobId) -> usize {
        let is_start = |sent: &&SentCall| matches!(sent.call.order, WorkerOrder::Start { task, .. } if task.job == job);
        self.calls.iter().filter(is_start).count()
    }

    /// Returns the number of workers known to the schedulers.
    pub(crate) fn known_workers(&self) -> usize {
        let description = self.coordinator.describe();
        let schedulers = description.schedulers.iter();
        schedulers.map(|scheduler| scheduler.summary.workers).sum()
    }

    fn perform_outputs(&mut self) {
        loop {
            let outputs = self.coordinator.poll_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform(output);
            }
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Control(
                ControlOutput::Persist { ticket, .. } | ControlOutput::Checkpoint { ticket, .. },
            ) => {
                self.stalled_ticket = Some(ticket);
                self.complete_stalled_writes();
            }
            // The coordinator is the only voter, so it receives its own vote.
            Output::Control(ControlOutput::Send { to, message }) if to == OWN_ADDRESS => {
                let wall = self.wall();
                self.coordinator.handle_messages(
                    self.now,
                    wall,
                    replica(OWN_ADDRESS),
                    vec![message],
                );
            }
            Output::Control(
                ControlOutput::Send { .. } | ControlOutput::DiskSuperseded | ControlOutput::Log(_),
            ) => {}
            Output::Respond { response, .. } => self.responses.push(response),
            Output::CallWorker { token, call, .. } => self.calls.push(SentCall { token, call }),
            Output::ListWorkers { call, .. } => self.platform_calls.push(call),
        }
    }
}

/// Returns the replica ID of the coordinator at an address.
fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: 7,
    }
}

/// Returns a job of one task of a minute.
pub(crate) fn submission(queue: &str, job: JobId) -> Submission {
    let step = StepSpec {
        count: 1,
        resources: Resources {
            cpu: 1000,
            memory_mb: 10,
            gpu: 0,
        },
        estimated_ms: 60_000,
        ..StepSpec::default()
    };
    Submission {
        job,
        queue: queue.to_owned(),
        service: SERVICE.to_owned(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(0),
        spec: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
    }
}

/// Returns a worker entry as listed by the platform.
pub(crate) fn worker(name: &str) -> WorkerEntry {
    WorkerEntry {
        incarnation: name.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("{name}:1"),
        capacity: Resources {
            cpu: 4000,
            memory_mb: 4000,
            gpu: 0,
        },
        ..WorkerEntry::default()
    }
}

fn settings(own: ReplicaId) -> CoordinatorSettings {
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds: vec![own.member.address],
            location: Location::default(),
            tolerance: Tolerance::of_machines(0),
            heartbeat_interval_ms: 80,
            suspicion_timeout_ms: 420,
            random_seed: 1,
        },
        scheduler: SchedulerSettings::default(),
        lease_ms: 900,
        list_interval_ms: 600,
    }
}
