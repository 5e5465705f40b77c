//! Workers kept free for a moment, for a task that others were stopped for.
use crate::worker::Workers;
use magpiegap_protocol::{Millis, TaskId};
use std::collections::{HashMap, HashSet};

/// A reservation that has led to nothing is given up after this time.
const GIVE_UP_MS: Millis = 1200;

#[derive(Clone, Copy, Debug)]
struct Reservation {
    owner: TaskId,
    since: Millis,
}

/// The workers that are kept free, and for whom.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    of_worker: HashMap<String, Reservation>,
}

impl Reservations {
    /// Whether a task may be placed on a worker.
    pub(crate) fn allow(&self, incarnation: &str, first: &TaskId) -> bool {
        self.of_worker
            .get(incarnation)
            .is_none_or(|reservation| reservation.owner == *first)
    }

    /// Whether a worker is kept free for a task.
    pub(crate) fn has(&self, first: &TaskId) -> bool {
        self.of_worker
            .values()
            .any(|reservation| reservation.owner == *first)
    }

    /// How many workers are kept free.
    pub(crate) fn len(&self) -> usize {
        self.of_worker.len()
    }

    /// Keeps a worker free for a task.
    pub(crate) fn add(&mut self, incarnation: String, owner: TaskId, now: Millis) {
        self.of_worker
            .insert(incarnation, Reservation { owner, since: now });
    }

    /// Drops those that have lost their purpose.
    pub(crate) fn review(&mut self, waiting: &HashSet<TaskId>, workers: &Workers, now: Millis) {
        self.of_worker.retain(|incarnation, reservation| {
            waiting.contains(&reservation.owner)
                && now < reservation.since + GIVE_UP_MS
                && workers
                    .get(incarnation)
                    .is_some_and(|worker| worker.takes_work(now))
        });
    }
}
