//! An upstream and the connections to it that carry nothing now. Owns these.
use super::connection::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An upstream may send a second answer some milliseconds after the first. It spoils a connection that carries nothing,
/// and would be taken for the answer of the next request that is written: none is until this long after an answer.
const SETTLE: Duration = Duration::from_millis(10);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// One upstream: where it is, and the connections to it that carry nothing now.
pub(crate) struct Upstream {
    /// Its name in discovery.
    pub name: String,
    /// Its zone, by position.
    pub zone: u16,
    /// Where it listens.
    pub addr: Cell<SocketAddr>,
    /// It drains or is gone: nothing more may be written to it, also of what was decided before. A list may have counted
    /// as told some time before it is read here, so that a grace from now on could end too late.
    pub closed: Cell<bool>,
    idle: RefCell<Vec<Idle>>,
}

impl Upstream {
    /// An upstream that nothing is connected to yet.
    pub(crate) fn new(name: String, zone: u16, addr: SocketAddr) -> Rc<Upstream> {
        let (addr, closed, idle) = (Cell::new(addr), Cell::new(false), RefCell::default());
        Rc::new(Upstream {
            name,
            zone,
            addr,
            closed,
            idle,
        })
    }

    /// Closes the connections that carry no call now.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for longer than `most`, and those the other side closed.
    pub(crate) fn sweep(&self, now: Instant, most: Duration) {
        self.idle
            .borrow_mut()
            .retain(|i| !i.connection.sender.is_closed() && now - i.since < most);
    }

    /// Since when the connection that was idle longest is idle.
    pub(crate) fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|i| i.since)
    }

    /// Closes the connection that was idle longest.
    pub(crate) fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Keeps a connection whose answer has been read whole, unless the upstream drains.
    pub(super) fn give_back(&self, connection: Connection) {
        if !self.closed.get() {
            self.idle.borrow_mut().push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// A connection and when it may carry its next request: the one used last of those that may now, as the others then
    /// go idle and close instead of all being kept warm by turns; else the one that may next.
    pub(super) fn take(&self, most: Duration) -> Option<(Connection, Instant)> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| i.connection.sender.is_ready() && now - i.since < most);
        let settled = idle.iter().rposition(|i| i.since + SETTLE <= now);
        let at = settled.or((!idle.is_empty()).then_some(0))?;
        let Idle { connection, since } = idle.remove(at);
        Some((connection, since + SETTLE))
    }
}
