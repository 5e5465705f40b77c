//! Client connections between requests. Owns the set of idle connections with their idle times, and selects the one to
//! evict for another client; the balancer core decides which tenant loses a connection.
use crate::connection_counts::CountedConnection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connections that have been idle for this long are evicted first.
const PREFERRED_EVICTION_IDLE_TIME: Duration = Duration::from_secs(2);

/// The eviction state of a client connection.
pub(super) struct ClientConnection {
    /// Notified when the connection is evicted.
    pub close_requested: Notify,
    /// Whether it closes once it is idle; its responses then carry `Connection: close`.
    pub is_closing: Cell<bool>,
    /// Counts the connection for its tenant.
    pub counted: CountedConnection,
    /// Its key in the set of idle connections, while it is idle.
    idle_key: Cell<Option<IdleKey>>,
}

impl ClientConnection {
    /// Creates a connection that is not idle.
    pub(super) fn new(counted: CountedConnection) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            close_requested: Notify::new(),
            is_closing: Cell::new(false),
            counted,
            idle_key: Cell::new(None),
        })
    }

    /// Whether it is between requests.
    pub(super) fn is_idle(&self) -> bool {
        self.idle_key.get().is_some()
    }
}

/// Orders idle connections by when they last became idle.
type IdleKey = u64;

struct Idle {
    since: Instant,
    client: Rc<ClientConnection>,
}

/// The connections between requests.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Ordered by idle time, longest first.
    idle: RefCell<BTreeMap<IdleKey, Idle>>,
    last_key: Cell<IdleKey>,
}

impl IdleConnections {
    /// Marks a connection as between requests, or as new.
    pub(super) fn became_idle(&self, client: &Rc<ClientConnection>) {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        client.idle_key.set(Some(key));
        let idle = Idle {
            since: Instant::now(),
            client: client.clone(),
        };
        self.idle.borrow_mut().insert(key, idle);
    }

    /// Marks a connection as serving a request, or as closed.
    pub(super) fn became_busy(&self, client: &ClientConnection) {
        if let Some(key) = client.idle_key.take() {
            self.idle.borrow_mut().remove(&key);
        }
    }

    /// Requests the close of one idle connection and returns whether there was one. Among the connections idle for at
    /// least [`PREFERRED_EVICTION_IDLE_TIME`] it selects one that never sent a request, or else one of the tenant that
    /// `tenant_to_evict` selects by the connection counts. If there is none, it selects the longest idle connection.
    pub(super) fn evict_one(
        &self,
        counts: &[u32],
        tenant_to_evict: impl Fn(&[u32]) -> Option<usize>,
    ) -> bool {
        let mut idle = self.idle.borrow_mut();
        let long_idle = || {
            idle.values()
                .take_while(|idle| idle.since.elapsed() >= PREFERRED_EVICTION_IDLE_TIME)
                .map(|idle| &idle.client)
        };
        let first_of =
            |tenant: Option<usize>| long_idle().find(|client| client.counted.tenant() == tenant);
        let of_chosen_tenant = || {
            let mut eligible = vec![0; counts.len()];
            long_idle()
                .filter_map(|client| client.counted.tenant())
                .for_each(|tenant| eligible[tenant] = counts[tenant]);
            tenant_to_evict(&eligible).and_then(|tenant| first_of(Some(tenant)))
        };
        let longest_idle = || idle.values().next().map(|idle| &idle.client);
        let chosen = first_of(None)
            .or_else(of_chosen_tenant)
            .or_else(longest_idle);
        let Some(client) = chosen.cloned() else {
            return false;
        };
        if let Some(key) = client.idle_key.get() {
            idle.remove(&key);
        }
        client.close_requested.notify_one();
        true
    }
}
