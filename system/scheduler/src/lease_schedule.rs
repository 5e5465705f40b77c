//! Decides when the lease of each worker is renewed.
//!
//! A lease is renewed by a long poll that also lists the worker's runs; only one is in flight per worker.
use crate::worker::{Worker, Workers};
use magpiegap_protocol::Millis;
use std::collections::BTreeSet;

/// Maximum time between two scans of all workers for due renewals.
const SCAN_INTERVAL_MS: Millis = 50;

/// Finds due renewals without scanning all workers on each call.
#[derive(Clone, Debug)]
pub(crate) struct LeaseSchedule {
    /// Workers that have changed since the last call, so that a renewal may be due.
    updated: BTreeSet<String>,
    /// When all workers are scanned next, for renewals that become due by time alone.
    next_scan: Millis,
}

impl LeaseSchedule {
    /// Creates a schedule whose first call of `take_due` scans all workers.
    pub(crate) fn new(now: Millis) -> LeaseSchedule {
        LeaseSchedule {
            updated: BTreeSet::new(),
            next_scan: now,
        }
    }

    pub(crate) fn mark_updated(&mut self, incarnation: &str) {
        self.updated.insert(incarnation.to_owned());
    }

    /// Schedules a scan of all workers at the next call of `take_due`.
    pub(crate) fn scan_at(&mut self, now: Millis) {
        self.next_scan = now;
    }

    /// Returns the incarnations of the workers whose renewal is due.
    pub(crate) fn take_due(&mut self, workers: &Workers, now: Millis) -> Vec<String> {
        let updated = std::mem::take(&mut self.updated);
        let mut due = Vec::new();
        let mut next_scan = now + SCAN_INTERVAL_MS;
        let mut check = |incarnation: &String, worker: &Worker| match next_renewal_at(worker) {
            Some(at) if now >= at => due.push(incarnation.clone()),
            Some(at) => next_scan = next_scan.min(at),
            None => {}
        };
        if now >= self.next_scan {
            for (incarnation, worker) in workers {
                check(incarnation, worker);
            }
            self.next_scan = next_scan;
        } else {
            for incarnation in &updated {
                if let Some(worker) = workers.get(incarnation) {
                    check(incarnation, worker);
                }
            }
            self.next_scan = self.next_scan.min(next_scan);
        }
        due
    }
}

/// When the next renewal of a worker's lease is due; `None` if none is due before the worker changes.
fn next_renewal_at(worker: &Worker) -> Option<Millis> {
    let is_unconfirmed =
        !worker.has_responded || worker.unanswered_renewals > 0 || worker.suspected_since.is_some();
    let needs_renewal = !worker.runs.is_empty() || is_unconfirmed;
    let is_acknowledged = worker.proposed_completion == worker.acknowledged_completion;
    let is_reachable = !worker.entry.address.is_empty();
    (needs_renewal && is_acknowledged && is_reachable && worker.lease.in_flight.is_none())
        .then_some(worker.lease.renew_at)
}
