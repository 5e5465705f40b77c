//! The budget of sockets that clients and upstreams share. Owns the semaphores that count them.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors for everything else: the listener, discovery, the runtime, sockets that are just closing.
const RESERVED_DESCRIPTORS: usize = 24;
/// Largest budget, in sockets.
const MAX_BUDGET: u32 = 1 << 20;

/// Counts the sockets that are open and those that still may be.
#[derive(Clone)]
pub(crate) struct Sockets {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
    max_clients: u32,
}

/// A client's slot in the budget, returned when dropped.
pub(crate) struct ClientSlot {
    _all: OwnedSemaphorePermit,
    _client: OwnedSemaphorePermit,
}

impl Sockets {
    /// Creates a budget under this many descriptors. Clients may use three quarters of it, so that there is always a
    /// way on to the upstreams; upstreams may use all that clients leave.
    pub(crate) fn new(descriptors: usize) -> Sockets {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let budget = u32::try_from(available).unwrap_or(u32::MAX).min(MAX_BUDGET);
        let max_clients = budget / 4 * 3;
        let semaphore = |permits: u32| Arc::new(Semaphore::new(permits as usize));
        Sockets {
            all: semaphore(budget),
            clients: semaphore(max_clients),
            max_clients,
        }
    }

    /// Returns a slot for a client, if there is one now.
    pub(crate) fn try_acquire_client(&self) -> Option<ClientSlot> {
        let _client = self.clients.clone().try_acquire_owned().ok()?;
        Some(ClientSlot {
            _client,
            _all: self.try_acquire_upstream()?,
        })
    }

    /// Waits for a slot for a client.
    pub(crate) async fn acquire_client(&self) -> Option<ClientSlot> {
        let _client = self.clients.clone().acquire_owned().await.ok()?;
        Some(ClientSlot {
            _client,
            _all: self.all.clone().acquire_owned().await.ok()?,
        })
    }

    /// Returns a permit for a connection to an upstream, if there is one now.
    pub(crate) fn try_acquire_upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether no further socket may be opened.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Waits until no client is connected.
    pub(crate) async fn all_clients_released(&self) {
        let _all = self.clients.acquire_many(self.max_clients).await;
    }
}
