//! An upstream and its pool of idle connections. Owns the idle connections.
use super::connection::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a response before its connection is reused. A faulty upstream may send a second response some
/// milliseconds after the first, which would be taken for the response to the next request. On an idle connection it
/// makes the connection unusable instead.
const REUSE_DELAY: Duration = Duration::from_millis(10);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// A pooled connection taken for its next request.
pub(super) struct ReusedConnection {
    /// The connection.
    pub connection: Connection,
    /// When it may carry the next request.
    pub ready_at: Instant,
}

/// An upstream and its idle connections.
pub(crate) struct Upstream {
    /// The name of the upstream in discovery.
    pub name: String,
    /// The index of its zone.
    pub zone: u16,
    /// The address of the upstream.
    pub addr: Cell<SocketAddr>,
    /// Whether the upstream is draining or removed. Nothing more may be written to it, including attempts decided
    /// earlier: the list may have counted as delivered some time before it is read here, so a grace period from now on
    /// could end too late.
    pub is_closed: Cell<bool>,
    idle: RefCell<Vec<Idle>>,
}

impl Upstream {
    /// Creates an upstream without connections.
    pub(crate) fn new(name: String, zone: u16, addr: SocketAddr) -> Rc<Upstream> {
        Rc::new(Upstream {
            name,
            zone,
            addr: Cell::new(addr),
            is_closed: Cell::new(false),
            idle: RefCell::default(),
        })
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for `idle_timeout` and those that the upstream closed.
    pub(crate) fn sweep(&self, now: Instant, idle_timeout: Duration) {
        self.idle
            .borrow_mut()
            .retain(|idle| !idle.connection.sender.is_closed() && now - idle.since < idle_timeout);
    }

    /// Returns since when the longest idle connection has been idle.
    pub(crate) fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the longest idle connection.
    pub(crate) fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Returns a connection to the pool after its response has been read completely, unless the upstream is closed.
    pub(super) fn put_back(&self, connection: Connection) {
        if !self.is_closed.get() {
            self.idle.borrow_mut().push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Takes an idle connection: the most recently used one that may carry a request now, so that the others reach
    /// their idle timeout; if there is none, the one that may be reused next.
    pub(super) fn take(&self, idle_timeout: Duration) -> Option<ReusedConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.connection.sender.is_ready() && now - idle.since < idle_timeout);
        let ready = idle
            .iter()
            .rposition(|idle| idle.since + REUSE_DELAY <= now);
        let position = ready.or((!idle.is_empty()).then_some(0))?;
        let Idle { connection, since } = idle.remove(position);
        Some(ReusedConnection {
            connection,
            ready_at: since + REUSE_DELAY,
        })
    }
}
