//! Drives the coordinator's state machine: feeds it events and performs its outputs.
use super::{
    disk::DiskWork, events::Event, peers::Peers, platform_client, worker_client,
    worker_connections::WorkerConnections,
};
use crate::{clock::Clock, settings::NodeSettings};
use magpiegap_control::Output as ControlOutput;
use magpiegap_coordinator::{Coordinator, Output, RequestId};
use magpiegap_protocol::{CoordinatorResponse, FencingToken, Millis, PeerMessage, ReplicaId};
use magpiegap_scheduler::WorkerCall;
use std::{
    collections::HashMap,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender},
    oneshot,
};

/// Interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between rereads of the settings file.
const SETTINGS_READ_INTERVAL_MS: Millis = 2000;
/// Minimum interval between log lines about long turns.
const LONG_TURN_LOG_INTERVAL_MS: Millis = 1000;
/// Number of additional queued events that are handled before the outputs are performed.
const MAX_EVENTS_PER_BATCH: usize = 64;

/// Handles for performing the outputs of the state machine.
pub(super) struct IoHandles {
    /// Queue of the disk thread.
    pub disk: std::sync::mpsc::Sender<DiskWork>,
    /// Connections to the other coordinators.
    pub peers: Peers,
    /// HTTP client for calls to the platform.
    pub client: reqwest::Client,
    /// Connections to the workers.
    pub workers: WorkerConnections,
    /// Address of the platform's list of workers.
    pub platform: Option<SocketAddr>,
}

/// Drives a coordinator and performs its input and output.
pub(super) struct Driver {
    clock: Clock,
    own: ReplicaId,
    coordinator: Coordinator,
    io: IoHandles,
    /// Channels for the responses to requests in progress.
    pending_responses: HashMap<RequestId, oneshot::Sender<CoordinatorResponse>>,
    /// The last request ID that was assigned.
    last_request: RequestId,
    /// Messages of this coordinator to itself, which bypass the network.
    loopback_messages: Vec<PeerMessage>,
    /// Reread for the addresses of other coordinators while too few of them are reachable.
    settings_file: PathBuf,
    settings_read_at: Millis,
    long_turn_logged_at: Millis,
    /// Notified once the other coordinators have formed a view without this one.
    departed: Option<oneshot::Sender<()>>,
    /// Whether the disk was found to be an outdated copy that the other coordinators do not need.
    disk_is_superseded: bool,
}

impl Driver {
    /// Creates a driver for a coordinator that has just been created.
    pub(super) fn new(
        clock: Clock,
        own: ReplicaId,
        coordinator: Coordinator,
        io: IoHandles,
        settings_file: PathBuf,
        departed: oneshot::Sender<()>,
    ) -> Driver {
        Driver {
            clock,
            own,
            coordinator,
            io,
            pending_responses: HashMap::new(),
            last_request: 0,
            loopback_messages: Vec::new(),
            settings_file,
            settings_read_at: 0,
            long_turn_logged_at: 0,
            departed: Some(departed),
            disk_is_superseded: false,
        }
    }

    /// Handles events until the future is dropped or the disk is found to be an outdated copy that is not needed. In the
    /// latter case all requests in progress are rejected, and the event queue is returned with the unhandled events. A
    /// message on `drain` starts the handover of the coordinator's roles.
    pub(super) async fn run(
        mut self,
        events: UnboundedSender<Event>,
        mut inbox: UnboundedReceiver<Event>,
        mut drain: UnboundedReceiver<()>,
    ) -> UnboundedReceiver<Event> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let began;
            tokio::select! {
                event = inbox.recv() => {
                    let Some(event) = event else { return inbox };
                    began = Instant::now();
                    self.handle_event(event);
                    for _ in 0..MAX_EVENTS_PER_BATCH {
                        match inbox.try_recv() {
                            Ok(event) => self.handle_event(event),
                            Err(_) => break,
                        }
                    }
                }
                _ = ticks.tick() => {
                    began = Instant::now();
                    self.tick();
                }
                Some(()) = drain.recv() => {
                    began = Instant::now();
                    self.coordinator.drain(self.clock.now());
                }
            }
            self.perform_outputs(&events);
            self.record_turn(began.elapsed());
            self.notify_departed();
            if self.disk_is_superseded {
                self.reject_pending_requests();
                return inbox;
            }
        }
    }

    fn record_turn(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_millis() as Millis;
        let is_long = self.coordinator.record_turn(elapsed_ms);
        let now = self.clock.now();
        if is_long && now >= self.long_turn_logged_at + LONG_TURN_LOG_INTERVAL_MS {
            self.long_turn_logged_at = now;
            log::warn!("long turn of the coordinator elapsed_ms={elapsed_ms}");
        }
    }

    fn reject_pending_requests(&mut self) {
        for (_, response) in self.pending_responses.drain() {
            let _ = response.send(CoordinatorResponse::NotServing);
        }
    }

    fn notify_departed(&mut self) {
        if !self.coordinator.has_departed() {
            return;
        }
        if let Some(departed) = self.departed.take() {
            let _ = departed.send(());
        }
    }

    fn tick(&mut self) {
        self.coordinator
            .on_timeout(self.clock.now(), self.clock.wall_time());
        self.reload_seeds();
    }

    /// Rereads the addresses of other coordinators while too few of them are reachable.
    fn reload_seeds(&mut self) {
        let now = self.clock.now();
        if now < self.settings_read_at + SETTINGS_READ_INTERVAL_MS
            || !self.coordinator.replica().needs_seeds(now)
        {
            return;
        }
        self.settings_read_at = now;
        match NodeSettings::read(&self.settings_file) {
            Ok(settings) => self.coordinator.set_seeds(&settings.seed_addresses()),
            Err(error) => log::warn!("cannot reread settings error={error}"),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        match event {
            Event::PeerMessages { from, messages } => {
                self.io.peers.handle_contact(from);
                self.coordinator.handle_messages(now, wall, from, messages);
            }
            Event::ConnectionRefused(address) => {
                self.coordinator.handle_connection_refused(now, address)
            }
            Event::Persisted(ticket) => self.coordinator.handle_persisted(now, wall, ticket),
            Event::Request { request, response } => {
                self.last_request += 1;
                self.pending_responses.insert(self.last_request, response);
                self.coordinator
                    .handle_request(now, wall, self.last_request, request);
            }
            Event::WorkerReply {
                service,
                token,
                call,
                reply,
            } => {
                self.coordinator
                    .handle_worker_reply(now, &service, token, call, reply);
            }
            Event::PlatformReply { call, reply } => {
                self.coordinator.handle_platform_reply(now, call, reply)
            }
        }
    }

    /// Performs outputs until there are none left, including those caused by messages of this coordinator to itself.
    fn perform_outputs(&mut self, events: &UnboundedSender<Event>) {
        loop {
            for output in self.coordinator.poll_outputs() {
                self.perform(output, events);
            }
            let loopback_messages = std::mem::take(&mut self.loopback_messages);
            if loopback_messages.is_empty() {
                return;
            }
            let (now, wall) = (self.clock.now(), self.clock.wall_time());
            self.coordinator
                .handle_messages(now, wall, self.own, loopback_messages);
        }
    }

    fn perform(&mut self, output: Output, events: &UnboundedSender<Event>) {
        match output {
            Output::Control(output) => self.perform_control(output),
            Output::Respond { request, response } => {
                if let Some(sender) = self.pending_responses.remove(&request) {
                    let _ = sender.send(response);
                }
            }
            Output::CallWorker {
                service,
                token,
                call,
            } => self.call_worker(service, token, call, events.clone()),
            Output::ListWorkers { call, page } => self.list_workers(call, page, events.clone()),
        }
    }

    fn call_worker(
        &self,
        service: String,
        token: FencingToken,
        call: WorkerCall,
        events: UnboundedSender<Event>,
    ) {
        let workers = self.io.workers.clone();
        tokio::spawn(async move {
            let id = call.id;
            let reply = worker_client::call(workers, call).await;
            let _ = events.send(Event::WorkerReply {
                service,
                token,
                call: id,
                reply,
            });
        });
    }

    fn list_workers(&self, call: u64, page: Option<String>, events: UnboundedSender<Event>) {
        let Some(address) = self.io.platform else {
            return;
        };
        let client = self.io.client.clone();
        tokio::spawn(async move {
            let reply = platform_client::list(client, address, page).await;
            let _ = events.send(Event::PlatformReply { call, reply });
        });
    }

    fn perform_control(&mut self, output: ControlOutput) {
        match output {
            ControlOutput::Send { to, message } if to == self.own.member.address => {
                self.loopback_messages.push(message)
            }
            ControlOutput::Send { to, message } => self.io.peers.send(to, message),
            ControlOutput::Persist { ticket, records } => {
                self.submit_disk_work(DiskWork::Records { ticket, records });
            }
            ControlOutput::Checkpoint { ticket, snapshot } => {
                self.submit_disk_work(DiskWork::Checkpoint { ticket, snapshot });
            }
            ControlOutput::DiskSuperseded => self.disk_is_superseded = true,
            ControlOutput::Log(line) => log::info!("{line}"),
        }
    }

    fn submit_disk_work(&self, work: DiskWork) {
        if self.io.disk.send(work).is_err() {
            log::error!("cannot queue disk work: the disk thread has ended");
        }
    }
}
