//! A hollow member: the same event loop that the node runs for the peer protocol. Owns the protocol state and the
//! socket.
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

/// How often the node reads the tier state.
const STATE_INTERVAL: Millis = 100.0;
/// How often the node passes its observations to the protocol.
const OBSERVATION_INTERVAL: Millis = 200.0;
/// Maximum number of datagrams received per iteration.
const MAX_BATCH: usize = 32;
/// The node's pause between iterations.
const ITERATION_PAUSE: Duration = Duration::from_millis(1);
/// Incarnation of every hollow member; each starts only once.
const INCARNATION: u64 = 1;

/// The addresses of a tier, shared by all members.
pub(super) struct Addresses {
    pub to: Vec<SocketAddr>,
    pub from: HashMap<SocketAddr, Member>,
}

/// Number of datagrams and bytes.
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

/// Counters of a member and its latest view of the tier.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub sent: Datagrams,
    pub read: Datagrams,
    /// Sent to the watched member.
    pub to_watched: Datagrams,
    /// Received from the watched member.
    pub from_watched: Datagrams,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Members that are up, as last read.
    pub up: u32,
    /// Members included in the load sums; none if there are no sums.
    pub summed: Option<u32>,
    /// Whether it knows evidence reported by other members.
    pub evidence: bool,
}

/// A hollow member.
pub(super) struct Hollow {
    start: Instant,
    socket: UdpSocket,
    addresses: Rc<Addresses>,
    peers: RefCell<Peers>,
    tenants: u16,
    watched: Option<Member>,
    pub counted: Cell<Counters>,
    /// The subject that it reports evidence against.
    pub evidence_against: Cell<Option<Subject>>,
    pub stopped: Cell<bool>,
}

/// Configuration shared by all members of a tier.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shared {
    pub tenants: u16,
    pub zones: u16,
    pub deployment: u32,
    pub watched: Option<Member>,
}

impl Hollow {
    /// Creates a member with the given index in the member list.
    pub(super) fn new(
        index: u16,
        socket: UdpSocket,
        addresses: Rc<Addresses>,
        shared: Shared,
    ) -> Result<Rc<Hollow>, ConfigError> {
        let config = Config {
            own: Member(index),
            candidates: u16::try_from(addresses.to.len()).unwrap_or(u16::MAX),
            incarnation: INCARNATION,
            seed: u64::from(index),
            zone: index % shared.zones.max(1),
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
            evidence_against: Cell::new(None),
            stopped: Cell::new(false),
        }))
    }

    /// Runs the protocol until the member is stopped.
    pub(super) async fn run(self: Rc<Self>) {
        let (mut state_due_at, mut observe_at) = (STATE_INTERVAL, 0.0);
        while !self.stopped.get() {
            let more = self.receive();
            let now = self.now();
            if now >= observe_at {
                observe_at = now + OBSERVATION_INTERVAL;
                self.peers
                    .borrow_mut()
                    .handle_observation(now, self.observations());
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
            let wake = wake.max(Instant::now() + ITERATION_PAUSE);
            tokio::select! {
                _ = self.socket.readable(), if !more => {}
                () = sleep_until(wake), if !more => {}
                () = tokio::time::sleep(ITERATION_PAUSE), if more => {}
            }
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns observations of the same size as those of a busy balancer.
    fn observations(&self) -> Observations {
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
            against: self.evidence_against.get().into_iter().collect(),
            cleared: Vec::new(),
        }
    }

    /// Passes received datagrams to the protocol. Returns whether more may be waiting.
    fn receive(&self) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        let mut counted = self.counted.get();
        let mut more = true;
        for _ in 0..MAX_BATCH {
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
