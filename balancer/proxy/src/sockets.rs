//! The budget of sockets that clients and upstreams share. Owns the semaphores that count them.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors reserved for other uses: the listener, discovery, the runtime, and sockets that are being closed.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum budget, in sockets.
const MAX_BUDGET: u32 = 1 << 20;

/// The socket budget. Clones share it.
#[derive(Clone)]
pub(crate) struct Sockets {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
    max_clients: u32,
}

/// A client's slot in the budget; released when dropped.
pub(crate) struct ClientSlot {
    _all: OwnedSemaphorePermit,
    _client: OwnedSemaphorePermit,
}

impl Sockets {
    /// Creates a budget for a process with this limit of descriptors. Clients may use three quarters of it, so that
    /// sockets are always left for upstreams; upstreams may use all sockets that clients do not use.
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

    /// Returns a slot for a client, if one is available now.
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

    /// Returns a permit for an upstream connection, if one is available now.
    pub(crate) fn try_acquire_upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether the budget is used up.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Waits until no client is connected.
    pub(crate) async fn all_clients_released(&self) {
        let _all = self.clients.acquire_many(self.max_clients).await;
    }
}
