//! Client connections by tenant, counted to select the one to evict and to report them to the tier. A connection
//! belongs to the tenant of its last request, and to no tenant before its first. Owns the counts.
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Number of open client connections of each tenant. Clones share the counts.
#[derive(Clone, Default)]
pub(crate) struct ConnectionCounts(Rc<RefCell<Vec<u32>>>);

impl ConnectionCounts {
    /// Creates zero counts for this number of tenants.
    pub(crate) fn new(tenants: usize) -> ConnectionCounts {
        ConnectionCounts(Rc::new(RefCell::new(vec![0; tenants])))
    }

    /// Registers a connection that has no tenant yet. It is counted until dropped.
    pub(crate) fn register(&self) -> CountedConnection {
        CountedConnection {
            counts: self.clone(),
            tenant: Cell::new(None),
        }
    }

    /// Returns the counts, indexed by tenant.
    pub(crate) fn by_tenant(&self) -> Vec<u32> {
        self.0.borrow().clone()
    }

    fn add(&self, tenant: Option<usize>, delta: i32) {
        let mut counts = self.0.borrow_mut();
        if let Some(count) = tenant.and_then(|tenant| counts.get_mut(tenant)) {
            *count = count.saturating_add_signed(delta);
        }
    }
}

/// A client connection that is counted for the tenant of its last request.
pub(crate) struct CountedConnection {
    counts: ConnectionCounts,
    tenant: Cell<Option<usize>>,
}

impl CountedConnection {
    /// Returns the tenant of its last request, `None` before the first.
    pub(crate) fn tenant(&self) -> Option<usize> {
        self.tenant.get()
    }

    /// Counts the connection for this tenant from now on.
    pub(crate) fn assign_to(&self, tenant: usize) {
        let previous = self.tenant.replace(Some(tenant));
        self.counts.add(previous, -1);
        self.counts.add(Some(tenant), 1);
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.counts.add(self.tenant.get(), -1);
    }
}
