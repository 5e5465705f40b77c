//! A simulated network of replicas in one process, with delay, loss, duplicated and late datagrams, partitions, pauses
//! and restarts, on simulated time and with a seed.
#![allow(dead_code)]
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use balancer_gossip::{
    Config, Member, Millis, Observations, Peers, TierState, VersionRange, SUPPORTED_VERSIONS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The faults of the network, applied to each datagram.
#[derive(Clone, Copy)]
pub(crate) struct Net {
    pub loss: f64,
    pub delay: (Millis, Millis),
    pub repeat: f64,
    /// The share of datagrams that are late, and the maximum additional delay.
    pub late: (f64, Millis),
}

pub(crate) const LOSSLESS: Net = Net {
    loss: 0.0,
    delay: (0.2, 2.0),
    repeat: 0.0,
    late: (0.0, 0.0),
};
pub(crate) const LOSSY: Net = Net {
    loss: 0.1,
    delay: (0.2, 5.0),
    repeat: 0.02,
    late: (0.002, 4_000.0),
};

pub(crate) struct Node {
    pub position: u16,
    pub peers: Option<Peers>,
    pub paused_until: Millis,
    pub skew: Millis,
    inbox: Vec<(u16, Vec<u8>)>,
    timer: Millis,
}

enum Event {
    Deliver { to: u16, from: u16, bytes: Vec<u8> },
    Timer(usize),
}

pub(crate) struct Sim {
    pub now: Millis,
    pub net: Net,
    pub nodes: Vec<Node>,
    pub rng: Pcg64Mcg,
    /// Whether all datagrams from one position to another are lost.
    pub is_partitioned: Box<dyn Fn(u16, u16) -> bool>,
    candidates: u16,
    tenants: u16,
    seed: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: std::collections::HashMap<u64, Event>,
    count: u64,
    /// The length of the longest datagram sent.
    pub longest: usize,
    /// Whether sent datagrams are added to `recorded`.
    pub is_recording: bool,
    /// Recorded datagrams with their sender and receiver, to be replayed.
    pub recorded: Vec<(u16, u16, Vec<u8>)>,
}

impl Sim {
    pub(crate) fn new(candidates: u16, tenants: u16, net: Net, seed: u64) -> Sim {
        Sim {
            now: 0.0,
            net,
            nodes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            is_partitioned: Box::new(|_, _| false),
            candidates,
            tenants,
            seed,
            events: BinaryHeap::new(),
            pending: Default::default(),
            count: 0,
            longest: 0,
            is_recording: false,
            recorded: Vec::new(),
        }
    }

    /// Starts a replica at each of `n` positions at once, and runs them for 20 s so that they know each other.
    pub(crate) fn tier(n: u16, tenants: u16, net: Net, seed: u64) -> Sim {
        let mut sim = Sim::new(n, tenants, net, seed);
        for position in 0..n {
            sim.start(position, 1_000, SUPPORTED_VERSIONS);
        }
        sim.run(20_000.0);
        sim
    }

    /// Starts a replica; returns its index in [`Sim::nodes`].
    pub(crate) fn start(
        &mut self,
        position: u16,
        incarnation: u64,
        supported_versions: VersionRange,
    ) -> usize {
        let skew = self.rng.gen_range(0.0..3_600_000.0);
        let node = self.node(position, incarnation, supported_versions, skew);
        self.nodes.push(node);
        let at = self.nodes.len() - 1;
        self.flush(at);
        at
    }

    /// Replaces a running or killed replica by a new one without state.
    pub(crate) fn restart(&mut self, at: usize, incarnation: u64) {
        let (position, skew) = (
            self.nodes[at].position,
            self.rng.gen_range(0.0..3_600_000.0),
        );
        self.nodes[at] = self.node(position, incarnation, SUPPORTED_VERSIONS, skew);
        self.flush(at);
    }

    fn node(
        &mut self,
        position: u16,
        incarnation: u64,
        supported_versions: VersionRange,
        skew: Millis,
    ) -> Node {
        let config = Config {
            own: Member(position),
            candidates: self.candidates,
            incarnation,
            seed: self.seed ^ self.rng.gen::<u64>(),
            zone: position % 3,
            tenants: self.tenants,
            deployment: 7,
            supported_versions,
        };
        let peers = Peers::new(config, self.now + skew).expect("a valid configuration");
        Node {
            position,
            peers: Some(peers),
            paused_until: 0.0,
            skew,
            inbox: Vec::new(),
            timer: f64::INFINITY,
        }
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].peers = None;
    }

    pub(crate) fn pause(&mut self, at: usize, span: Millis) {
        self.nodes[at].paused_until = self.now + span;
        self.schedule(self.now + span, Event::Timer(at));
    }

    pub(crate) fn with<T>(&mut self, at: usize, action: impl FnOnce(&mut Peers, Millis) -> T) -> T {
        let now = self.now + self.nodes[at].skew;
        let result = action(
            self.nodes[at].peers.as_mut().expect("a running replica"),
            now,
        );
        self.flush(at);
        result
    }

    pub(crate) fn tier_state(&mut self, at: usize) -> TierState {
        self.with(at, |peers, now| peers.tier_state(now))
    }

    pub(crate) fn observe(&mut self, at: usize, own: Observations) {
        self.with(at, |peers, now| peers.handle_observation(now, own));
    }

    pub(crate) fn alive(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].peers.is_some())
            .collect()
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.pending.insert(self.count, event);
        self.events
            .push(Reverse(((at * 1_000.0) as u64, self.count)));
    }

    /// Sends the pending datagrams of a replica, and schedules its next timeout.
    fn flush(&mut self, at: usize) {
        let position = self.nodes[at].position;
        while let Some(transmit) = self.nodes[at].peers.as_mut().and_then(Peers::poll_transmit) {
            self.longest = self.longest.max(transmit.bytes.len());
            if self.is_recording {
                self.recorded
                    .push((position, transmit.to.0, transmit.bytes.clone()));
            }
            self.send(position, transmit.to.0, transmit.bytes);
        }
        let node = &self.nodes[at];
        let deadline = node
            .peers
            .as_ref()
            .and_then(Peers::next_timeout)
            .map(|deadline| deadline - node.skew);
        let deadline = deadline.map(|deadline| deadline.max(self.now).max(node.paused_until));
        if let Some(deadline) =
            deadline.filter(|deadline| *deadline < node.timer - 0.001 || node.timer < self.now)
        {
            self.nodes[at].timer = deadline;
            self.schedule(deadline, Event::Timer(at));
        }
    }

    pub(crate) fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        let deliveries = if self.rng.gen_bool(self.net.repeat) {
            2
        } else {
            1
        };
        for _ in 0..deliveries {
            if (self.is_partitioned)(from, to) || self.rng.gen_bool(self.net.loss) {
                continue;
            }
            let mut delay = self.rng.gen_range(self.net.delay.0..self.net.delay.1);
            if self.rng.gen_bool(self.net.late.0) {
                delay += self.rng.gen_range(0.0..self.net.late.1);
            }
            self.schedule(
                self.now + delay,
                Event::Deliver {
                    to,
                    from,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(Reverse((at, count))) = self.events.peek().copied() {
            let at = at as f64 / 1_000.0;
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            match self.pending.remove(&count) {
                Some(Event::Timer(at)) => self.handle_timer(at),
                Some(Event::Deliver { to, from, bytes }) => self.deliver(to, from, bytes),
                None => {}
            }
        }
        self.now = end;
    }

    fn handle_timer(&mut self, at: usize) {
        let now = self.now;
        if self.nodes[at].timer <= now + 0.002 {
            self.nodes[at].timer = f64::INFINITY;
        }
        if now < self.nodes[at].paused_until {
            return;
        }
        let (skew, inbox) = (
            self.nodes[at].skew,
            std::mem::take(&mut self.nodes[at].inbox),
        );
        if let Some(peers) = self.nodes[at].peers.as_mut() {
            for (from, bytes) in inbox {
                peers.handle_datagram(now + skew, Member(from), &bytes);
            }
            if peers
                .next_timeout()
                .is_some_and(|deadline| deadline - skew <= now + 0.002)
            {
                peers.on_timeout(now + skew + 0.002);
            }
            self.flush(at);
        }
    }

    fn deliver(&mut self, to: u16, from: u16, bytes: Vec<u8>) {
        let mut receivers: Vec<usize> = self.alive();
        receivers.retain(|at| self.nodes[*at].position == to);
        if receivers.is_empty() {
            return;
        }
        // With two replicas at one position, a random one receives the datagram.
        let at = receivers[self.rng.gen_range(0..receivers.len())];
        let (now, node) = (self.now, &mut self.nodes[at]);
        if now < node.paused_until {
            if node.inbox.len() < 200 {
                node.inbox.push((from, bytes));
            }
            return;
        }
        if let Some(peers) = node.peers.as_mut() {
            peers.handle_datagram(now + node.skew, Member(from), &bytes);
        }
        self.flush(at);
    }
}
