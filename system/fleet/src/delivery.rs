//! Delivers what happens to the coordinators, and does what they want done.
use crate::{
    disk::Work as DiskWork,
    events::{Caller, Event},
    fleet::{Fleet, STEP_MS},
};
use magpiegap_control::Output as ControlOutput;
use magpiegap_coordinator::{Coordinator, Output, PlatformReply};
use magpiegap_protocol::{PeerMessage, WallMillis};
use rand::Rng;

/// Time between two ticks of a coordinator.
const TICK_MS: u64 = 20;
/// A longer message can't be written in time, in bytes.
const MOST_MESSAGE: usize = 4 << 20;
/// Time that a disk takes for a sync.
const SYNC_MS: u64 = 10;

impl Fleet {
    pub(crate) fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    pub(crate) fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.happen(event);
        }
    }

    pub(crate) fn happen(&mut self, event: Event) {
        match event {
            Event::Peer { to, from, message } => {
                if self.postponed(to, None) {
                    self.schedule(STEP_MS, Event::Peer { to, from, message });
                    return;
                }
                self.with_node(to, None, |coordinator, now, wall| {
                    coordinator.handle_messages(now, WallMillis(wall), from, vec![message]);
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
                    coordinator.handle_persisted(now, WallMillis(wall), ticket)
                });
            }
            Event::Order { worker, from, call } => self.order(worker, from, call),
            Event::Waiting {
                worker,
                from,
                call,
                until,
            } => self.wait_on(worker, from, call, until),
            Event::Reply { to, call, reply } => {
                if self.postponed(to.node, Some(to.life)) {
                    self.schedule(STEP_MS, Event::Reply { to, call, reply });
                    return;
                }
                self.with_node(to.node, Some(to.life), |coordinator, now, _| {
                    coordinator.handle_worker_reply(now, &to.service, to.token, call, reply);
                });
            }
            Event::Platform { node, life, call } => {
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
                self.with_node(node, Some(life), |coordinator, now, _| {
                    coordinator.handle_platform_reply(now, call, reply)
                });
            }
            Event::Restore(what) => self.restore(what),
        }
    }

    /// Whether a node stands still, so that what is meant for it waits.
    pub(crate) fn postponed(&self, node: usize, life: Option<u64>) -> bool {
        let node = &self.nodes[node];
        node.coordinator.is_some()
            && !node.runs(self.now)
            && life.is_none_or(|life| life == node.life)
    }

    pub(crate) fn with_node(
        &mut self,
        number: usize,
        life: Option<u64>,
        step: impl FnOnce(&mut Coordinator, u64, u64),
    ) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if !node.runs(now) || life.is_some_and(|life| life != node.life) {
            return;
        }
        let (steady, wall) = (node.steady(now), node.wall(now));
        if let Some(coordinator) = node.coordinator.as_mut() {
            step(coordinator, steady, wall);
        }
        if now >= self.nodes[number].followed_up + self.settings.follow_up_ms {
            self.nodes[number].followed_up = now;
            self.perform(number);
        }
    }

    pub(crate) fn tick_nodes(&mut self) {
        if self.now % TICK_MS >= STEP_MS {
            return;
        }
        for number in 0..self.nodes.len() {
            self.with_node(number, None, |coordinator, now, wall| {
                coordinator.on_timeout(now, WallMillis(wall))
            });
        }
    }

    /// Does what a coordinator wants done.
    pub(crate) fn perform(&mut self, number: usize) {
        loop {
            let Some(coordinator) = self.nodes[number].coordinator.as_mut() else {
                return;
            };
            let outputs = coordinator.poll_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform_one(number, output);
            }
        }
    }

    pub(crate) fn perform_one(&mut self, number: usize, output: Output) {
        let life = self.nodes[number].life;
        match output {
            Output::Control(output) => self.perform_control(number, output),
            Output::Answer { request, answer } => self.answered(number, life, request, &answer),
            Output::CallWorker {
                service,
                token,
                call,
            } => {
                self.call_worker(
                    Caller {
                        node: number,
                        life,
                        service,
                        token,
                    },
                    call,
                );
            }
            Output::ListWorkers { call, .. } => self.schedule(
                800,
                Event::Platform {
                    node: number,
                    life,
                    call,
                },
            ),
        }
    }

    fn perform_control(&mut self, number: usize, output: ControlOutput) {
        let life = self.nodes[number].life;
        match output {
            ControlOutput::Send { to, message } => self.send(number, to, message),
            ControlOutput::Persist { ticket, records } => {
                self.nodes[number]
                    .disk
                    .write(ticket, DiskWork::Records(records));
                let sync_ms = self.slow_disks.get(&number).copied().unwrap_or(SYNC_MS);
                self.schedule(
                    sync_ms,
                    Event::Synced {
                        node: number,
                        life,
                        ticket,
                    },
                );
            }
            ControlOutput::Checkpoint { ticket, snapshot } => {
                self.nodes[number]
                    .disk
                    .write(ticket, DiskWork::Checkpoint(snapshot));
                let sync_ms = self.slow_disks.get(&number).copied().unwrap_or(SYNC_MS);
                self.schedule(
                    3 * sync_ms,
                    Event::Synced {
                        node: number,
                        life,
                        ticket,
                    },
                );
            }
            ControlOutput::Log(_) => {}
        }
    }

    pub(crate) fn send(&mut self, number: usize, to: u32, message: PeerMessage) {
        let Some(target) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        let is_lost = self.cuts.contains(&(number, target)) || self.random.gen_bool(0.002);
        if is_lost || message.estimated_bytes() > MOST_MESSAGE {
            return;
        }
        let Some(coordinator) = self.nodes[number].coordinator.as_ref() else {
            return;
        };
        let from = coordinator.replica().own();
        let delay = if target == number {
            0
        } else {
            self.random.gen_range(1..8)
        };
        self.schedule(
            delay,
            Event::Peer {
                to: target,
                from,
                message,
            },
        );
    }
}
