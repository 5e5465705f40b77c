//! One hollow member: the loop that the node runs around the protocol. Owns the protocol's state and the socket.
use balancer_gossip::{
    Config, ConfigError, Load, Member, Millis, Observations, Peers, Subject, TenantLoad,
};
use balancer_gossip::{MAX_DATAGRAM_LEN, SUPPORTED_VERSIONS};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

/// How often the node reads what the tier knows, and how often it tells what it observes.
const STATE_INTERVAL: Millis = 100.0;
const OBSERVE_EVERY: Millis = 200.0;
/// Datagrams taken at a time, and the node's pause between two turns.
const TAKEN_MOST: usize = 32;
const PAUSE: Duration = Duration::from_millis(1);
/// Incarnation of every hollow member: each starts once.
const INCARNATION: u64 = 1;

/// The addresses of a tier, the same for all members.
pub(super) struct Addresses {
    pub to: Vec<SocketAddr>,
    pub from: HashMap<SocketAddr, Member>,
}

/// Datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Datagrams {
    pub count: u64,
    pub bytes: u64,
}

impl Datagrams {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
    }
}

/// What a member counted and knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counted {
    pub sent: Datagrams,
    pub read: Datagrams,
    /// Sent to, and read from, the member that is watched.
    pub to_watched: Datagrams,
    pub from_watched: Datagrams,
    /// Datagrams that the socket did not take.
    pub unsent: u64,
    /// Members up, as last read.
    pub up: u32,
    /// Members whose metrics are in the sums; none without sums.
    pub summed: Option<u32>,
    /// Whether it knows of evidence of others.
    pub evidence: bool,
}

/// One member.
pub(super) struct Hollow {
    start: Instant,
    socket: UdpSocket,
    addresses: Rc<Addresses>,
    peers: RefCell<Peers>,
    tenants: u16,
    watched: Option<Member>,
    pub counted: Cell<Counted>,
    /// What it has evidence against.
    pub accuses: Cell<Option<Subject>>,
    pub stopped: Cell<bool>,
}

/// What all members of a tier are told alike.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shared {
    pub tenants: u16,
    pub zones: u16,
    pub deployment: u32,
    pub watched: Option<Member>,
}

impl Hollow {
    /// A member at its place that has heard nobody yet.
    pub(super) fn new(
        place: u16,
        socket: UdpSocket,
        addresses: Rc<Addresses>,
        shared: Shared,
    ) -> Result<Rc<Hollow>, ConfigError> {
        let config = Config {
            own: Member(place),
            candidates: u16::try_from(addresses.to.len()).unwrap_or(u16::MAX),
            incarnation: INCARNATION,
            seed: u64::from(place),
            zone: place % shared.zones.max(1),
            tenants: shared.tenants,
            deployment: shared.deployment,
            supported_versions: SUPPORTED_VERSIONS,
        };
        Ok(Rc::new(Hollow {
            start: Instant::now(),
            socket,
            addresses,
            peers: RefCell::new(Peers::new(config, 0.0)?),
            tenants: shared.tenants,
            watched: shared.watched,
            counted: Cell::default(),
            accuses: Cell::new(None),
            stopped: Cell::new(false),
        }))
    }

    /// Speaks with the others until it is stopped.
    pub(super) async fn run(self: Rc<Self>) {
        let (mut state_due_at, mut observe_at) = (STATE_INTERVAL, 0.0);
        while !self.stopped.get() {
            let more = self.take();
            let now = self.now();
            if now >= observe_at {
                observe_at = now + OBSERVE_EVERY;
                self.peers
                    .borrow_mut()
                    .handle_observation(now, self.observed());
            }
            if self
                .peers
                .borrow()
                .next_timeout()
                .is_some_and(|at| at <= now)
            {
                self.peers.borrow_mut().on_timeout(now);
            }
            self.send();
            if now >= state_due_at {
                state_due_at = now + STATE_INTERVAL;
                self.read_tier_state(now);
            }
            let due = self.peers.borrow().next_timeout().unwrap_or(f64::INFINITY);
            let due = due.min(state_due_at).min(observe_at);
            let wake = self.start + Duration::from_secs_f64(due.max(0.0) / 1000.0);
            let wake = wake.max(Instant::now() + PAUSE);
            tokio::select! {
                _ = self.socket.readable(), if !more => {}
                () = sleep_until(wake), if !more => {}
                () = tokio::time::sleep(PAUSE), if more => {}
            }
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Metrics of the size that a busy balancer tells.
    fn observed(&self) -> Observations {
        let tenant = |number: u16| TenantLoad {
            demand: f64::from(number % 7),
            calls: f64::from(number % 5),
            client_connections: f64::from(number % 3),
        };
        let tenants = (0..=self.tenants).map(tenant).collect();
        let load = Load {
            demand: 57.0,
            capacity: 100.0,
            first_attempts: 57.0,
            retries: 1.0,
            tenants,
        };
        Observations {
            load,
            against: self.accuses.get().into_iter().collect(),
            cleared: Vec::new(),
        }
    }

    /// Hands on what has come. Returns whether more may wait.
    fn take(&self) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        let mut counted = self.counted.get();
        let mut more = true;
        for _ in 0..TAKEN_MOST {
            let at = self.now();
            let Ok((length, from)) = self.socket.try_recv_from(&mut bytes) else {
                more = false;
                break;
            };
            let Some(&member) = self.addresses.from.get(&from) else {
                continue;
            };
            if length > MAX_DATAGRAM_LEN {
                continue;
            }
            counted.read.add(length);
            if self.watched == Some(member) {
                counted.from_watched.add(length);
            }
            self.peers
                .borrow_mut()
                .handle_datagram(at, member, &bytes[..length]);
        }
        self.counted.set(counted);
        more
    }

    fn send(&self) {
        let mut peers = self.peers.borrow_mut();
        let mut counted = self.counted.get();
        while let Some(datagram) = peers.poll_transmit() {
            let Some(to) = self.addresses.to.get(usize::from(datagram.to.0)) else {
                continue;
            };
            if self.socket.try_send_to(&datagram.bytes, *to).is_err() {
                counted.unsent += 1;
                continue;
            }
            counted.sent.add(datagram.bytes.len());
            if self.watched == Some(datagram.to) {
                counted.to_watched.add(datagram.bytes.len());
            }
        }
        while peers.poll_notification().is_some() {}
        self.counted.set(counted);
    }

    fn read_tier_state(&self, now: Millis) {
        let state = self.peers.borrow_mut().tier_state(now);
        let mut counted = self.counted.get();
        counted.up = state.up;
        counted.summed = state.sums.map(|sums| sums.heard);
        counted.evidence = !state.evidence.is_empty();
        self.counted.set(counted);
    }
}
