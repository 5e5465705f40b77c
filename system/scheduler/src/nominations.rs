//! Workers kept free for a moment, for a task that others were stopped for.
use crate::worker::Workers;
use magpiegap_protocol::{Millis, TaskId};
use std::collections::{HashMap, HashSet};

/// A reservation that has led to nothing is given up after this time.
const NOMINATION_TIMEOUT_MS: Millis = 1200;

#[derive(Clone, Copy, Debug)]
struct Nomination {
    owner: TaskId,
    since: Millis,
}

/// The workers that are kept free, and for whom.
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

    /// Whether a worker is kept free for a task.
    pub(crate) fn has(&self, first: &TaskId) -> bool {
        self.of_worker
            .values()
            .any(|nomination| nomination.owner == *first)
    }

    /// How many workers are kept free.
    pub(crate) fn len(&self) -> usize {
        self.of_worker.len()
    }

    /// Keeps a worker free for a task.
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
