//! Connection slots for clients: who gets one, and which connection is evicted for it. Owns no state beyond the idle
//! connections and the counts that it is given.
use super::idle::IdleConnections;
use crate::connection_counts::ConnectionCounts;
use crate::driver::Handle;
use crate::sockets::{ClientSlot, Sockets};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// While all client connections are busy, the next attempt to evict one comes after this.
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
    /// Creates slots from what `sockets` leaves; where that is not enough, idle upstream connections of `driver` are
    /// closed for them.
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

    /// Evicts a connection between requests and returns whether there was any.
    pub(super) fn evict_one(&self) -> bool {
        let counts = self.connection_counts.by_tenant();
        self.idle
            .evict_one(&counts, |eligible| self.driver.tenant_to_evict(eligible))
    }

    /// Waits for a slot for one more client. Guards against idle connections that clients keep open and that shut others
    /// out: what is written to a connection that waits to be accepted counts as received, so an idle one is evicted.
    pub(super) async fn acquire(&self) -> Option<ClientSlot> {
        loop {
            if let Some(slot) = self.sockets.try_acquire_client() {
                return Some(slot);
            }
            if !self.evict_one() && self.sockets.is_exhausted() {
                self.driver.free_socket();
            }
            // Whoever closes returns its slot; while all are busy, try again a little later.
            let acquired = self.sockets.acquire_client();
            if let Ok(slot) = timeout(EVICTION_RETRY_INTERVAL, acquired).await {
                return slot;
            }
        }
    }

    /// Whether one more client may connect now.
    pub(super) fn has_free(&self) -> bool {
        self.sockets.try_acquire_client().is_some()
    }

    /// Waits until no client is connected.
    pub(super) async fn all_released(&self) {
        self.sockets.all_clients_released().await;
    }
}
