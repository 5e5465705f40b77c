//! Forwards datagrams between balancers. Owns the cuts and the network conditions.
use super::garbage::Garbage;
use crate::draw::Draws;
use crate::experiment::{Millis, Range};
use crate::net::{lock, Block};

use nix::libc;
use nix::sys::socket::{
    recvmsg, sendmsg, setsockopt, sockopt, ControlMessage, ControlMessageOwned, MsgFlags,
    SockaddrIn,
};
use std::collections::HashMap;
use std::io::{self, IoSlice, IoSliceMut};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// The maximum length of a datagram in the protocol, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The host number of the first peer within the lab's block.
const FIRST_PEER_HOST: u16 = 0xc000;
/// The host number that addresses all peers.
const ALL_PEERS_HOST: u16 = 0xcfff;
/// The host number of a sender that is not a peer.
const UNKNOWN_SENDER_HOST: u16 = 0xcffe;

/// What happens to datagrams in transit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// The one-way delay.
    pub delay: Range,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub repeat: f64,
}

/// The network between balancers.
pub struct Datagrams {
    sockets: Vec<UdpSocket>,
    ports: Vec<u16>,
    /// The address on which each balancer listens for its peers.
    listen: Vec<SocketAddr>,
    /// The tier of each balancer; datagrams are forwarded within a tier only.
    tiers: Vec<usize>,
    /// The first two bytes of the lab's addresses.
    block: [u8; 2],
    cuts: Mutex<HashMap<(usize, usize), u32>>,
    conditions: Mutex<Conditions>,
    draws: Mutex<Draws>,
    garbage: Mutex<Garbage>,
    sent: AtomicU64,
    bytes: AtomicU64,
}

fn socket() -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    // Receives datagrams to any peer address, on the loopback interface only.
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.set_nonblocking(true)?;
    setsockopt(&socket, sockopt::Ipv4PacketInfo, &true)?;
    UdpSocket::from_std(socket.into())
}

impl Datagrams {
    /// Opens a socket for each balancer, on the lab's block of addresses; `tiers` has the tier of each balancer.
    ///
    /// # Errors
    /// Returns the error of the operating system if a socket can't be opened.
    pub fn open(
        tiers: &[usize],
        block: &Block,
        conditions: Conditions,
        seed: u64,
    ) -> io::Result<Datagrams> {
        let sockets = tiers
            .iter()
            .map(|_| socket())
            .collect::<io::Result<Vec<_>>>()?;
        let ports = sockets
            .iter()
            .map(|s| s.local_addr().map(|a| a.port()))
            .collect::<io::Result<_>>()?;
        Ok(Datagrams {
            ports,
            sockets,
            listen: (0..tiers.len()).map(|b| block.peer(b)).collect(),
            tiers: tiers.to_vec(),
            block: block.prefix(),
            cuts: Mutex::default(),
            conditions: Mutex::new(conditions),
            draws: Mutex::new(Draws::new(seed)),
            garbage: Mutex::new(Garbage::new(seed)),
            sent: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        })
    }

    fn host(&self, host: u16) -> Ipv4Addr {
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(self.block[0], self.block[1], high, low)
    }

    /// The address at which a balancer reaches a peer.
    pub fn peer(&self, of: usize, peer: usize) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(self.host(FIRST_PEER_HOST + peer as u16)),
            self.ports[of],
        )
    }

    /// The address at which a balancer reaches all its peers.
    pub fn all(&self, of: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.host(ALL_PEERS_HOST)), self.ports[of])
    }

    /// The number of datagrams that balancers have sent, and their total size in bytes.
    pub fn sent(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        )
    }

    /// Cuts the path from one balancer to another. Cuts are counted.
    pub fn cut(&self, from: usize, to: usize) {
        *lock(&self.cuts).entry((from, to)).or_default() += 1;
    }

    /// Heals one cut.
    pub fn heal(&self, from: usize, to: usize) {
        if let Some(cuts) = lock(&self.cuts).get_mut(&(from, to)) {
            *cuts = cuts.saturating_sub(1);
        }
    }

    /// Changes the network conditions.
    pub fn change(&self, how: impl FnOnce(&mut Conditions)) {
        how(&mut lock(&self.conditions));
    }

    /// Forwards datagrams until `over` is set. `observe` is called for each datagram that a balancer sends, including
    /// those that are too long.
    pub fn start(
        self: &Arc<Self>,
        over: &watch::Sender<bool>,
        observe: impl Fn(usize, &[u8]) + Clone + Send + 'static,
    ) {
        for from in 0..self.sockets.len() {
            let (own, mut over, observe) = (self.clone(), over.subscribe(), observe.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = own.forward(from, observe) => {}
                    _ = over.wait_for(|over| *over) => {}
                }
            });
        }
    }

    /// Sends each balancer `rate` garbage datagrams per second, until dropped.
    pub async fn garbage(&self, rate: f64) {
        let mut every =
            tokio::time::interval(std::time::Duration::from_secs_f64(1.0 / rate.max(0.1)));
        loop {
            every.tick().await;
            for to in 0..self.sockets.len() {
                let tier: Vec<usize> = (0..self.tiers.len())
                    .filter(|&b| self.tiers[b] == self.tiers[to])
                    .collect();
                let (from, bytes) = lock(&self.garbage).next(&tier);
                // If the balancer does not listen, the datagram is lost.
                let _ = self.deliver(from, to, &bytes);
            }
        }
    }

    async fn forward(self: Arc<Self>, from: usize, observe: impl Fn(usize, &[u8])) {
        let tier = self.tiers[from];
        let peers: Vec<usize> = (0..self.tiers.len())
            .filter(|&b| self.tiers[b] == tier)
            .collect();
        loop {
            let (destination, bytes) = match self.next(from).await {
                Ok(next) => next,
                Err(e) => {
                    tracing::warn!("failed to receive a datagram of balancer {from}: {e}");
                    continue;
                }
            };
            self.sent.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            observe(from, &bytes);
            if bytes.len() > MAX_DATAGRAM_BYTES {
                continue;
            }
            lock(&self.garbage).record_sent(&bytes);
            let to_all = destination == self.host(ALL_PEERS_HOST);
            let is_recipient = |p: &&usize| {
                if to_all {
                    **p != from
                } else {
                    self.host(FIRST_PEER_HOST + **p as u16) == destination
                }
            };
            for &to in peers.iter().filter(is_recipient) {
                for delay in self.arrivals(from, to) {
                    let (own, bytes) = (self.clone(), bytes.clone());
                    tokio::spawn(async move {
                        crate::clock::pause(delay).await;
                        // If the balancer does not listen, the datagram is lost.
                        let _ = own.deliver(Some(from), to, &bytes);
                    });
                }
            }
        }
    }

    /// Receives the next datagram that a balancer sent: its destination host and its bytes.
    pub async fn next(&self, of: usize) -> io::Result<(Ipv4Addr, Vec<u8>)> {
        let socket = &self.sockets[of];
        let read = || {
            // The extra byte makes datagrams over the limit detectable.
            let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
            let mut space = nix::cmsg_space!(libc::in_pktinfo);
            let mut parts = [IoSliceMut::new(&mut bytes)];
            let got = recvmsg::<SockaddrIn>(
                socket.as_raw_fd(),
                &mut parts,
                Some(&mut space),
                MsgFlags::empty(),
            )?;
            let destination = got.cmsgs()?.find_map(|c| match c {
                ControlMessageOwned::Ipv4PacketInfo(i) => {
                    Some(Ipv4Addr::from(u32::from_be(i.ipi_addr.s_addr)))
                }
                _ => None,
            });
            let length = got.bytes;
            bytes.truncate(length);
            Ok((destination, bytes))
        };
        loop {
            if let (Some(destination), bytes) = socket.async_io(Interest::READABLE, read).await? {
                return Ok((destination, bytes));
            }
        }
    }

    /// Sends a datagram to a balancer, from the address by which it knows the sender; from an unknown address if `from`
    /// is `None`.
    pub fn deliver(&self, from: Option<usize>, to: usize, bytes: &[u8]) -> io::Result<()> {
        let known = from.map_or(
            SocketAddr::new(IpAddr::V4(self.host(UNKNOWN_SENDER_HOST)), 0),
            |from| self.peer(to, from),
        );
        let (SocketAddr::V4(known), SocketAddr::V4(at)) = (known, self.listen[to]) else {
            return Ok(());
        };
        let source = libc::in_addr {
            s_addr: u32::from(*known.ip()).to_be(),
        };
        let info = libc::in_pktinfo {
            ipi_ifindex: 0,
            ipi_spec_dst: source,
            ipi_addr: libc::in_addr { s_addr: 0 },
        };
        let fd = self.sockets[to].as_raw_fd();
        let to = SockaddrIn::from(at);
        sendmsg(
            fd,
            &[IoSlice::new(bytes)],
            &[ControlMessage::Ipv4PacketInfo(&info)],
            MsgFlags::empty(),
            Some(&to),
        )?;
        Ok(())
    }

    /// Draws the delays of the copies of a datagram: none, one or two.
    pub fn arrivals(&self, from: usize, to: usize) -> Vec<Millis> {
        if lock(&self.cuts)
            .get(&(from, to))
            .is_some_and(|cuts| *cuts > 0)
        {
            return Vec::new();
        }
        let conditions = *lock(&self.conditions);
        let mut draws = lock(&self.draws);
        if draws.chance(conditions.loss) {
            return Vec::new();
        }
        let copies = if draws.chance(conditions.repeat) {
            2
        } else {
            1
        };
        let mut delay = || {
            conditions.delay.least + draws.unit() * (conditions.delay.most - conditions.delay.least)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
