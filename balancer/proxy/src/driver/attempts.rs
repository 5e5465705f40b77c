//! Attempts in flight, from their send to the one end that counts. Owns no state.
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

/// How long the module lets an attempt take.
#[derive(Clone, Copy)]
pub(super) struct AttemptLimits {
    /// From its send to its response; zero: until the request's deadline.
    pub timeout: Millis,
    /// When it must not be written any more, on the module's clock.
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

/// An attempt that is about to be written.
struct Dispatch {
    id: AttemptId,
    target: Rc<Upstream>,
    outgoing: Rc<OutgoingRequest>,
    times: AttemptTimes,
}

impl Handle {
    /// Begins an attempt, or tells the module that it is moot.
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
        driver.note_attempt_began(id, upstream);
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

    /// Tells the module that an attempt has ended, unless an earlier end of it counts.
    pub(super) fn on_attempt_ended(&self, id: AttemptId, result: AttemptResult) {
        let event = self.0.driver.borrow_mut().end_attempt(id, result);
        if let Some(event) = event {
            self.feed(event);
        }
    }
}

impl Driver {
    /// Counts the attempt for its request. `None`: the request is not open, or the attempt is moot, which the module is
    /// told.
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
            // The first attempt follows the request at once: its client has waited while the program was stalled.
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

    /// Records the end of an attempt; only the first one counts. What still runs for it stops, and its connection
    /// is closed. The event is the module's one outcome for its send.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) -> Option<Event> {
        let attempt = self.attempts.remove(&id)?;
        attempt.task.abort();
        self.timers.cancel(attempt.timeout);
        self.forget_removed_upstream(attempt.upstream);
        let duration = attempt.sent_at.elapsed().as_secs_f64() * 1000.0;
        self.note_attempt_ended(id, result.ending, duration);
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

    /// Hands an attempt's response to the client and returns whether the request is answered or closed now.
    fn apply_attempt_result(&mut self, id: RequestId, response: Option<FinalResponse>) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return true;
        };
        open.attempts_in_flight -= 1;
        let mut is_served = false;
        if let Some(response) = response {
            if let Some(responder) = open.end() {
                is_served = true;
                // A client that disconnected in the same instant gets nothing; it is owed no response any more.
                let _ = responder.send(response);
            }
        }
        let is_closed = !open.is_unanswered();
        if is_served {
            self.note_request_ended(id, RequestOutcome::Served);
        }
        is_closed
    }

    /// Moves the timeouts of attempts that would last past this time to it.
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

/// Returns the times of an attempt on the runtime's clock.
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
    // An attempt that may not be written any more is over then, so that this bounds its dial as well.
    let write_within = (limits.write_by - now_ms).clamp(0.0, wait);
    AttemptTimes {
        write_by: now + Duration::from_secs_f64(write_within / 1000.0),
        until: now + Duration::from_secs_f64(wait / 1000.0),
    }
}
