//! No new request goes to a draining upstream after the grace period. Owns the upstream states that each balancer was
//! notified of.
use super::SLACK;
use crate::experiment::Millis;
use std::collections::HashMap;

/// Upstream states that balancers were notified of.
pub(crate) struct Notifications {
    grace: Millis,
    /// When each balancer was notified that an upstream accepts no new requests.
    drained: HashMap<(usize, usize), Millis>,
    /// Latest start of each upstream that each balancer was notified of; the first by default.
    starts: HashMap<(usize, usize), usize>,
}

impl Notifications {
    pub(crate) fn new(grace: Millis) -> Notifications {
        Notifications {
            grace,
            drained: HashMap::new(),
            starts: HashMap::new(),
        }
    }

    /// Records that a balancer was notified of an upstream's state; `start` is the upstream's start count.
    pub(crate) fn notified(
        &mut self,
        now: Millis,
        balancer: usize,
        upstream: usize,
        start: usize,
        takes_work: bool,
    ) {
        let latest = self.starts.entry((balancer, upstream)).or_insert(1);
        // The state of a previous machine says nothing about its replacement.
        if start < *latest {
            return;
        }
        *latest = start;
        if takes_work {
            self.drained.remove(&(balancer, upstream));
        } else {
            self.drained.entry((balancer, upstream)).or_insert(now);
        }
    }

    /// Whether a balancer was notified of this start of an upstream or a later one.
    pub(crate) fn knows_start(&self, balancer: usize, upstream: usize, start: usize) -> bool {
        self.starts.get(&(balancer, upstream)).copied().unwrap_or(1) >= start
    }

    /// Returns by how much an attempt exceeds the grace period and slack, and a description.
    pub(crate) fn check(
        &self,
        now: Millis,
        route: &str,
        id: u64,
        balancer: usize,
        upstream: usize,
    ) -> Option<(Millis, String)> {
        let at = *self.drained.get(&(balancer, upstream))?;
        let by = now - at - self.grace - SLACK;
        let case = || {
            format!(
                "{route}: request {id:016x} arrived {:.0} ms after the balancer was notified of draining",
                now - at
            )
        };
        (by > 0.0).then(|| (by, case()))
    }
}
