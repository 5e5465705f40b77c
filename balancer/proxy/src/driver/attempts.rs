//! Attempts in flight, from their start to the first result. Owns no state.
use super::state::{Attempt, AttemptId, Driver, Handle};
use super::timers::Timer;
use crate::message::{FinalResponse, OutgoingRequest};
use crate::metrics::RequestOutcome;
use crate::upstreams::{AttemptTimes, Upstream};
use balancer_core::{Ending, Event, Millis, RequestId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time limits that the module sets for an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptLimits {
    /// Maximum time until the response; zero: until the request's deadline.
    pub timeout: Millis,
    /// When the write must have begun, on the module's clock.
    pub write_by: Millis,
}

/// How an attempt ended.
pub(super) struct AttemptResult {
    ending: Ending,
    response: Option<FinalResponse>,
}

impl AttemptResult {
    /// Creates a result without a response.
    pub(super) fn of(ending: Ending) -> AttemptResult {
        AttemptResult {
            ending,
            response: None,
        }
    }
}

/// An attempt that is ready to start.
struct Dispatch {
    id: AttemptId,
    target: Rc<Upstream>,
    outgoing: Rc<OutgoingRequest>,
    times: AttemptTimes,
}

impl Handle {
    /// Starts an attempt, or reports to the module that it is no longer possible.
    pub(super) fn send(
        &self,
        driver: &mut Driver,
        request: RequestId,
        upstream: UpstreamId,
        limits: AttemptLimits,
    ) {
        let now = Instant::now();
        let Some(dispatch) = driver.prepare_attempt(now, request, upstream, limits) else {
            return;
        };
        let id = dispatch.id;
        let until = dispatch.times.until;
        let needs_socket = dispatch.target.oldest_idle().is_none();
        if needs_socket && driver.transport.sockets.is_exhausted() {
            driver.free_socket();
        }
        let task = self.spawn_attempt(driver, upstream, dispatch);
        let timeout = driver.timers.set(until, Timer::Attempt(id));
        driver.record_attempt_began(id, upstream);
        let attempt = Attempt {
            upstream,
            sent_at: now,
            task,
            timeout,
        };
        driver.attempts.insert(id, attempt);
        self.0.timers_changed.notify_one();
    }

    fn spawn_attempt(
        &self,
        driver: &Driver,
        upstream: UpstreamId,
        dispatch: Dispatch,
    ) -> AbortHandle {
        let (transport, handle) = (driver.transport.clone(), self.clone());
        let task = tokio::task::spawn_local(async move {
            let outcome = transport
                .attempt(dispatch.target, dispatch.outgoing, dispatch.times)
                .await;
            if let Some(in_flight) = outcome.in_flight {
                handle.feed(Event::Load {
                    upstream,
                    in_flight,
                });
            }
            if let Some(per_s) = outcome.served_per_s {
                handle.feed(Event::Served { upstream, per_s });
            }
            let result = AttemptResult {
                ending: outcome.ending,
                response: outcome.response,
            };
            handle.on_attempt_ended(dispatch.id, result);
        });
        task.abort_handle()
    }

    /// Reports the end of an attempt to the module, unless it has already ended.
    pub(super) fn on_attempt_ended(&self, id: AttemptId, result: AttemptResult) {
        let event = self.0.driver.borrow_mut().end_attempt(id, result);
        if let Some(event) = event {
            self.feed(event);
        }
    }
}

impl Driver {
    /// Counts the attempt for its request. Returns `None` if the request is not open, or if the attempt is no longer
    /// possible; the latter is reported to the module.
    fn prepare_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        upstream: UpstreamId,
        limits: AttemptLimits,
    ) -> Option<Dispatch> {
        let now_ms = self.now();
        let stalled_ms = self.timers.stalled_for(now).as_secs_f64() * 1000.0;
        let open = self.open.get_mut(&request)?;
        let id = AttemptId::new(request, open.attempts_sent);
        if id.number == 0 {
            // The first attempt follows the request immediately, so the client waited for the duration of the stall.
            open.deadline -= stalled_ms;
        }
        open.attempts_sent += 1;
        let target = self
            .upstreams
            .get(&upstream)
            .map(|known| known.upstream.clone());
        let (Some(target), true) = (target, open.is_unanswered()) else {
            let closed = !open.is_unanswered();
            self.events.push_back(Event::Outcome {
                request,
                attempt: id.number,
                ending: Ending::NotSent,
                duration: 0.0,
                closed,
            });
            return None;
        };
        open.attempts_in_flight += 1;
        Some(Dispatch {
            id,
            target,
            outgoing: open.outgoing.clone(),
            times: attempt_times(now, now_ms, open.deadline, limits),
        })
    }

    /// Records the end of an attempt; only the first result counts. Aborts its task, which closes the connection unless
    /// it was returned to the pool. Returns the only outcome event for this attempt.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) -> Option<Event> {
        let attempt = self.attempts.remove(&id)?;
        attempt.task.abort();
        self.timers.cancel(attempt.timeout);
        self.forget_removed_upstream(attempt.upstream);
        let duration = attempt.sent_at.elapsed().as_secs_f64() * 1000.0;
        self.record_attempt_ended(id, result.ending, duration);
        let closed = self.apply_attempt_result(id.request, result.response);
        self.forget_request(id.request);
        Some(Event::Outcome {
            request: id.request,
            attempt: id.number,
            ending: result.ending,
            duration,
            closed,
        })
    }

    /// Sends an attempt's response to the client and returns whether the request is now answered or closed.
    fn apply_attempt_result(&mut self, id: RequestId, response: Option<FinalResponse>) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return true;
        };
        open.attempts_in_flight -= 1;
        let mut is_served = false;
        if let Some(response) = response {
            if let Some(responder) = open.end() {
                is_served = true;
                // Fails if the client has just disconnected; it needs no response then.
                let _ = responder.send(response);
            }
        }
        let is_closed = !open.is_unanswered();
        if is_served {
            self.record_request_ended(id, RequestOutcome::Served);
        }
        is_closed
    }

    /// Limits the timeouts of all attempts to `at`.
    pub(super) fn limit_attempts(&mut self, at: Instant) {
        let late = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.timeout.at > at)
            .map(|(&id, _)| id);
        for id in late.collect::<Vec<_>>() {
            let timeout = self.timers.set(at, Timer::Attempt(id));
            if let Some(attempt) = self.attempts.get_mut(&id) {
                let previous = std::mem::replace(&mut attempt.timeout, timeout);
                self.timers.cancel(previous);
            }
        }
    }
}

/// Converts the limits of an attempt to the runtime's clock.
fn attempt_times(
    now: Instant,
    now_ms: Millis,
    deadline: Millis,
    limits: AttemptLimits,
) -> AttemptTimes {
    let left = (deadline - now_ms).max(0.0);
    let wait = if limits.timeout > 0.0 {
        limits.timeout.min(left)
    } else {
        left
    };
    // The attempt ends if the write has not begun by then, so this also bounds the time to connect.
    let write_within = (limits.write_by - now_ms).clamp(0.0, wait);
    AttemptTimes {
        write_by: now + Duration::from_secs_f64(write_within / 1000.0),
        until: now + Duration::from_secs_f64(wait / 1000.0),
    }
}
