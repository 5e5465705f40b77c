//! The list of upstreams: what discovery tells goes to the module, and addresses and connections keep in step with it.
//! Owns no state.
use super::state::{Driver, Handle};
use crate::listing::{ListUser, Listing};
use crate::upstreams::Upstream;
use balancer_core::{Availability, EndpointUpdate, Event, UpstreamId};

impl Handle {
    /// Whether an upstream is known that takes requests.
    pub(crate) fn ready(&self) -> bool {
        let d = self.0.driver.borrow();
        d.upstreams
            .values()
            .any(|(_, availability, _)| *availability == Availability::Ready)
    }

    /// Closes an idle connection to an upstream, if there is one: its socket is needed elsewhere.
    pub(crate) fn free_socket(&self) {
        self.0.driver.borrow_mut().free_socket();
    }

    /// Takes the saved list.
    pub(crate) fn cached(&self, listing: Option<&Listing>) {
        let members = listing.iter().flat_map(|l| l.members()).collect();
        if let Some(listing) = listing {
            self.0.driver.borrow_mut().note_list(listing, true);
        }
        self.feed(Event::EndpointUpdate(EndpointUpdate::Cached(members)));
    }
}

impl ListUser for Handle {
    async fn subscribed(&self) {
        self.0.subscribe.notified().await;
    }

    fn listed(&self, listing: &Listing) {
        {
            let mut d = self.0.driver.borrow_mut();
            d.note_list(listing, listing.full);
            if let Some(f) = &mut d.figures {
                f.list(true);
            }
            // An answer without news leaves what is kept as it is.
            if let Some(recovery) = d
                .recovery
                .as_mut()
                .filter(|_| listing.full || !listing.entries.is_empty())
            {
                recovery.listed(listing);
            }
        }
        let members = listing.members().collect();
        let news = if listing.full {
            EndpointUpdate::Full(members)
        } else {
            EndpointUpdate::Delta(members)
        };
        self.feed(Event::EndpointUpdate(news));
    }

    fn list_failed(&self) {
        if let Some(f) = &mut self.0.driver.borrow_mut().figures {
            f.list(false);
        }
        self.feed(Event::EndpointUpdate(EndpointUpdate::Failed));
    }
}

impl Driver {
    /// Forgets an upstream that is gone once nothing is out to it.
    pub(super) fn forget_upstream(&mut self, id: UpstreamId) {
        let gone = self
            .upstreams
            .get(&id)
            .is_some_and(|&(_, a, _)| a == Availability::Removed);
        if gone && !self.attempts.values().any(|a| a.upstream == id) {
            self.upstreams.remove(&id);
        }
    }

    /// Closes the connection that has been idle longest, of all upstreams: its socket is needed elsewhere.
    pub(super) fn free_socket(&mut self) {
        let oldest = self
            .upstreams
            .values()
            .filter_map(|(u, ..)| Some((u.oldest_idle()?, u)));
        if let Some((_, upstream)) = oldest.min_by_key(|&(since, _)| since) {
            upstream.drop_oldest();
        }
    }

    /// Keeps addresses and connections in step with the list.
    pub(super) fn note_list(&mut self, listing: &Listing, whole: bool) {
        self.listed |= !listing.entries.is_empty();
        if whole {
            for (id, (upstream, availability, _)) in &mut self.upstreams {
                if !listing.entries.iter().any(|e| e.member.id == *id) {
                    *availability = Availability::Removed;
                    close(upstream);
                }
            }
        }
        for entry in &listing.entries {
            let m = &entry.member;
            let fresh = || {
                (
                    Upstream::new(entry.name.clone(), m.zone, entry.addr),
                    m.availability,
                    m.since,
                )
            };
            let (upstream, availability, since) = self.upstreams.entry(m.id).or_insert_with(fresh);
            // Another address or another start is another process. Attempts that are out to the former one keep their
            // hold on it: nothing more is written to it, and their connections are not kept.
            if upstream.addr.get() != entry.addr || *since != m.since {
                close(upstream);
                *upstream = fresh().0;
            }
            (*availability, *since) = (m.availability, m.since);
            match m.availability {
                Availability::Ready => upstream.closed.set(false),
                Availability::Draining | Availability::Removed => close(upstream),
            }
        }
        let gone = self
            .upstreams
            .iter()
            .filter(|(_, (_, a, _))| *a == Availability::Removed);
        for id in gone.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.forget_upstream(id);
        }
    }
}

/// Lets nothing more be written to an upstream.
fn close(upstream: &Upstream) {
    upstream.closed.set(true);
    upstream.close_idle();
}
