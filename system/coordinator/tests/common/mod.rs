//! A coordinator alone in its view, whose disk syncs at once and whose clock the test moves.
use magpiegap_control::{ControlSettings, DurableState, Output as ControlOutput, Tolerance};
use magpiegap_coordinator::{
    take_snapshot, Coordinator, CoordinatorSettings, Machine, Output, PlatformReply,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{
    CoordinatorRequest, FencingToken, Location, Member, PeerMessage, ReplicaId, Resources, Role,
    ViewNumber, WallMillis, WorkerEntry,
};
use magpiegap_scheduler::{SchedulerSettings, WorkerCall, WorkerReply};

/// Time of day when the coordinator starts.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// Length of one step of simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// The coordinator's own address, as a number.
const OWN_ADDRESS: u32 = 1;
/// The service of the only queue.
pub(crate) const SERVICE: &str = "s";
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}]}"#;

/// A call to a worker, with the token under which it was made.
pub(crate) struct MadeCall {
    pub token: FencingToken,
    pub call: WorkerCall,
}

pub(crate) struct LoneCoordinator {
    pub coordinator: Coordinator,
    now: u64,
    /// Calls to workers that have no reply yet.
    pub calls: Vec<MadeCall>,
    /// Calls to the platform that have no reply yet.
    platform_calls: Vec<u64>,
}

impl LoneCoordinator {
    /// A coordinator that holds all roles and has read a list with one worker.
    pub(crate) fn new() -> LoneCoordinator {
        let own = replica(OWN_ADDRESS);
        let empty = DurableState::empty(
            0,
            Some(ViewNumber(0)),
            vec![own.member],
            take_snapshot(&State::default()),
        );
        let coordinator = Coordinator::new(settings(own), empty, Machine::default(), 0);
        let mut lone = LoneCoordinator {
            coordinator,
            now: 0,
            calls: Vec::new(),
            platform_calls: Vec::new(),
        };
        lone.advance(2000);
        let replace = CoordinatorRequest::ReplaceConfiguration {
            base: 0,
            body: CONFIGURATION.as_bytes().to_vec(),
        };
        let wall = lone.wall();
        lone.coordinator.handle_request(lone.now, wall, 1, replace);
        lone.advance(2000);
        lone.reply_to_platform_calls(&[worker("w1")]);
        lone.advance(100);
        lone
    }

    fn wall(&self) -> WallMillis {
        WallMillis(START_WALL_MS + self.now)
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += STEP_MS;
            self.coordinator.on_timeout(self.now, self.wall());
            self.perform_outputs();
        }
    }

    /// Lets a message of another coordinator arrive.
    pub(crate) fn handle_message(&mut self, message: PeerMessage) {
        let wall = self.wall();
        self.coordinator
            .handle_messages(self.now, wall, replica(2), vec![message]);
        self.perform_outputs();
    }

    /// Lets a reply to a call arrive that was made under a token.
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

    /// Answers all calls to the platform with a list of one page.
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

    /// The token of a role that this coordinator has claimed.
    pub(crate) fn token(&self, role: &Role) -> FencingToken {
        self.coordinator.state().fencing_token(role)
    }

    /// How many workers its scheduler knows.
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
                let wall = self.wall();
                self.coordinator.handle_persisted(self.now, wall, ticket);
            }
            // Its own vote: it is the only voter.
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
            )
            | Output::Answer { .. } => {}
            Output::CallWorker { token, call, .. } => self.calls.push(MadeCall { token, call }),
            Output::ListWorkers { call, .. } => self.platform_calls.push(call),
        }
    }
}

/// The process of a machine.
fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: 7,
    }
}

/// A worker as the platform lists it.
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
            seed: 1,
        },
        scheduler: SchedulerSettings::default(),
        lease_ms: 900,
        list_interval_ms: 600,
    }
}
