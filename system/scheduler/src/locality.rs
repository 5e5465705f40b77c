//! Bounds how long tasks wait for the rack that holds their data.
use crate::worker::Workers;
use magpiegap_protocol::{Millis, StepSpec};
use std::collections::HashSet;

/// A task waits for the rack of its data at most for this share of the extra time that running elsewhere would take, by
/// its client's estimate.
const MAX_LOCALITY_WAIT_SHARE: f64 = 0.6;
/// Maximum time for which a task waits for the rack of its data, whatever the estimate.
const MAX_LOCALITY_WAIT_MS: Millis = 30_000;

/// The racks that can be waited for, and what waiting saves.
#[derive(Clone, Debug)]
pub(crate) struct Locality {
    /// The labels of all listed workers that are not draining, among them their racks.
    available_labels: HashSet<String>,
    /// Factor by which a task takes longer when it runs away from its data.
    remote_factor: f64,
}

impl Locality {
    /// Creates the state without known racks.
    pub(crate) fn new(remote_factor: f64) -> Locality {
        Locality {
            available_labels: HashSet::new(),
            remote_factor,
        }
    }

    /// Factor by which a task takes longer when it runs away from its data.
    pub(crate) fn remote_factor(&self) -> f64 {
        self.remote_factor
    }

    /// Updates the labels of workers that may take new runs, after the list of workers has changed.
    pub(crate) fn refresh(&mut self, workers: &Workers) {
        let available = workers
            .values()
            .filter(|worker| worker.listed && !worker.draining);
        self.available_labels = available
            .flat_map(|worker| worker.entry.labels.iter().cloned())
            .collect();
    }

    /// Whether a task still waits for the rack that holds its data, or a rack-local gang for a single rack that fits
    /// all its tasks. No task waits for a rack without workers.
    pub(crate) fn is_waited_for(&self, step: &StepSpec, waited_ms: Millis) -> bool {
        let is_rack_available = step
            .affinity
            .as_ref()
            .is_none_or(|rack| self.available_labels.contains(rack));
        let slowdown = self.remote_factor - 1.0;
        let max_wait_ms = step.estimated_ms as f64 * slowdown * MAX_LOCALITY_WAIT_SHARE;
        is_rack_available && waited_ms < MAX_LOCALITY_WAIT_MS && (waited_ms as f64) < max_wait_ms
    }
}
