//! Nothing new goes to an upstream that drains, after the grace. Owns what each balancer was notified of.
use super::SLACK;
use crate::experiment::Millis;
use std::collections::HashMap;

/// What balancers were notified of upstreams.
pub(crate) struct Notifications {
    grace: Millis,
    /// When each balancer was notified that an upstream wants nothing new.
    away: HashMap<(usize, usize), Millis>,
    /// The latest start of an upstream that each balancer was notified of; by default the first.
    starts: HashMap<(usize, usize), usize>,
}

impl Notifications {
    pub(crate) fn new(grace: Millis) -> Notifications {
        Notifications {
            grace,
            away: HashMap::new(),
            starts: HashMap::new(),
        }
    }

    /// A balancer was notified of an upstream after so many starts of that.
    pub(crate) fn notified(
        &mut self,
        now: Millis,
        balancer: usize,
        upstream: usize,
        start: usize,
        takes_work: bool,
    ) {
        let latest = self.starts.entry((balancer, upstream)).or_insert(1);
        // A state of a machine says nothing of the one that has replaced it.
        if start < *latest {
            return;
        }
        *latest = start;
        if takes_work {
            self.away.remove(&(balancer, upstream));
        } else {
            self.away.entry((balancer, upstream)).or_insert(now);
        }
    }

    /// Whether a balancer was notified of an upstream's latest start.
    pub(crate) fn knows_start(&self, balancer: usize, upstream: usize, start: usize) -> bool {
        self.starts.get(&(balancer, upstream)).copied().unwrap_or(1) >= start
    }

    /// By how much an attempt comes too late, and the case.
    pub(crate) fn case(
        &self,
        now: Millis,
        route: &str,
        id: u64,
        balancer: usize,
        upstream: usize,
    ) -> Option<(Millis, String)> {
        let at = *self.away.get(&(balancer, upstream))?;
        let by = now - at - self.grace - SLACK;
        let case = || {
            format!(
                "{route}: {id:016x} came {:.0} ms after the word that it drains",
                now - at
            )
        };
        (by > 0.0).then(|| (by, case()))
    }
}
