//! Metrics and log events of requests and attempts. Owns no state.
use super::state::{AttemptId, Driver, Handle};
use crate::metrics::{attempt_outcome_name, Gauges, Metrics, RequestOutcome};
use balancer_core::{Availability, Ending, RequestId, UpstreamId};

impl Handle {
    /// Calls `read` with the counters and the current gauges, if metrics are on.
    pub(crate) fn with_metrics<T>(&self, read: impl FnOnce(&Metrics, Gauges) -> T) -> Option<T> {
        let driver = self.0.driver.borrow();
        let metrics = driver.metrics.as_ref()?;
        Some(read(metrics, driver.gauges()))
    }
}

impl Driver {
    fn gauges(&self) -> Gauges {
        let count = |counts: fn(Availability) -> bool| {
            let counted = self
                .upstreams
                .values()
                .filter(|known| counts(known.availability));
            counted.count() as u64
        };
        Gauges {
            at_ms: self.now(),
            up_ms: self.now() - self.start_ms,
            open: self.unanswered() as u64,
            listed: count(|availability| availability != Availability::Removed),
            ready: count(|availability| availability == Availability::Ready),
        }
    }

    /// Whether individual requests are counted or logged. If not, the lookups and timestamps for that are skipped.
    pub(super) fn observes_requests(&self) -> bool {
        self.metrics.is_some()
            || tracing::enabled!(target: "requests", tracing::Level::DEBUG)
            || tracing::enabled!(target: "attempts", tracing::Level::DEBUG)
    }

    /// Counts and logs the end of a request.
    pub(super) fn record_request_ended(&mut self, id: RequestId, outcome: RequestOutcome) {
        if !self.observes_requests() {
            return;
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let ms = open
            .received_at
            .map_or(0.0, |at| at.elapsed().as_secs_f64() * 1000.0);
        tracing::debug!(target: "requests", event = "request_ended", request = open.outgoing.id(), reason = outcome.name(), ms);
        if let Some(metrics) = &mut self.metrics {
            metrics.request_ended(outcome, ms);
        }
    }

    /// Counts and logs the start of an attempt.
    pub(super) fn record_attempt_began(&mut self, id: AttemptId, upstream: UpstreamId) {
        if !self.observes_requests() {
            return;
        }
        let (Some(open), Some(known)) = (self.open.get(&id.request), self.upstreams.get(&upstream))
        else {
            return;
        };
        let (request, zone) = (open.outgoing.id(), known.upstream.zone);
        let upstream = known.upstream.name.as_str();
        tracing::debug!(target: "attempts", event = "attempt_began", request, attempt = id.number, upstream, zone);
        if let Some(metrics) = &mut self.metrics {
            metrics.attempt_began(zone);
        }
    }

    /// Counts and logs the end of an attempt that took `ms` milliseconds.
    pub(super) fn record_attempt_ended(&mut self, id: AttemptId, ending: Ending, ms: f64) {
        if let Some(metrics) = &mut self.metrics {
            metrics.attempt_ended(ending, ms);
        }
        if self.observes_requests() {
            let open = self.open.get(&id.request);
            let request = open.map_or("", |open| open.outgoing.id());
            let reason = attempt_outcome_name(ending);
            tracing::debug!(target: "attempts", event = "attempt_ended", request, attempt = id.number, reason, ms);
        }
    }
}
