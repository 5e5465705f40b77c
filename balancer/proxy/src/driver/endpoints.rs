//! The endpoint list: passes updates from discovery to the module and updates upstream connections. Owns no state.
use super::state::{Driver, Handle, KnownUpstream};
use crate::listing::{Entry, ListUser, Listing};
use crate::upstreams::Upstream;
use balancer_core::{Availability, EndpointUpdate, Event, UpstreamId};

impl Handle {
    /// Whether there is an upstream that accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        let driver = self.0.driver.borrow();
        driver
            .upstreams
            .values()
            .any(|known| known.availability == Availability::Ready)
    }

    /// Closes the longest idle upstream connection, if there is one, to free its socket.
    pub(crate) fn free_socket(&self) {
        self.0.driver.borrow_mut().free_socket();
    }

    /// Restores the list known at the start, if any.
    pub(crate) fn restore_endpoints(&self, listing: Option<&Listing>) {
        let endpoints = listing.iter().flat_map(|list| list.endpoints()).collect();
        if let Some(listing) = listing {
            self.0.driver.borrow_mut().replace_endpoints(listing);
        }
        self.feed(Event::EndpointUpdate(EndpointUpdate::Cached(endpoints)));
    }
}

impl ListUser for Handle {
    async fn subscribed(&self) {
        self.0.subscribe.notified().await;
    }

    fn handle_list(&self, listing: &Listing) {
        self.0.driver.borrow_mut().handle_list(listing);
        let endpoints = listing.endpoints().collect();
        let update = if listing.full {
            EndpointUpdate::Full(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        };
        self.feed(Event::EndpointUpdate(update));
    }

    fn handle_list_failure(&self) {
        if let Some(metrics) = &mut self.0.driver.borrow_mut().metrics {
            metrics.list_failed();
        }
        self.feed(Event::EndpointUpdate(EndpointUpdate::Failed));
    }
}

impl Driver {
    /// Drops a removed upstream once no attempt to it is in flight.
    pub(super) fn forget_removed_upstream(&mut self, id: UpstreamId) {
        let is_removed = self
            .upstreams
            .get(&id)
            .is_some_and(|known| known.availability == Availability::Removed);
        if is_removed && !self.attempts.values().any(|a| a.upstream == id) {
            self.upstreams.remove(&id);
        }
    }

    /// Closes the longest idle connection of all upstreams, to free its socket.
    pub(super) fn free_socket(&mut self) {
        let oldest = self
            .upstreams
            .values()
            .filter_map(|known| Some((known.upstream.oldest_idle()?, &known.upstream)));
        if let Some((_, upstream)) = oldest.min_by_key(|&(since, _)| since) {
            upstream.close_oldest_idle();
        }
    }

    fn handle_list(&mut self, listing: &Listing) {
        if listing.full {
            self.replace_endpoints(listing);
        } else {
            self.update_endpoints(listing);
        }
        if let Some(metrics) = &mut self.metrics {
            metrics.list_answered();
        }
        // A response without changes does not change the saved list.
        let has_changes = listing.full || !listing.entries.is_empty();
        if let Some(recovery) = self.recovery.as_mut().filter(|_| has_changes) {
            recovery.save_list(listing);
        }
    }

    /// Applies a full list: upstreams that are not in it are removed.
    fn replace_endpoints(&mut self, listing: &Listing) {
        for (id, known) in &mut self.upstreams {
            if !listing.entries.iter().any(|entry| entry.endpoint.id == *id) {
                known.availability = Availability::Removed;
                close(&known.upstream);
            }
        }
        self.update_endpoints(listing);
    }

    /// Applies the entries of a list, and drops removed upstreams.
    fn update_endpoints(&mut self, listing: &Listing) {
        self.has_endpoints |= !listing.entries.is_empty();
        for entry in &listing.entries {
            self.update_endpoint(entry);
        }
        let removed = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.availability == Availability::Removed)
            .map(|(&id, _)| id);
        for id in removed.collect::<Vec<_>>() {
            self.forget_removed_upstream(id);
        }
    }

    fn update_endpoint(&mut self, entry: &Entry) {
        let endpoint = &entry.endpoint;
        let unconnected = || Upstream::new(entry.name.clone(), endpoint.zone, entry.addr);
        let known = self
            .upstreams
            .entry(endpoint.id)
            .or_insert_with(|| KnownUpstream {
                upstream: unconnected(),
                availability: endpoint.availability,
                started_ms: endpoint.since,
            });
        // A different address or start time means a different process. Attempts in flight keep their reference to the
        // former one: nothing more is written to it, and its connections are not reused.
        if known.upstream.addr.get() != entry.addr || known.started_ms != endpoint.since {
            close(&known.upstream);
            known.upstream = unconnected();
        }
        known.availability = endpoint.availability;
        known.started_ms = endpoint.since;
        match endpoint.availability {
            Availability::Ready => known.upstream.is_closed.set(false),
            Availability::Draining | Availability::Removed => close(&known.upstream),
        }
    }
}

/// Prevents further writes to an upstream and closes its idle connections.
fn close(upstream: &Upstream) {
    upstream.is_closed.set(true);
    upstream.close_idle();
}
