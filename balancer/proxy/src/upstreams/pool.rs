//! An upstream and its idle connections. Owns these.
use super::connection::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An upstream may send a second response some milliseconds after the first. It spoils an idle connection, and would be
/// taken for the response of the next request that is written: none is until this long after a response.
const REUSE_DELAY: Duration = Duration::from_millis(10);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// A connection that is taken for its next request.
pub(super) struct ReusedConnection {
    /// The connection.
    pub connection: Connection,
    /// When it may carry the request.
    pub ready_at: Instant,
}

/// One upstream: where it is, and its idle connections.
pub(crate) struct Upstream {
    /// Its name in discovery.
    pub name: String,
    /// Its zone, by position.
    pub zone: u16,
    /// Where it listens.
    pub addr: Cell<SocketAddr>,
    /// It is draining or removed: nothing more may be written to it, also of what was decided before. A list may have
    /// counted as delivered some time before it is read here, so that a grace period from now on could end too late.
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

    /// Closes the connections that have been idle for `idle_timeout`, and those the other side closed.
    pub(crate) fn sweep(&self, now: Instant, idle_timeout: Duration) {
        self.idle
            .borrow_mut()
            .retain(|idle| !idle.connection.sender.is_closed() && now - idle.since < idle_timeout);
    }

    /// Returns since when the connection that was idle longest is idle.
    pub(crate) fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that was idle longest.
    pub(crate) fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Keeps a connection whose response has been read completely, unless the upstream is closed.
    pub(super) fn put_back(&self, connection: Connection) {
        if !self.is_closed.get() {
            self.idle.borrow_mut().push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Takes an idle connection: the one used last of those that may carry a request now, as the others then reach their
    /// timeout instead of all being used by turns; else the one that may next.
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
