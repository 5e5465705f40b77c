//! Carries datagrams between balancers. Owns the cuts, and the conditions of the network.
use super::garbage::Garbage;
use crate::draw::Calls;
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

/// The longest datagram that the protocol allows, in bytes.
pub const LONGEST: usize = 256;
/// Host numbers of peers within the lab's block, and of all of them together.
const PEER: u16 = 0xc000;
const ALL: u16 = 0xcfff;
/// Of somebody who is nobody's peer.
const STRANGER: u16 = 0xcffe;

/// What happens to datagrams in transit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Time in transit.
    pub delay: Range,
    /// The part that is lost.
    pub loss: f64,
    /// The part that arrives twice.
    pub repeat: f64,
}

/// The network between balancers.
pub struct Datagrams {
    sockets: Vec<UdpSocket>,
    ports: Vec<u16>,
    /// Where each balancer listens for its peers.
    listen: Vec<SocketAddr>,
    /// The tier of each balancer: nobody receives those of another.
    tiers: Vec<usize>,
    /// First bytes of the lab's addresses.
    block: [u8; 2],
    cuts: Mutex<HashMap<(usize, usize), u32>>,
    conditions: Mutex<Conditions>,
    drawn: Mutex<Calls>,
    garbage: Mutex<Garbage>,
    sent: AtomicU64,
    bytes: AtomicU64,
}

fn socket() -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    // It takes whatever peer's address it is sent to, on this machine's loopback alone.
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.set_nonblocking(true)?;
    setsockopt(&socket, sockopt::Ipv4PacketInfo, &true)?;
    UdpSocket::from_std(socket.into())
}

impl Datagrams {
    /// A socket for each balancer, whose tiers these are, on the lab's block of addresses.
    ///
    /// # Errors
    /// What the operating system says when it has no such sockets.
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
            drawn: Mutex::new(Calls::new(seed)),
            garbage: Mutex::new(Garbage::new(seed)),
            sent: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        })
    }

    fn host(&self, host: u16) -> Ipv4Addr {
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(self.block[0], self.block[1], high, low)
    }

    /// Where a balancer reaches a peer.
    pub fn peer(&self, of: usize, peer: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.host(PEER + peer as u16)), self.ports[of])
    }

    /// Where it reaches all of its tier.
    pub fn all(&self, of: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.host(ALL)), self.ports[of])
    }

    /// Datagrams that balancers sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        )
    }

    /// Cuts what goes from one balancer to another. Cuts add up.
    pub fn cut(&self, from: usize, to: usize) {
        *lock(&self.cuts).entry((from, to)).or_default() += 1;
    }

    /// Takes one cut back.
    pub fn heal(&self, from: usize, to: usize) {
        if let Some(cuts) = lock(&self.cuts).get_mut(&(from, to)) {
            *cuts = cuts.saturating_sub(1);
        }
    }

    /// Changes the conditions.
    pub fn change(&self, how: impl FnOnce(&mut Conditions)) {
        how(&mut lock(&self.conditions));
    }

    /// Carries datagrams until `over` is set. `sees` is called for each that a balancer sends, too long ones included.
    pub fn start(
        self: &Arc<Self>,
        over: &watch::Sender<bool>,
        sees: impl Fn(usize, &[u8]) + Clone + Send + 'static,
    ) {
        for from in 0..self.sockets.len() {
            let (own, mut over, sees) = (self.clone(), over.subscribe(), sees.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = own.carry(from, sees) => {}
                    _ = over.wait_for(|over| *over) => {}
                }
            });
        }
    }

    /// Sends each balancer's port this many datagrams a second that nobody meant, until dropped.
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
                // Nobody may listen: it is lost then.
                let _ = self.deliver(from, to, &bytes);
            }
        }
    }

    async fn carry(self: Arc<Self>, from: usize, sees: impl Fn(usize, &[u8])) {
        let tier = self.tiers[from];
        let peers: Vec<usize> = (0..self.tiers.len())
            .filter(|&b| self.tiers[b] == tier)
            .collect();
        loop {
            let (named, bytes) = match self.next(from).await {
                Ok(next) => next,
                Err(e) => {
                    tracing::warn!("datagrams of balancer {from}: {e}");
                    continue;
                }
            };
            self.sent.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            sees(from, &bytes);
            if bytes.len() > LONGEST {
                continue;
            }
            lock(&self.garbage).sent(&bytes);
            let all = named == self.host(ALL);
            let meant = |p: &&usize| {
                if all {
                    **p != from
                } else {
                    self.host(PEER + **p as u16) == named
                }
            };
            for &to in peers.iter().filter(meant) {
                for delay in self.arrivals(from, to) {
                    let (own, bytes) = (self.clone(), bytes.clone());
                    tokio::spawn(async move {
                        crate::clock::pause(delay).await;
                        // Nobody may listen: datagrams to it are lost, as on any network.
                        let _ = own.deliver(Some(from), to, &bytes);
                    });
                }
            }
        }
    }

    /// The next datagram that a balancer sent: which host it named, and its bytes.
    pub async fn next(&self, of: usize) -> io::Result<(Ipv4Addr, Vec<u8>)> {
        let socket = &self.sockets[of];
        let read = || {
            // One byte more than is allowed shows that it is too long.
            let mut bytes = vec![0; LONGEST + 1];
            let mut space = nix::cmsg_space!(libc::in_pktinfo);
            let mut parts = [IoSliceMut::new(&mut bytes)];
            let got = recvmsg::<SockaddrIn>(
                socket.as_raw_fd(),
                &mut parts,
                Some(&mut space),
                MsgFlags::empty(),
            )?;
            let named = got.cmsgs()?.find_map(|c| match c {
                ControlMessageOwned::Ipv4PacketInfo(i) => {
                    Some(Ipv4Addr::from(u32::from_be(i.ipi_addr.s_addr)))
                }
                _ => None,
            });
            let length = got.bytes;
            bytes.truncate(length);
            Ok((named, bytes))
        };
        loop {
            if let (Some(named), bytes) = socket.async_io(Interest::READABLE, read).await? {
                return Ok((named, bytes));
            }
        }
    }

    /// Writes a datagram to a balancer, from the address by which it knows the sender.
    pub fn deliver(&self, from: Option<usize>, to: usize, bytes: &[u8]) -> io::Result<()> {
        let known = from.map_or(
            SocketAddr::new(IpAddr::V4(self.host(STRANGER)), 0),
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

    /// When copies of a datagram arrive: none, one, or two, each at its own time.
    pub fn arrivals(&self, from: usize, to: usize) -> Vec<Millis> {
        if lock(&self.cuts)
            .get(&(from, to))
            .is_some_and(|cuts| *cuts > 0)
        {
            return Vec::new();
        }
        let conditions = *lock(&self.conditions);
        let mut drawn = lock(&self.drawn);
        if drawn.chance(conditions.loss) {
            return Vec::new();
        }
        let copies = if drawn.chance(conditions.repeat) {
            2
        } else {
            1
        };
        let mut delay = || {
            conditions.delay.least + drawn.unit() * (conditions.delay.most - conditions.delay.least)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
