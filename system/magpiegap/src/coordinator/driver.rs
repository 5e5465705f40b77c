//! Drives the coordinator's state machine: events in, effects out.
use super::{
    disk::DiskWork, events::Event, peers::Peers, platform_client, worker_client,
    worker_connections::WorkerConnections,
};
use crate::{clock::Clock, settings::NodeSettings};
use magpiegap_control::Output as ControlOutput;
use magpiegap_coordinator::{Coordinator, Output, RequestId};
use magpiegap_protocol::{CoordinatorResponse, Millis, PeerMessage, ReplicaId};
use std::{collections::HashMap, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender},
    oneshot,
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Time between two readings of the settings file.
const READ_SETTINGS_MS: Millis = 2000;
/// Most events taken before what they have brought up is done.
const MOST_EVENTS: usize = 64;

/// What a coordinator is connected with.
pub(super) struct Links {
    /// The thread that does the disk's work.
    pub disk: std::sync::mpsc::Sender<DiskWork>,
    /// The other coordinators.
    pub peers: Peers,
    /// For calls to the platform.
    pub client: reqwest::Client,
    /// The workers.
    pub workers: WorkerConnections,
    /// Where the platform keeps its list.
    pub platform: Option<SocketAddr>,
}

/// Drives a coordinator.
pub(super) struct Driver {
    clock: Clock,
    own: ReplicaId,
    coordinator: Coordinator,
    links: Links,
    answers: HashMap<RequestId, oneshot::Sender<CoordinatorResponse>>,
    next_request: RequestId,
    /// Messages of this coordinator to itself.
    to_self: Vec<PeerMessage>,
    /// Where the addresses of other coordinators are read anew while too few of them are heard.
    settings_file: PathBuf,
    read_settings_at: Millis,
    /// Told once the others go on without this coordinator.
    left: Option<oneshot::Sender<()>>,
}

impl Driver {
    /// A driver around a coordinator that has just started.
    pub(super) fn new(
        clock: Clock,
        own: ReplicaId,
        coordinator: Coordinator,
        links: Links,
        settings_file: PathBuf,
        left: oneshot::Sender<()>,
    ) -> Driver {
        Driver {
            clock,
            own,
            coordinator,
            links,
            answers: HashMap::new(),
            next_request: 0,
            to_self: Vec::new(),
            settings_file,
            read_settings_at: 0,
            left: Some(left),
        }
    }

    /// Takes events until it is dropped.
    pub(super) async fn run(
        mut self,
        events: UnboundedSender<Event>,
        mut inbox: UnboundedReceiver<Event>,
        mut leave: UnboundedReceiver<()>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = inbox.recv() => {
                    let Some(event) = event else { return };
                    self.take(event);
                    for _ in 0..MOST_EVENTS {
                        match inbox.try_recv() {
                            Ok(event) => self.take(event),
                            Err(_) => break,
                        }
                    }
                }
                _ = ticks.tick() => self.tick(),
                Some(()) = leave.recv() => self.coordinator.leave(self.clock.now()),
            }
            self.finish(&events);
            if self.coordinator.has_left() {
                if let Some(left) = self.left.take() {
                    let _ = left.send(());
                }
            }
        }
    }

    fn tick(&mut self) {
        self.coordinator.tick(self.clock.now(), self.clock.wall());
        self.read_seeds();
    }

    /// Reads the addresses of other coordinators anew, while too few of them are heard.
    fn read_seeds(&mut self) {
        let now = self.clock.now();
        if now < self.read_settings_at + READ_SETTINGS_MS
            || !self.coordinator.replica().is_seeking(now)
        {
            return;
        }
        self.read_settings_at = now;
        match NodeSettings::read(&self.settings_file) {
            Ok(settings) => self.coordinator.set_seeds(&settings.seed_addresses()),
            Err(error) => log::warn!("{error}"),
        }
    }

    fn take(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        match event {
            Event::Peer { from, messages } => {
                self.links.peers.heard(from);
                self.coordinator.handle_messages(now, wall, from, messages);
            }
            Event::ConnectionRefused(address) => {
                self.coordinator.handle_connection_refused(now, address)
            }
            Event::Persisted(ticket) => self.coordinator.handle_persisted(now, wall, ticket),
            Event::Request { what, answer } => {
                self.next_request += 1;
                self.answers.insert(self.next_request, answer);
                self.coordinator.request(now, wall, self.next_request, what);
            }
            Event::Worker {
                service,
                token,
                call,
                reply,
            } => {
                self.coordinator
                    .handle_worker_reply(now, &service, token, call, reply);
            }
            Event::Platform { call, reply } => {
                self.coordinator.handle_platform_reply(now, call, reply)
            }
        }
    }

    /// Does what the events have brought up, until nothing more comes up.
    fn finish(&mut self, events: &UnboundedSender<Event>) {
        loop {
            for output in self.coordinator.poll_outputs() {
                self.perform(output, events);
            }
            let to_self = std::mem::take(&mut self.to_self);
            if to_self.is_empty() {
                return;
            }
            let (now, wall) = (self.clock.now(), self.clock.wall());
            self.coordinator
                .handle_messages(now, wall, self.own, to_self);
        }
    }

    fn perform(&mut self, output: Output, events: &UnboundedSender<Event>) {
        match output {
            Output::Control(output) => self.perform_control(output),
            Output::Answer { request, answer } => {
                if let Some(waiting) = self.answers.remove(&request) {
                    let _ = waiting.send(answer);
                }
            }
            Output::CallWorker {
                service,
                token,
                call,
            } => {
                let (workers, events) = (self.links.workers.clone(), events.clone());
                tokio::spawn(async move {
                    let id = call.id;
                    let reply = worker_client::call(workers, call).await;
                    let _ = events.send(Event::Worker {
                        service,
                        token,
                        call: id,
                        reply,
                    });
                });
            }
            Output::ListWorkers { call, page } => {
                let (client, events) = (self.links.client.clone(), events.clone());
                let Some(address) = self.links.platform else {
                    return;
                };
                tokio::spawn(async move {
                    let reply = platform_client::list(client, address, page).await;
                    let _ = events.send(Event::Platform { call, reply });
                });
            }
        }
    }

    fn perform_control(&mut self, output: ControlOutput) {
        match output {
            ControlOutput::Send { to, message } if to == self.own.member.address => {
                self.to_self.push(message)
            }
            ControlOutput::Send { to, message } => self.links.peers.send(to, message),
            ControlOutput::Persist { ticket, records } => {
                self.hand_to_disk(DiskWork::Records { ticket, records });
            }
            ControlOutput::Checkpoint { ticket, snapshot } => {
                self.hand_to_disk(DiskWork::Checkpoint { ticket, snapshot });
            }
            ControlOutput::Log(line) => log::info!("{line}"),
        }
    }

    fn hand_to_disk(&self, work: DiskWork) {
        if self.links.disk.send(work).is_err() {
            log::error!("the disk's thread has ended");
        }
    }
}
