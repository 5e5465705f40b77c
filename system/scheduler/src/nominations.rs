//! Nominates workers for tasks that have preempted runs there, so that the freed capacity goes to no other task.
//!
//! The term comes from Kubernetes (`nominatedNodeName`). Reservations based on forecasts are in `backfill`.
use crate::worker::Workers;
use magpiegap_protocol::{Millis, TaskId};
use std::collections::HashMap;

/// Nominations expire after this time.
const NOMINATION_TIMEOUT_MS: Millis = 1200;

#[derive(Clone, Copy, Debug)]
struct Nomination {
    owner: TaskId,
    since: Millis,
}

/// Nominated workers and the tasks that they are nominated for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nominations {
    by_worker: HashMap<String, Nomination>,
}

impl Nominations {
    /// Whether nominations allow a task to be placed on a worker.
    pub(crate) fn allow(&self, incarnation: &str, first: &TaskId) -> bool {
        self.by_worker
            .get(incarnation)
            .is_none_or(|nomination| nomination.owner == *first)
    }

    /// Whether any worker is nominated for a task.
    pub(crate) fn has(&self, first: &TaskId) -> bool {
        self.by_worker
            .values()
            .any(|nomination| nomination.owner == *first)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_worker.len()
    }

    pub(crate) fn add(&mut self, incarnation: String, owner: TaskId, now: Millis) {
        self.by_worker
            .insert(incarnation, Nomination { owner, since: now });
    }

    /// Drops nominations that have expired, or whose task is no longer queued or whose worker is no longer schedulable.
    pub(crate) fn retain_valid(
        &mut self,
        is_queued: impl Fn(&TaskId) -> bool,
        workers: &Workers,
        now: Millis,
    ) {
        self.by_worker.retain(|incarnation, nomination| {
            is_queued(&nomination.owner)
                && now < nomination.since + NOMINATION_TIMEOUT_MS
                && workers
                    .get(incarnation)
                    .is_some_and(|worker| worker.is_schedulable(now))
        });
    }
}
