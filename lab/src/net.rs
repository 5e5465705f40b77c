//! The lab's own network on loopback: addresses, ways that can be cut, and ports that refuse or stay silent.
//!
//! Every connection of a run has the lab at one end, so a cut is made there: the lab stops reading, writing and
//! accepting. No privilege is needed, and a balancer sees what it would see of a network that drops packets.
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The port that a lab holds on its block, so that another lab takes another one.
const CLAIM: u16 = 9999;
/// The second bytes of loopback addresses that labs use.
const BLOCKS: std::ops::Range<u8> = 16..240;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// The port on which balancers listen.
pub const LISTEN: u16 = 8443;
/// The first port on which discovery's agents listen.
pub const DISCOVERY: u16 = 8500;
/// Upstreams listen for each balancer at this port and its number.
pub const UPSTREAM: u16 = 10_000;
/// Balancers hear of each other at this port.
pub const PEERS: u16 = 7946;

/// 65,536 loopback addresses that this lab has for itself.
pub struct Block {
    second: u8,
    _claim: Socket,
}

impl Block {
    /// Takes a block that no other lab on this machine holds.
    pub fn claim() -> Result<Block, String> {
        let first = u32::from(std::process::id() as u16) % u32::from(BLOCKS.end - BLOCKS.start);
        for step in 0..u32::from(BLOCKS.end - BLOCKS.start) {
            let second = BLOCKS.start + ((first + step) % u32::from(BLOCKS.end - BLOCKS.start)) as u8;
            let socket =
                Socket::new(Domain::IPV4, Type::STREAM, None).map_err(|e| format!("a socket: {e}"))?;
            let at = SocketAddr::from((Ipv4Addr::new(127, second, 255, 254), CLAIM));
            if socket.bind(&at.into()).is_ok() {
                return Ok(Block { second, _claim: socket });
            }
        }
        Err("every block of loopback addresses is taken by another lab".into())
    }

    fn address(&self, host: u16, port: u16) -> SocketAddr {
        let [high, low] = host.to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second, high, low)), port)
    }

    /// The first two bytes of its addresses.
    pub fn prefix(&self) -> [u8; 2] {
        [127, self.second]
    }

    /// Where a balancer listens.
    pub fn balancer(&self, balancer: usize) -> SocketAddr {
        self.address(0x0100 + balancer as u16, LISTEN)
    }

    /// Where a balancer reaches an upstream.
    pub fn upstream(&self, upstream: usize, balancer: usize) -> SocketAddr {
        self.address(0x4000 + upstream as u16, UPSTREAM + balancer as u16)
    }

    /// Where a balancer reaches its discovery, after so many moves.
    pub fn agent(&self, balancer: usize, moves: u16) -> SocketAddr {
        self.address(0x8000 + balancer as u16, DISCOVERY + moves)
    }

    /// Where a balancer hears its peers.
    pub fn peer(&self, balancer: usize) -> SocketAddr {
        self.address(0x0100 + balancer as u16, PEERS)
    }
}

/// The way between one stand-in and one balancer.
pub struct Way {
    /// Cuts of what comes from the balancer, and of what goes to it.
    inward: AtomicU32,
    outward: AtomicU32,
    waiting: Mutex<Vec<Waker>>,
    /// Grows when all connections on this way are reset.
    resets: watch::Sender<u64>,
    /// Wakes ports when anything changes.
    changed: watch::Sender<u64>,
}

/// A direction, as the lab sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the balancer to the stand-in.
    Inward,
    /// From the stand-in to the balancer.
    Outward,
}

impl Way {
    /// A way that is open.
    pub fn open() -> Arc<Way> {
        Arc::new(Way {
            inward: AtomicU32::new(0),
            outward: AtomicU32::new(0),
            waiting: Mutex::default(),
            resets: watch::channel(0).0,
            changed: watch::channel(0).0,
        })
    }

    fn cuts(&self, direction: Direction) -> &AtomicU32 {
        match direction {
            Direction::Inward => &self.inward,
            Direction::Outward => &self.outward,
        }
    }

    /// Cuts a direction. Cuts add up: each is healed by itself.
    pub fn cut(&self, direction: Direction) {
        self.cuts(direction).fetch_add(1, Ordering::SeqCst);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Takes one cut back.
    pub fn heal(&self, direction: Direction) {
        // A heal without its cut would open what another fault holds shut.
        let _ = self.cuts(direction).fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        self.wake();
    }

    fn wake(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.into_iter().for_each(Waker::wake);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Resets all connections on it.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
        self.wake();
    }

    /// Whether a direction is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cuts(direction).load(Ordering::SeqCst) > 0
    }

    /// Whether nothing new comes up on it.
    pub fn is_silent(&self) -> bool {
        self.is_cut(Direction::Inward) || self.is_cut(Direction::Outward)
    }

    /// Tells of resets from now on.
    pub fn resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Tells of changes from now on.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn blocked(&self, direction: Direction, cx: &mut Context) -> bool {
        if !self.is_cut(direction) {
            return false;
        }
        lock(&self.waiting).push(cx.waker().clone());
        // Healed in between: nobody would wake us.
        self.is_cut(direction)
    }
}

/// A lock that a panic elsewhere does not spoil: what it guards stays usable figures.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A connection on a way: it neither reads nor writes while that is cut, and is reset where the way was.
pub struct Gate {
    stream: TcpStream,
    way: Arc<Way>,
    resets: u64,
}

impl Gate {
    /// Puts a connection on a way.
    pub fn new(stream: TcpStream, way: Arc<Way>) -> Gate {
        let resets = *way.resets.borrow();
        Gate { stream, way, resets }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        if *self.way.resets.borrow() != self.resets {
            // What fails here leaves an ordinary close.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Gate {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.way.blocked(Direction::Inward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.way.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.way.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Connects to a balancer on a way. While it is silent nothing comes up.
pub async fn connect(to: SocketAddr, way: &Arc<Way>) -> io::Result<Gate> {
    let mut changes = way.changes();
    while way.is_silent() {
        if changes.changed().await.is_err() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(Gate::new(stream, way.clone()))
}

/// What a port does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Takes them.
    Open,
    /// Refuses them, as a machine does on which nobody listens.
    Refusing,
    /// Lets them hang, as a network does that drops packets.
    Silent,
}

/// Listens at an address.
pub fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A listening address whose manner follows a watch.
pub struct Port {
    at: SocketAddr,
    listener: Option<TcpListener>,
    /// Own connections that fill the queue of those to be accepted, so that further ones hang.
    plugs: Vec<Socket>,
    manner: watch::Receiver<Manner>,
}

impl Port {
    /// Listens, or does not, as `manner` says now.
    pub fn bind(at: SocketAddr, manner: watch::Receiver<Manner>) -> io::Result<Port> {
        let mut port = Port { at, listener: None, plugs: Vec::new(), manner };
        let now = *port.manner.borrow_and_update();
        port.become_(now)?;
        Ok(port)
    }

    fn become_(&mut self, manner: Manner) -> io::Result<()> {
        if manner == Manner::Refusing {
            self.listener = None;
            self.plugs.clear();
            return Ok(());
        }
        if self.listener.is_none() {
            self.listener = Some(listener(self.at)?);
        }
        let Some(listener) = &self.listener else { return Ok(()) };
        match manner {
            Manner::Silent if self.plugs.is_empty() => {
                // The queue takes one more than its stated length; what comes after that is dropped unanswered.
                SockRef::from(listener).listen(0)?;
                for _ in 0..2 {
                    let plug = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                    plug.set_nonblocking(true)?;
                    // Under way is all that is asked of it.
                    let _ = plug.connect(&self.at.into());
                    self.plugs.push(plug);
                }
            }
            Manner::Open if !self.plugs.is_empty() => SockRef::from(listener).listen(BACKLOG)?,
            _ => {}
        }
        Ok(())
    }

    /// The next connection. It ends when the watch's other side is gone.
    pub async fn accept(&mut self) -> io::Result<Option<TcpStream>> {
        loop {
            let now = *self.manner.borrow_and_update();
            self.become_(now)?;
            let waits = async {
                match (&self.listener, now) {
                    (Some(listener), Manner::Open) => listener.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                changed = self.manner.changed() => {
                    if changed.is_err() {
                        return Ok(None);
                    }
                }
                accepted = waits => {
                    let (stream, from) = accepted?;
                    if self.is_plug(from) {
                        continue;
                    }
                    self.plugs.clear();
                    stream.set_nodelay(true)?;
                    return Ok(Some(stream));
                }
            }
        }
    }

    fn is_plug(&self, from: SocketAddr) -> bool {
        let own = |plug: &Socket| plug.local_addr().ok().and_then(|a| a.as_socket());
        self.plugs.iter().any(|plug| own(plug) == Some(from))
    }
}
