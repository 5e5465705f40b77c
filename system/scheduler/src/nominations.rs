//! Workers that are nominated for a task that had other runs preempted there, and that nobody else gets for a moment.
//!
//! The term is that of Kubernetes (`nominatedNodeName`); reservations by forecast are those of backfill.
use crate::worker::Workers;
use magpiegap_protocol::{Millis, TaskId};
use std::collections::{HashMap, HashSet};

/// A nomination that has led to nothing is dropped after this time.
const NOMINATION_TIMEOUT_MS: Millis = 1200;

#[derive(Clone, Copy, Debug)]
struct Nomination {
    owner: TaskId,
    since: Millis,
}

/// The nominated workers, and for whom.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nominations {
    of_worker: HashMap<String, Nomination>,
}

impl Nominations {
    /// Whether a task may be placed on a worker.
    pub(crate) fn allow(&self, incarnation: &str, first: &TaskId) -> bool {
        self.of_worker
            .get(incarnation)
            .is_none_or(|nomination| nomination.owner == *first)
    }

    /// Whether a worker is nominated for a task.
    pub(crate) fn has(&self, first: &TaskId) -> bool {
        self.of_worker
            .values()
            .any(|nomination| nomination.owner == *first)
    }

    /// How many workers are nominated.
    pub(crate) fn len(&self) -> usize {
        self.of_worker.len()
    }

    /// Nominates a worker for a task.
    pub(crate) fn add(&mut self, incarnation: String, owner: TaskId, now: Millis) {
        self.of_worker
            .insert(incarnation, Nomination { owner, since: now });
    }

    /// Drops those that have lost their purpose.
    pub(crate) fn review(&mut self, waiting: &HashSet<TaskId>, workers: &Workers, now: Millis) {
        self.of_worker.retain(|incarnation, nomination| {
            waiting.contains(&nomination.owner)
                && now < nomination.since + NOMINATION_TIMEOUT_MS
                && workers
                    .get(incarnation)
                    .is_some_and(|worker| worker.is_schedulable(now))
        });
    }
}
