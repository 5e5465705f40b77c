//! What operators and anybody who asks are told: nothing that was confirmed is taken back, refused or shown as it was before.
use crate::{client::Order, oracle::Oracle};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId, JobPhase, Member};

/// A coordinator may hand out a configuration that was replaced this long ago, and not longer: it goes by contact of 0.6 s
/// ago, and learns of what is committed a moment later than the tail.
const OLD_FEED_MS: u64 = 1000;

impl Oracle {
    /// An order was confirmed.
    pub(crate) fn order_taken(&mut self, at: u64, order: &Order) {
        let (other, _) = self
            .told
            .taken
            .entry(order.version)
            .or_insert_with(|| (order.clone(), at));
        if other != order {
            self.report(
                at,
                format!(
                    "two configurations were confirmed under number {}",
                    order.version
                ),
            );
        }
        let beside = |(other, _): &(Order, u64)| other.base == order.base && other != order;
        if self.told.taken.values().any(beside) {
            self.report(
                at,
                format!(
                    "two configurations were confirmed on version {}",
                    order.base
                ),
            );
        }
        if self.told.refused.contains(order) {
            self.report(
                at,
                format!(
                    "configuration {} was refused and then confirmed",
                    order.version
                ),
            );
        }
    }

    /// An order was refused for good.
    pub(crate) fn order_refused(&mut self, at: u64, order: &Order, is_only_operator: bool) {
        let was_taken = self
            .told
            .taken
            .get(&order.version)
            .is_some_and(|(taken, _)| taken == order);
        if was_taken {
            self.report(
                at,
                format!(
                    "configuration {} was confirmed and then refused",
                    order.version
                ),
            );
        }
        if is_only_operator {
            self.report(
                at,
                format!(
                    "configuration {} was refused, and nobody else sends any",
                    order.version
                ),
            );
        }
        self.told.refused.insert(order.clone());
    }

    /// A configuration is in force.
    pub(crate) fn in_force(&mut self, at: u64, version: u64, body: &[u8]) {
        if self
            .told
            .refused
            .iter()
            .any(|order| order.version == version && order.body == body)
        {
            self.report(
                at,
                format!("configuration {version} was refused and is in force"),
            );
        }
    }

    /// Somebody who asked at a time is told something by a coordinator.
    pub(crate) fn observed(
        &mut self,
        now: u64,
        asked_at: u64,
        by: Member,
        request: &CoordinatorRequest,
        answer: &CoordinatorResponse,
    ) {
        match (request, answer) {
            (CoordinatorRequest::Poll(_), CoordinatorResponse::Feed(feed)) => {
                let least = self.told.newest_at(now.saturating_sub(OLD_FEED_MS));
                if feed.configuration_version < least {
                    let told = feed.configuration_version;
                    self.report(
                        now,
                        format!("{by} hands out configuration {told} long after {least}"),
                    );
                }
            }
            (CoordinatorRequest::Status { job, .. }, CoordinatorResponse::Phase(phase)) => {
                self.shown_phase(now, asked_at, by, *job, *phase);
            }
            (CoordinatorRequest::Status { job, .. }, CoordinatorResponse::NoSuchJob)
                if self
                    .accepted
                    .get(job)
                    .is_some_and(|since| *since < asked_at) =>
            {
                self.report(
                    now,
                    format!("{by} denies job {job}, which had been accepted"),
                );
            }
            _ => {}
        }
    }

    fn shown_phase(&mut self, now: u64, asked_at: u64, by: Member, job: JobId, phase: JobPhase) {
        if phase.is_terminal() {
            self.told.ended.entry(job).or_insert(now);
            return;
        }
        let ended = self.told.ended.get(&job).copied();
        let cancelled = self.cancelled.get(&job).copied();
        if ended
            .into_iter()
            .chain(cancelled)
            .any(|since| since < asked_at)
        {
            self.report(
                now,
                format!(
                    "{by} shows job {job} as {}, and it had ended",
                    phase.as_str()
                ),
            );
        }
    }
}
