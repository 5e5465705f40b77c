//! The one budget of sockets that clients and upstreams share.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors for everything else: the listener, discovery, the runtime, sockets that are just closing.
const SPARE: usize = 24;

/// Counts the sockets that are open and those that still may be.
#[derive(Clone)]
pub(crate) struct Sockets {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
    clients_most: u32,
}

/// A client's slot in the budget, given back when dropped.
pub(crate) struct ClientSlot {
    _all: OwnedSemaphorePermit,
    _client: OwnedSemaphorePermit,
}

impl Sockets {
    /// A budget under this many descriptors. Clients may hold three quarters of it, so that there is always a
    /// way on to the upstreams; upstreams may hold all that clients leave.
    pub(crate) fn new(descriptors: usize) -> Sockets {
        let budget = u32::try_from(descriptors.saturating_sub(SPARE))
            .unwrap_or(u32::MAX)
            .min(1 << 20);
        let clients_most = budget / 4 * 3;
        let slots = |n: u32| Arc::new(Semaphore::new(n as usize));
        Sockets {
            all: slots(budget),
            clients: slots(clients_most),
            clients_most,
        }
    }

    /// A slot for a client, if there is one now.
    pub(crate) fn client(&self) -> Option<ClientSlot> {
        let _client = self.clients.clone().try_acquire_owned().ok()?;
        Some(ClientSlot {
            _client,
            _all: self.upstream()?,
        })
    }

    /// A slot for a client, once there is one.
    pub(crate) async fn client_waits(&self) -> Option<ClientSlot> {
        let _client = self.clients.clone().acquire_owned().await.ok()?;
        Some(ClientSlot {
            _client,
            _all: self.all.clone().acquire_owned().await.ok()?,
        })
    }

    /// A slot for a connection to an upstream, if there is one now.
    pub(crate) fn upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether nothing more may be opened.
    pub(crate) fn exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Waits until no client is connected.
    pub(crate) async fn clients_left(&self) {
        let _all = self.clients.acquire_many(self.clients_most).await;
    }
}
