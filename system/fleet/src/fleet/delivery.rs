//! Delivers events to the coordinators, and performs their outputs.
use super::{Fleet, STEP_MS};
use crate::{
    active_faults::Link,
    disk::WriteContent,
    events::{Caller, Event, ProcessId},
};
use magpiegap_control::Output as ControlOutput;
use magpiegap_coordinator::{Coordinator, Output, PlatformReply};
use magpiegap_protocol::{PeerMessage, ReplicaId, WallMillis};
use magpiegap_scheduler::WorkerReply;
use rand::Rng;

/// Interval between coordinator ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// Maximum size of a peer message, in bytes; larger messages would miss the write timeout and are dropped.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Probability that a peer message is lost.
const MESSAGE_LOSS: f64 = 0.002;
/// Duration of a checkpoint write, as a multiple of a sync.
const CHECKPOINT_SYNCS: u64 = 3;
/// Response time of the platform, in milliseconds.
const PLATFORM_REPLY_MS: u64 = 800;

impl Fleet {
    pub(super) fn handle_due_events(&mut self) {
        while let Some(event) = self.events.pop_due(self.now) {
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::PeerMessage { to, from, message } => self.handle_peer_message(to, from, message),
            Event::Synced { process, ticket } => self.handle_synced(process, ticket),
            Event::WorkerCall {
                worker,
                caller,
                call,
            } => self.handle_worker_call(worker, caller, call),
            Event::LongPoll {
                worker,
                caller,
                call,
                until,
            } => self.handle_long_poll(worker, caller, call, until),
            Event::WorkerReply {
                caller,
                call,
                reply,
            } => self.handle_worker_reply(caller, call, reply),
            Event::PlatformReply { process, call } => self.handle_platform_reply(process, call),
            Event::Restore(target) => self.restore(target),
        }
    }

    fn handle_peer_message(&mut self, to: usize, from: ReplicaId, message: PeerMessage) {
        if self.nodes[to].is_frozen(self.now) {
            self.schedule(STEP_MS, Event::PeerMessage { to, from, message });
            return;
        }
        self.with_coordinator(to, |coordinator, now, wall| {
            coordinator.handle_messages(now, wall, from, vec![message]);
        });
    }

    fn handle_synced(&mut self, process: ProcessId, ticket: u64) {
        let node = &mut self.nodes[process.node];
        if node.is_current(process) {
            node.disk.sync(ticket);
        }
        if self.is_process_frozen(process) {
            self.schedule(STEP_MS, Event::Synced { process, ticket });
            return;
        }
        self.with_process(process, |coordinator, now, wall| {
            coordinator.handle_persisted(now, wall, ticket);
        });
    }

    fn handle_worker_reply(&mut self, caller: Caller, call: u64, reply: WorkerReply) {
        if self.is_process_frozen(caller.process) {
            let event = Event::WorkerReply {
                caller,
                call,
                reply,
            };
            self.schedule(STEP_MS, event);
            return;
        }
        self.with_process(caller.process, |coordinator, now, _| {
            coordinator.handle_worker_reply(now, &caller.service, caller.token, call, reply);
        });
    }

    fn handle_platform_reply(&mut self, process: ProcessId, call: u64) {
        let workers = self
            .workers
            .iter()
            .flatten()
            .map(|worker| worker.entry.clone())
            .collect();
        let reply = PlatformReply::Page {
            workers,
            next: None,
        };
        self.with_process(process, |coordinator, now, _| {
            coordinator.handle_platform_reply(now, call, reply);
        });
    }

    /// Whether a process is current and frozen, so that its inputs must be delayed.
    fn is_process_frozen(&self, process: ProcessId) -> bool {
        let node = &self.nodes[process.node];
        node.is_frozen(self.now) && node.is_current(process)
    }

    /// Passes an input to a process, unless the process has ended or is frozen.
    fn with_process(
        &mut self,
        process: ProcessId,
        input: impl FnOnce(&mut Coordinator, u64, WallMillis),
    ) {
        if self.nodes[process.node].is_current(process) {
            self.with_coordinator(process.node, input);
        }
    }

    /// Passes an input to a node's coordinator, with the node's monotonic and wall clocks, and performs the outputs.
    /// The input is lost if the node is not running or is frozen.
    pub(super) fn with_coordinator(
        &mut self,
        number: usize,
        input: impl FnOnce(&mut Coordinator, u64, WallMillis),
    ) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.is_running(now) {
            return;
        }
        let monotonic_ms = node.monotonic_ms(now);
        let wall = node.wall(now);
        if let Some(coordinator) = node.coordinator.as_mut() {
            input(coordinator, monotonic_ms, wall);
        }
        if now >= node.last_output_at + self.settings.output_interval_ms {
            node.last_output_at = now;
            self.perform_outputs(number);
        }
    }

    pub(super) fn tick_coordinators(&mut self) {
        if self.now % TICK_INTERVAL_MS >= STEP_MS {
            return;
        }
        for number in 0..self.nodes.len() {
            self.with_coordinator(number, |coordinator, now, wall| {
                coordinator.on_timeout(now, wall);
            });
        }
    }

    /// Performs the outputs of a coordinator until none are left.
    pub(super) fn perform_outputs(&mut self, number: usize) {
        loop {
            let Some(coordinator) = self.nodes[number].coordinator.as_mut() else {
                return;
            };
            let outputs = coordinator.poll_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform_output(number, output);
            }
        }
    }

    fn perform_output(&mut self, number: usize, output: Output) {
        let process = self.process(number);
        match output {
            Output::Control(output) => self.perform_control(process, output),
            Output::Respond { request, response } => {
                self.handle_response(process, request, &response)
            }
            Output::CallWorker {
                service,
                token,
                call,
            } => {
                let caller = Caller {
                    process,
                    service,
                    token,
                };
                self.call_worker(caller, call);
            }
            Output::ListWorkers { call, .. } => {
                self.schedule(PLATFORM_REPLY_MS, Event::PlatformReply { process, call });
            }
        }
    }

    fn perform_control(&mut self, process: ProcessId, output: ControlOutput) {
        let sync_ms = self.active_faults.sync_ms(process.node);
        match output {
            ControlOutput::Send { to, message } => self.send_to_peer(process.node, to, message),
            ControlOutput::Persist { ticket, records } => {
                self.write(process, ticket, WriteContent::Records(records), sync_ms);
            }
            ControlOutput::Checkpoint { ticket, snapshot } => {
                let content = WriteContent::Checkpoint(snapshot);
                self.write(process, ticket, content, CHECKPOINT_SYNCS * sync_ms);
            }
            ControlOutput::DiskSuperseded => self.wipe_stale_disk(process.node),
            ControlOutput::Log(_) => {}
        }
    }

    /// Writes to a process's disk; the write is synced after `after_ms` milliseconds.
    fn write(&mut self, process: ProcessId, ticket: u64, content: WriteContent, after_ms: u64) {
        self.nodes[process.node].disk.write(ticket, content);
        self.schedule(after_ms, Event::Synced { process, ticket });
    }

    fn send_to_peer(&mut self, number: usize, to: u32, message: PeerMessage) {
        let Some(target) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        let link = Link {
            from: number,
            to: target,
        };
        let is_lost = self.active_faults.is_partitioned(link) || self.random.gen_bool(MESSAGE_LOSS);
        if is_lost || message.estimated_bytes() > MAX_MESSAGE_BYTES {
            return;
        }
        let Some(coordinator) = self.nodes[number].coordinator.as_ref() else {
            return;
        };
        let from = coordinator.replica().own();
        let delay_ms = if target == number {
            0
        } else {
            self.random.gen_range(1..8)
        };
        let event = Event::PeerMessage {
            to: target,
            from,
            message,
        };
        self.schedule(delay_ms, event);
    }
}
