//! Connection slots for clients, and the eviction of connections to free one. Owns the set of idle connections and a
//! handle to the connection counts.
use super::idle::IdleConnections;
use crate::connection_counts::ConnectionCounts;
use crate::driver::Handle;
use crate::sockets::{ClientSlot, Sockets};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval between eviction attempts while all client connections are busy.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The clients' share of the socket budget.
pub(super) struct Slots {
    driver: Handle,
    sockets: Sockets,
    /// Connections by tenant.
    pub connection_counts: ConnectionCounts,
    /// Connections between requests.
    pub idle: IdleConnections,
}

impl Slots {
    /// Creates slots from the budget in `sockets`. When it is exhausted, idle upstream connections of `driver` are
    /// closed to free sockets.
    pub(super) fn new(
        driver: Handle,
        sockets: Sockets,
        connection_counts: ConnectionCounts,
    ) -> Rc<Slots> {
        Rc::new(Slots {
            driver,
            sockets,
            connection_counts,
            idle: IdleConnections::default(),
        })
    }

    /// Evicts an idle connection and returns whether there was one.
    pub(super) fn evict_one(&self) -> bool {
        let counts = self.connection_counts.by_tenant();
        self.idle
            .evict_one(&counts, |eligible| self.driver.tenant_to_evict(eligible))
    }

    /// Waits for a slot for one more client. Requests written to a connection in the backlog count as received, so an
    /// idle connection is evicted: clients that keep idle connections open must not block others.
    pub(super) async fn acquire(&self) -> Option<ClientSlot> {
        loop {
            if let Some(slot) = self.sockets.try_acquire_client() {
                return Some(slot);
            }
            if !self.evict_one() && self.sockets.is_exhausted() {
                self.driver.free_socket();
            }
            // A closed connection returns its slot. While all are busy, try to evict again after the interval.
            let acquired = self.sockets.acquire_client();
            if let Ok(slot) = timeout(EVICTION_RETRY_INTERVAL, acquired).await {
                return slot;
            }
        }
    }

    /// Whether a slot is available now.
    pub(super) fn has_free(&self) -> bool {
        self.sockets.try_acquire_client().is_some()
    }

    /// Waits until no client is connected.
    pub(super) async fn all_released(&self) {
        self.sockets.all_clients_released().await;
    }
}
