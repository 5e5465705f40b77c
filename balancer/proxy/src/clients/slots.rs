//! Slots for clients' connections: who gets one, and which of them makes way. Owns no state.
use super::idle::IdleConnections;
use crate::driver::Handle;
use crate::held::Held;
use crate::sockets::{ClientSlot, Sockets};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// While all clients' connections are busy, the next look for one that may be closed comes after this.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);

/// The clients' part of the sockets.
pub(super) struct Slots {
    driver: Handle,
    sockets: Sockets,
    /// Whose the connected ones are.
    pub held: Held,
    /// Those of them between requests.
    pub idle: IdleConnections,
}

impl Slots {
    /// What `sockets` leaves, and the idle connections of `driver` to upstreams where that is not enough.
    pub(super) fn new(driver: Handle, sockets: Sockets, held: Held) -> Rc<Slots> {
        Rc::new(Slots {
            driver,
            sockets,
            held,
            idle: IdleConnections::default(),
        })
    }

    /// Closes a connection between requests, if there is one.
    pub(super) fn close_one(&self) -> bool {
        self.idle
            .close_one(&self.held.counts(), |held| self.driver.furthest_over(held))
    }

    /// A slot for one more client. Guards against idle connections that clients keep shutting others out: what is
    /// written to a connection that waits to be accepted counts as taken, so one between requests makes way.
    pub(super) async fn free(&self) -> Option<ClientSlot> {
        loop {
            if let Some(slot) = self.sockets.client() {
                return Some(slot);
            }
            if !self.close_one() && self.sockets.exhausted() {
                self.driver.free_socket();
            }
            // Whoever closes gives its slot back; while all are busy, look again a little later.
            if let Ok(slot) = timeout(CROWDED_PAUSE, self.sockets.client_waits()).await {
                return slot;
            }
        }
    }

    /// Whether one more client may connect now.
    pub(super) fn has_free(&self) -> bool {
        self.sockets.client().is_some()
    }

    /// Waits until no client is connected.
    pub(super) async fn emptied(&self) {
        self.sockets.clients_left().await;
    }
}
