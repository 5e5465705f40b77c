//! Clients' connections by tenant: for which of them makes way, and for the tier's other copies. A connection is its
//! last request's tenant's; before its first it is nobody's. Owns the counts.
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How many connections each tenant's clients hold.
#[derive(Clone, Default)]
pub(crate) struct Held(Rc<RefCell<Vec<u32>>>);

impl Held {
    /// Nobody holds any.
    pub(crate) fn new(tenants: usize) -> Held {
        Held(Rc::new(RefCell::new(vec![0; tenants])))
    }

    /// One more connection, counted until it is dropped.
    pub(crate) fn connection(&self) -> Connection {
        Connection {
            held: self.clone(),
            tenant: Cell::new(None),
        }
    }

    /// The counts, by the tenant's position.
    pub(crate) fn counts(&self) -> Vec<u32> {
        self.0.borrow().clone()
    }

    fn change(&self, tenant: Option<usize>, by: i32) {
        let mut counts = self.0.borrow_mut();
        if let Some(count) = tenant.and_then(|t| counts.get_mut(t)) {
            *count = count.saturating_add_signed(by);
        }
    }
}

/// A client's connection.
pub(crate) struct Connection {
    held: Held,
    tenant: Cell<Option<usize>>,
}

impl Connection {
    /// The tenant of its last request, once there was one.
    pub(crate) fn tenant(&self) -> Option<usize> {
        self.tenant.get()
    }

    /// Its last request was this tenant's.
    pub(crate) fn is_of(&self, tenant: usize) {
        self.held.change(self.tenant.replace(Some(tenant)), -1);
        self.held.change(Some(tenant), 1);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.held.change(self.tenant.get(), -1);
    }
}
