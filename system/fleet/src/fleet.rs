//! The fleet: simulated time, network, disks and clocks around the state machines.
use crate::{
    client::{configuration, ClientJob, Operator},
    disk::{Disk, Work as DiskWork},
    faults::Fault,
    node::Node,
    oracle::{Oracle, Violation},
    worker::{Deed, Work, Worker},
};
use magpiegap_control::{ControlSettings, DurableState, Snapshot};
use magpiegap_coordinator::{Coordinator, CoordinatorSettings, Output, PlatformReply, RequestId};
use magpiegap_protocol::{
    encode, CoordinatorAnswer, CoordinatorRequest, EndKind, JobId, JobPhase, JobSpec, Member, PeerMessage,
    Replica, Resources, Role, RunId, StepSpec, Submission, TaskId, WorkerEntry,
};
use magpiegap_scheduler::{SchedulerSettings, WorkerCall, WorkerOrder, WorkerReply};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Length of one step of simulated time, in milliseconds.
const STEP_MS: u64 = 5;
/// Time between two ticks of a coordinator.
const TICK_MS: u64 = 20;
/// Time that a disk takes for a sync.
const SYNC_MS: u64 = 10;
/// Longest hold on a worker.
const MAX_HOLD_MS: u64 = 6000;
/// Runs of a task that may fail.
const MAX_ATTEMPTS: u32 = 3;

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
    /// Seeds all chance.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings { nodes: 3, tolerance: 1, workers: 6, failing_percent: 0, seed: 1 }
    }
}

enum Event {
    Peer {
        to: usize,
        from: Replica,
        message: PeerMessage,
    },
    Synced {
        node: usize,
        life: u64,
        ticket: u64,
    },
    Order {
        worker: usize,
        from: Option<Caller>,
        call: WorkerCall,
    },
    /// A hold that waits for an end.
    Waiting {
        worker: usize,
        from: Caller,
        call: WorkerCall,
        until: u64,
    },
    Reply {
        to: Caller,
        call: u64,
        reply: WorkerReply,
    },
    Platform {
        node: usize,
        life: u64,
        call: u64,
    },
    Restore(Restore),
}

enum Restore {
    Node { from: usize, to: usize },
    Worker(usize),
    WorkerCut(usize),
    Disk(usize),
    Orders,
}

/// The scheduler that has made a call.
#[derive(Clone)]
struct Caller {
    node: usize,
    life: u64,
    service: String,
    token: u64,
}

enum Asker {
    Client(usize, CoordinatorRequest),
    Operator(u64),
}

/// A fleet.
pub struct Fleet {
    settings: FleetSettings,
    random: StdRng,
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    workers: Vec<Option<Worker>>,
    cuts: BTreeSet<(usize, usize)>,
    workers_cut: BTreeMap<usize, bool>,
    slow_disks: BTreeMap<usize, u64>,
    late_percent: u32,
    lives_of_workers: u64,
    clients: Vec<ClientJob>,
    operator: Operator,
    requests: BTreeMap<(usize, u64, RequestId), Asker>,
    next_request: RequestId,
    specs: BTreeMap<JobId, JobSpec>,
    oracle: Oracle,
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
            clients: Vec::new(),
            operator: Operator::default(),
            requests: BTreeMap::new(),
            next_request: 0,
            specs: BTreeMap::new(),
            oracle: Oracle::default(),
            settings,
        };
        let voters: Vec<Member> =
            (0..fleet.settings.nodes).map(|node| Member { address: address(node), disk: 0 }).collect();
        for node in 0..fleet.settings.nodes {
            let state = encode(&magpiegap_jobs::State::default());
            let empty = Snapshot::empty(0, Some(0), voters.clone(), state);
            fleet.nodes.push(Node {
                address: address(node),
                disk: Disk::new(empty),
                coordinator: None,
                life: 0,
                started: 0,
                frozen_until: 0,
                restart_at: Some(node as u64 * 40),
                wall_offset: 0,
                member: Member { address: address(node), disk: 0 },
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

    fn new_worker(&mut self, number: usize) -> Worker {
        self.lives_of_workers += 1;
        let entry = WorkerEntry {
            instance: format!("i-{}-{}", number, self.lives_of_workers),
            service: "s".to_owned(),
            address: format!("w{number}"),
            zone: "z".to_owned(),
            capacity: Resources { cpu: 8000, memory_mb: 8000, gpu: 0 },
            labels: vec!["a".to_owned(), format!("r{}", number % 2)],
            ..WorkerEntry::default()
        };
        let offset = self.random.gen_range(1000..100_000_000);
        let rate = self.random.gen_range(980..=1000);
        Worker::new(entry, offset, rate, MAX_HOLD_MS)
    }

    /// Lets a client submit a job at a time, and perhaps cancel it later.
    pub fn submit_at(&mut self, at: u64, spec: JobSpec, cancel_at: Option<u64>) -> JobId {
        let job = JobId(self.clients.len() as u64 + 1);
        let submission = Submission {
            job,
            queue: "h/q/".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch: 2.0,
            target_latency_ms: 500,
            submitted_ms: 0,
            spec: spec.clone(),
        };
        self.specs.insert(job, spec);
        self.clients.push(ClientJob::new(submission, at, cancel_at));
        job
    }

    /// A job's state as its client last saw it.
    pub fn phase(&self, job: JobId) -> Option<JobPhase> {
        self.clients.iter().find(|client| client.id() == job).and_then(|client| client.phase)
    }

    /// The jobs that have not been shown as ended.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.clients.iter().filter(|client| !client.is_over()).map(ClientJob::id).collect()
    }

    /// The newest configuration that the operator was told to be taken.
    pub fn acknowledged_configuration(&self) -> u64 {
        self.operator.acknowledged
    }

    /// The configuration versions of all coordinators that run.
    pub fn configurations(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.coordinator.as_ref());
        running.map(|coordinator| coordinator.state().configuration.version).collect()
    }

    /// The state of each coordinator, for whoever looks into a failure.
    pub fn describe(&self) -> Vec<String> {
        let described = |node: &Node| match &node.coordinator {
            Some(coordinator) => format!("{} {}", node.member, coordinator.describe()),
            None => format!("{} does not run", node.member),
        };
        self.nodes.iter().map(described).collect()
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MS;
            self.start_nodes();
            self.deliver();
            self.tick_nodes();
            self.pass_time_of_workers();
            self.ask();
        }
    }

    /// Lets time pass until all jobs are shown as ended, or up to a time.
    pub fn run_until_done(&mut self, until: u64) {
        while self.now < until && !self.open_jobs().is_empty() {
            self.run_until(self.now + 200);
        }
    }

    // Machines

    fn start_nodes(&mut self) {
        for number in 0..self.nodes.len() {
            if self.nodes[number].restart_at.is_some_and(|at| self.now >= at) {
                self.start_node(number);
            }
        }
    }

    fn start_node(&mut self, number: usize) {
        let boot = self.random.gen();
        let disk = self.random.gen::<u64>().max(1);
        let node = &mut self.nodes[number];
        let empty = || {
            let state = encode(&magpiegap_jobs::State::default());
            Snapshot::empty(disk, None, Vec::new(), state)
        };
        let state: DurableState = node.disk.state().unwrap_or_else(empty);
        node.disk = Disk::new(state.clone());
        node.member = Member { address: node.address, disk: state.disk };
        node.life += 1;
        node.started = self.now;
        node.restart_at = None;
        let own = Replica { member: node.member, boot };
        let settings = coordinator_settings(&self.settings, own);
        let coordinator = Coordinator::new(settings, &state, self.nodes[number].steady(self.now));
        self.nodes[number].coordinator = Some(coordinator);
        self.perform(number);
    }

    fn stop_node(&mut self, number: usize, for_ms: u64) {
        self.nodes[number].coordinator = None;
        self.nodes[number].life += 1;
        self.nodes[number].restart_at = Some(self.now + for_ms);
    }

    /// Brings about a fault.
    pub fn strike(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { node, for_ms } => {
                self.nodes[node].disk.process_dies();
                self.stop_node(node, for_ms);
            }
            Fault::PowerLoss { node, for_ms } => {
                self.nodes[node].disk.power_is_lost(&mut self.random);
                self.stop_node(node, for_ms);
            }
            Fault::Wipe { node, for_ms } => {
                self.nodes[node].disk = Disk::default();
                self.stop_node(node, for_ms);
            }
            Fault::PowerLossOfAll { for_ms } => {
                for node in 0..self.nodes.len() {
                    self.nodes[node].disk.power_is_lost(&mut self.random);
                    let jitter = self.random.gen_range(0..300);
                    self.stop_node(node, for_ms + jitter);
                }
            }
            Fault::Freeze { node, for_ms } => self.nodes[node].frozen_until = self.now + for_ms,
            Fault::Cut { from, to, for_ms } => {
                self.cuts.insert((from, to));
                self.schedule(for_ms, Event::Restore(Restore::Node { from, to }));
            }
            Fault::WorkerCut { worker, answers_only, for_ms } => {
                self.workers_cut.insert(worker, answers_only);
                self.schedule(for_ms, Event::Restore(Restore::WorkerCut(worker)));
            }
            Fault::WorkerCrash { worker, for_ms } => {
                if let Some(old) = self.workers[worker].take() {
                    self.oracle.life_over(&old.entry.instance);
                    self.schedule(for_ms, Event::Restore(Restore::Worker(worker)));
                }
            }
            Fault::LateOrders { percent, for_ms } => {
                self.late_percent = percent;
                self.schedule(for_ms, Event::Restore(Restore::Orders));
            }
            Fault::SlowDisk { node, sync_ms, for_ms } => {
                self.slow_disks.insert(node, sync_ms);
                self.schedule(for_ms, Event::Restore(Restore::Disk(node)));
            }
            Fault::ClockStep { node, by_ms } => self.nodes[node].wall_offset += by_ms,
        }
    }

    fn restore(&mut self, what: Restore) {
        match what {
            Restore::Node { from, to } => {
                self.cuts.remove(&(from, to));
            }
            Restore::Worker(number) => self.workers[number] = Some(self.new_worker(number)),
            Restore::WorkerCut(worker) => {
                self.workers_cut.remove(&worker);
            }
            Restore::Disk(node) => {
                self.slow_disks.remove(&node);
            }
            Restore::Orders => self.late_percent = 0,
        }
    }

    // Events

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Peer { to, from, message } => {
                if self.postponed(to, None) {
                    self.schedule(STEP_MS, Event::Peer { to, from, message });
                    return;
                }
                self.with_node(to, None, |coordinator, now, wall| {
                    coordinator.receive(now, wall, from, vec![message]);
                });
            }
            Event::Synced { node, life, ticket } => {
                if self.nodes[node].life == life {
                    self.nodes[node].disk.sync(ticket);
                }
                if self.postponed(node, Some(life)) {
                    self.schedule(STEP_MS, Event::Synced { node, life, ticket });
                    return;
                }
                self.with_node(node, Some(life), |coordinator, now, wall| {
                    coordinator.persisted(now, wall, ticket)
                });
            }
            Event::Order { worker, from, call } => self.order(worker, from, call),
            Event::Waiting { worker, from, call, until } => self.wait_on(worker, from, call, until),
            Event::Reply { to, call, reply } => {
                if self.postponed(to.node, Some(to.life)) {
                    self.schedule(STEP_MS, Event::Reply { to, call, reply });
                    return;
                }
                self.with_node(to.node, Some(to.life), |coordinator, now, _| {
                    coordinator.worker_reply(now, &to.service, to.token, call, reply);
                });
            }
            Event::Platform { node, life, call } => {
                let workers = self.workers.iter().flatten().map(|worker| worker.entry.clone()).collect();
                let reply = PlatformReply::Page { workers, next: None };
                self.with_node(node, Some(life), |coordinator, now, _| {
                    coordinator.platform_reply(now, call, reply)
                });
            }
            Event::Restore(what) => self.restore(what),
        }
    }

    /// Whether a node stands still, so that what is meant for it waits.
    fn postponed(&self, node: usize, life: Option<u64>) -> bool {
        let node = &self.nodes[node];
        node.coordinator.is_some() && !node.runs(self.now) && life.is_none_or(|life| life == node.life)
    }

    fn with_node(&mut self, number: usize, life: Option<u64>, step: impl FnOnce(&mut Coordinator, u64, u64)) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.runs(now) || life.is_some_and(|life| life != node.life) {
            return;
        }
        let (steady, wall) = (node.steady(now), node.wall(now));
        if let Some(coordinator) = node.coordinator.as_mut() {
            step(coordinator, steady, wall);
        }
        self.perform(number);
    }

    fn tick_nodes(&mut self) {
        if self.now % TICK_MS >= STEP_MS {
            return;
        }
        for number in 0..self.nodes.len() {
            self.with_node(number, None, |coordinator, now, wall| coordinator.tick(now, wall));
        }
    }

    /// Does what a coordinator wants done.
    fn perform(&mut self, number: usize) {
        loop {
            let Some(coordinator) = self.nodes[number].coordinator.as_mut() else { return };
            let outputs = coordinator.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform_one(number, output);
            }
        }
    }

    fn perform_one(&mut self, number: usize, output: Output) {
        let life = self.nodes[number].life;
        match output {
            Output::Send { to, message } => self.send(number, to, message),
            Output::Persist { ticket, records } => {
                self.nodes[number].disk.write(ticket, DiskWork::Records(records));
                let sync_ms = self.slow_disks.get(&number).copied().unwrap_or(SYNC_MS);
                self.schedule(sync_ms, Event::Synced { node: number, life, ticket });
            }
            Output::Checkpoint { ticket, snapshot } => {
                self.nodes[number].disk.write(ticket, DiskWork::Checkpoint(snapshot));
                let sync_ms = self.slow_disks.get(&number).copied().unwrap_or(SYNC_MS);
                self.schedule(3 * sync_ms, Event::Synced { node: number, life, ticket });
            }
            Output::Answer { request, answer } => self.answered(number, life, request, &answer),
            Output::CallWorker { service, token, call } => {
                self.call_worker(Caller { node: number, life, service, token }, call);
            }
            Output::ListWorkers { call, .. } => {
                self.schedule(800, Event::Platform { node: number, life, call })
            }
            Output::Log(_) => {}
        }
    }

    fn send(&mut self, number: usize, to: u32, message: PeerMessage) {
        let Some(target) = self.nodes.iter().position(|node| node.address == to) else { return };
        if self.cuts.contains(&(number, target)) || self.random.gen_bool(0.002) {
            return;
        }
        let Some(coordinator) = self.nodes[number].coordinator.as_ref() else { return };
        let from = coordinator.replica().own();
        let delay = if target == number { 0 } else { self.random.gen_range(1..8) };
        self.schedule(delay, Event::Peer { to: target, from, message });
    }

    // Workers

    fn call_worker(&mut self, from: Caller, call: WorkerCall) {
        let unanswered = Event::Reply { to: from.clone(), call: call.id, reply: WorkerReply::Unanswered };
        self.schedule(call.timeout_ms, unanswered);
        let Some(worker) = self
            .workers
            .iter()
            .position(|worker| worker.as_ref().is_some_and(|worker| worker.entry.address == call.address))
        else {
            return;
        };
        if self.random.gen_range(0..100) < self.late_percent {
            let delay = self.random.gen_range(2000..12_000);
            self.schedule(delay, Event::Order { worker, from: None, call });
            return;
        }
        let delay = self.random.gen_range(1..6);
        self.schedule(delay, Event::Order { worker, from: Some(from), call });
    }

    fn order(&mut self, number: usize, from: Option<Caller>, call: WorkerCall) {
        // An order that is carried out late was taken in before any cut.
        let cut = self.workers_cut.get(&number).copied().filter(|_| from.is_some());
        if cut == Some(false) {
            return;
        }
        let work = self.work(&call);
        let now = self.now;
        let Some(worker) = self.workers[number].as_mut() else { return };
        let reply = worker.take(now, &call, work);
        self.note_deeds(number);
        let Some(from) = from.filter(|_| cut.is_none()) else { return };
        if let WorkerOrder::Hold { last_seen, wait_ms, .. } = call.order {
            let news = self.workers[number].as_ref().is_none_or(|worker| worker.has_news(last_seen));
            if wait_ms > 0 && !news && matches!(reply, WorkerReply::Done { .. }) {
                self.schedule(STEP_MS, Event::Waiting { worker: number, from, call, until: now + wait_ms });
                return;
            }
        }
        let delay = self.random.gen_range(1..6);
        self.schedule(delay, Event::Reply { to: from, call: call.id, reply });
    }

    fn wait_on(&mut self, number: usize, from: Caller, call: WorkerCall, until: u64) {
        let WorkerOrder::Hold { last_seen, .. } = call.order else { return };
        let Some(worker) = self.workers[number].as_mut() else { return };
        if !worker.has_news(last_seen) && self.now < until {
            self.schedule(STEP_MS, Event::Waiting { worker: number, from, call, until });
            return;
        }
        let look =
            WorkerCall { order: WorkerOrder::Hold { deadline_ms: None, last_seen, wait_ms: 0 }, ..call };
        let reply = worker.take(self.now, &look, None);
        self.note_deeds(number);
        if !self.workers_cut.contains_key(&number) {
            self.schedule(1, Event::Reply { to: from, call: look.id, reply });
        }
    }

    /// What a start means: how long the task works and how it ends.
    fn work(&self, call: &WorkerCall) -> Option<Work> {
        let WorkerOrder::Start { task, run, .. } = &call.order else { return None };
        let step = self.specs.get(&task.job)?.steps.get(task.step as usize)?;
        let how = if self.fails(*task, *run) { EndKind::Failed } else { EndKind::Done };
        Some(Work { resources: step.resources, duration_ms: step.estimated_ms, how })
    }

    /// Whether a run fails: as good as by chance, and the same each time that it is asked.
    fn fails(&self, task: TaskId, run: RunId) -> bool {
        let mixed =
            task.job.0 ^ (u64::from(task.index) << 20) ^ (u64::from(task.step) << 40) ^ u64::from(run);
        mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff
            < self.settings.failing_percent * 0xffff / 100
    }

    fn pass_time_of_workers(&mut self) {
        for number in 0..self.workers.len() {
            if let Some(worker) = self.workers[number].as_mut() {
                worker.pass_time(self.now);
            }
            self.note_deeds(number);
        }
    }

    fn note_deeds(&mut self, number: usize) {
        let Some(worker) = self.workers[number].as_mut() else { return };
        let deeds: Vec<Deed> = std::mem::take(&mut worker.deeds);
        let instance = worker.entry.instance.clone();
        for deed in deeds {
            self.oracle.deed(self.now, &instance, &deed, MAX_ATTEMPTS);
        }
    }

    // Clients

    fn ask(&mut self) {
        self.ask_as_operator();
        for number in 0..self.clients.len() {
            let client = &self.clients[number];
            if self.now < client.next_at || client.is_over() {
                continue;
            }
            let request = client.request(self.now);
            let id = client.id();
            self.clients[number].next_at = self.now + 250;
            self.oracle.asked.insert(id);
            if let Some(node) = self.whom_to_ask(&request) {
                self.ask_node(node, Asker::Client(number, request.clone()), request);
            }
        }
    }

    fn ask_as_operator(&mut self) {
        if self.now < self.operator.next_at {
            return;
        }
        self.operator.next_at = self.now + 400;
        let version = self.operator.acknowledged + 1;
        self.operator.sent = self.operator.sent.max(version);
        let body = configuration(version);
        let request = CoordinatorRequest::ReplaceConfiguration { base: version - 1, version, body };
        let node = self.random.gen_range(0..self.nodes.len());
        self.ask_node(node, Asker::Operator(version), request);
    }

    fn ask_node(&mut self, node: usize, asker: Asker, request: CoordinatorRequest) {
        if !self.nodes[node].runs(self.now) {
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        self.requests.insert((node, self.nodes[node].life, id), asker);
        self.with_node(node, None, |coordinator, now, wall| coordinator.request(now, wall, id, request));
    }

    /// The coordinator to ask, as some coordinator that runs has it.
    fn whom_to_ask(&mut self, request: &CoordinatorRequest) -> Option<usize> {
        let some = self.random.gen_range(0..self.nodes.len());
        let coordinator = self.nodes[some].coordinator.as_ref()?;
        let address = match request {
            CoordinatorRequest::Submit(submission) => {
                let role = Role::Scheduler(submission.service.clone());
                coordinator.state().roles.get(&role)?.holder.member.address
            }
            _ => coordinator.replica().view().tail()?.member.address,
        };
        self.nodes.iter().position(|node| node.address == address)
    }

    fn answered(&mut self, node: usize, life: u64, request: RequestId, answer: &CoordinatorAnswer) {
        match self.requests.remove(&(node, life, request)) {
            Some(Asker::Client(number, asked)) => {
                let client = &mut self.clients[number];
                client.take(&asked, answer);
                let (id, tasks) = (client.id(), client.tasks());
                if client.accepted {
                    self.oracle.accepted.entry(id).or_insert(self.now);
                }
                match answer {
                    CoordinatorAnswer::Phase(phase) => self.oracle.shown(self.now, id, Some(*phase), &tasks),
                    CoordinatorAnswer::NoSuchJob => self.oracle.shown(self.now, id, None, &tasks),
                    _ => {}
                }
            }
            Some(Asker::Operator(version)) => self.operator_answered(version, answer),
            None => {}
        }
    }

    fn operator_answered(&mut self, version: u64, answer: &CoordinatorAnswer) {
        match answer {
            CoordinatorAnswer::ConfigurationTaken => {
                self.operator.acknowledged = self.operator.acknowledged.max(version);
            }
            CoordinatorAnswer::ConfigurationConflict | CoordinatorAnswer::ConfigurationStale => {
                self.oracle.report(
                    self.now,
                    format!("configuration {version} was refused, and nobody else sends any"),
                );
            }
            _ => {}
        }
    }
}

fn address(node: usize) -> u32 {
    0x0a00_0001 + node as u32
}

fn coordinator_settings(settings: &FleetSettings, own: Replica) -> CoordinatorSettings {
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds: (0..settings.nodes).map(address).collect(),
            tolerance: settings.tolerance,
            heartbeat_ms: 80,
            suspect_ms: 420,
            seed: own.boot,
        },
        scheduler: SchedulerSettings { max_hold_ms: MAX_HOLD_MS, ..SchedulerSettings::default() },
        lease_ms: 900,
        list_every_ms: 600,
    }
}

/// A step of a job in a fleet.
pub(crate) fn plain_step(count: u32, cpu: u64, duration_ms: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources { cpu, memory_mb: 100, gpu: 0 },
        estimated_ms: duration_ms,
        ..StepSpec::default()
    }
}

impl Fleet {
    /// A job of some steps, each after the one before.
    pub fn chain_of_steps(steps: &[(u32, u64, u64)]) -> JobSpec {
        let step = |(position, (count, cpu, duration_ms)): (usize, &(u32, u64, u64))| StepSpec {
            depends_on: position.checked_sub(1).map(|before| before as u32).into_iter().collect(),
            ..plain_step(*count, *cpu, *duration_ms)
        };
        JobSpec {
            spec: "work".to_owned(),
            steps: steps.iter().enumerate().map(step).collect(),
            ..JobSpec::default()
        }
    }
}
