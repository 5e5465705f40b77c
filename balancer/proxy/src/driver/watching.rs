//! What an operator is told of requests and attempts: figures and events. Owns no state.
use super::state::{Driver, Handle};
use crate::figures::{Ended as How, Figures, Now};
use balancer_core::{Availability, RequestId, UpstreamId};

impl Handle {
    /// The figures with what holds now, if anything is counted.
    pub(crate) fn figures<T>(&self, of: impl FnOnce(&Figures, Now) -> T) -> Option<T> {
        let d = self.0.driver.borrow();
        let ready = d
            .upstreams
            .values()
            .filter(|(_, a, _)| *a == Availability::Ready)
            .count() as u64;
        let listed = d
            .upstreams
            .values()
            .filter(|(_, a, _)| *a != Availability::Removed)
            .count() as u64;
        let open = d.open.values().filter(|o| o.reply.is_some()).count() as u64;
        let now = Now {
            at_ms: d.now(),
            up_ms: d.now() - d.start_ms,
            open,
            listed,
            ready,
        };
        d.figures.as_ref().map(|f| of(f, now))
    }
}

impl Driver {
    /// Whether anybody wants to know of single requests. Nothing is looked up or timed for it otherwise.
    pub(super) fn watched(&self) -> bool {
        self.figures.is_some()
            || tracing::enabled!(target: "requests", tracing::Level::DEBUG)
            || tracing::enabled!(target: "attempts", tracing::Level::DEBUG)
    }

    /// Counts and logs the end of a request.
    pub(super) fn note_ended(&mut self, id: RequestId, how: How) {
        if !self.watched() {
            return;
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let ms = open
            .taken
            .map_or(0.0, |at| at.elapsed().as_secs_f64() * 1000.0);
        tracing::debug!(target: "requests", event = "request_ended", request = open.out.id(), reason = how.name(), ms);
        if let Some(f) = &mut self.figures {
            f.ended(how, ms);
        }
    }

    /// Counts and logs the start of an attempt.
    pub(super) fn note_attempt(&mut self, id: RequestId, number: u32, to: UpstreamId) {
        if !self.watched() {
            return;
        }
        let (Some(open), Some((upstream, ..))) = (self.open.get(&id), self.upstreams.get(&to))
        else {
            return;
        };
        let (request, zone) = (open.out.id(), upstream.zone);
        let upstream = upstream.name.as_str();
        tracing::debug!(target: "attempts", event = "attempt_began", request, attempt = number, upstream, zone);
        if let Some(f) = &mut self.figures {
            f.attempt(zone);
        }
    }
}
