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
    pub fn allow(&self, instance: &str, first: &TaskId) -> bool {
        self.of_worker
            .get(instance)
            .is_none_or(|reservation| reservation.owner == *first)
    }

    /// Whether a worker is kept free for a task.
    pub fn has(&self, first: &TaskId) -> bool {
        self.of_worker
            .values()
            .any(|reservation| reservation.owner == *first)
    }

    /// How many workers are kept free.
    pub fn len(&self) -> usize {
        self.of_worker.len()
    }

    /// Keeps a worker free for a task.
    pub fn add(&mut self, instance: String, owner: TaskId, now: Millis) {
        self.of_worker
            .insert(instance, Reservation { owner, since: now });
    }

    /// Drops those that have lost their purpose.
    pub fn review(&mut self, waiting: &HashSet<TaskId>, workers: &Workers, now: Millis) {
        self.of_worker.retain(|instance, reservation| {
            waiting.contains(&reservation.owner)
                && now < reservation.since + GIVE_UP_MS
                && workers
                    .get(instance)
                    .is_some_and(|worker| worker.takes_work(now))
        });
    }
}
