//! Clients' connections between requests. Holds which ones rest, since when, and finds the one that makes way for
//! another client; which tenant's it is to be is asked of the module.
use crate::held::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection may be closed once it has rested for this long.
const IDLE_LONG_ENOUGH: Duration = Duration::from_secs(2);

/// A client's connection.
pub(super) struct ClientConnection {
    /// Tells it to close.
    pub close: Notify,
    /// It closes once it is idle, so that its answers say so.
    pub closes: Cell<bool>,
    /// Whose it is.
    pub of: Connection,
    /// Its position among the idle ones.
    place: Cell<Option<u64>>,
}

impl ClientConnection {
    /// One that is not idle.
    pub(super) fn new(of: Connection) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            close: Notify::new(),
            closes: Cell::new(false),
            of,
            place: Cell::new(None),
        })
    }

    /// Whether it is between requests.
    pub(super) fn is_idle(&self) -> bool {
        self.place.get().is_some()
    }
}

/// The connections between requests.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Since when they are idle, the one idle longest first.
    places: RefCell<BTreeMap<u64, (Instant, Rc<ClientConnection>)>>,
    /// Orders them by when they last fell idle.
    turn: Cell<u64>,
}

impl IdleConnections {
    /// Notes that a connection is between requests, or has said nothing yet.
    pub(super) fn became_idle(&self, client: &Rc<ClientConnection>) {
        self.turn.set(self.turn.get() + 1);
        client.place.set(Some(self.turn.get()));
        self.places
            .borrow_mut()
            .insert(self.turn.get(), (Instant::now(), client.clone()));
    }

    /// Notes that a connection is not between requests any more, or is gone.
    pub(super) fn became_busy(&self, client: &ClientConnection) {
        if let Some(place) = client.place.take() {
            self.places.borrow_mut().remove(&place);
        }
    }

    /// Tells one connection to close, if any rests: of those that have rested for long enough one that never sent a
    /// request, else one of the tenant that `furthest` names by what each holds. Where none has, the one that
    /// rested longest.
    pub(super) fn close_one(
        &self,
        held: &[u32],
        furthest: impl Fn(&[u32]) -> Option<usize>,
    ) -> bool {
        let mut places = self.places.borrow_mut();
        let long = || {
            places
                .values()
                .take_while(|(since, _)| since.elapsed() >= IDLE_LONG_ENOUGH)
                .map(|(_, c)| c)
        };
        let spare = |tenant: Option<usize>| long().find(|c| c.of.tenant() == tenant);
        let of_tenants = || {
            let mut counts = vec![0; held.len()];
            long()
                .filter_map(|c| c.of.tenant())
                .for_each(|i| counts[i] = held[i]);
            furthest(&counts).and_then(|tenant| spare(Some(tenant)))
        };
        let longest = || places.values().next().map(|(_, c)| c);
        let Some(client) = spare(None).or_else(of_tenants).or_else(longest).cloned() else {
            return false;
        };
        if let Some(place) = client.place.get() {
            places.remove(&place);
        }
        client.close.notify_one();
        true
    }
}
