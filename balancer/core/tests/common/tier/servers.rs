//! Servers with concurrent slots and a queue, and their calls in flight.
use super::schedule::Step;
use super::{ClientResponse, SentAttempt, TierSimulation, MAX_QUEUE, SERVICE_TIME, SLOTS};
use balancer_core::*;
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct Server {
    pub busy: usize,
    pub queue: VecDeque<u64>,
}

/// An attempt in flight.
pub(super) struct Call {
    pub instance: usize,
    pub request: RequestId,
    pub attempt: u32,
    pub sent_at: f64,
}

impl TierSimulation {
    /// Starts queued calls while the server has free slots.
    pub(super) fn start_queued_calls(&mut self, server: usize) {
        let slowness = (self.slowness)(server, self.now);
        while slowness.is_finite() && self.servers[server].busy < SLOTS {
            let Some(call) = self.servers[server].queue.pop_front() else {
                break;
            };
            self.servers[server].busy += 1;
            let service_time = SERVICE_TIME * slowness * (0.5 + self.random_unit());
            self.after(service_time, Step::Completion { server, call });
        }
    }

    /// Reports the outcome of a call to its instance. The server still completes its work on the call.
    pub(super) fn end_call(&mut self, call: u64, ending: Ending) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        let closed = ending == Ending::Ok;
        let open = self.instances[call.instance].open.get(&call.request);
        let request = open.map(|open| open.request.clone());
        let outcome = Event::Outcome {
            request: call.request,
            attempt: call.attempt,
            ending,
            duration: self.now - call.sent_at,
            closed,
        };
        self.handle(call.instance, outcome);
        if let Some(request) = request.filter(|_| closed) {
            self.instances[call.instance].open.remove(&call.request);
            self.responses.push(ClientResponse {
                at: self.now,
                instance: call.instance,
                request,
                served: true,
                retry_after: 0.0,
            });
        }
    }

    pub(super) fn send(
        &mut self,
        instance: usize,
        id: RequestId,
        upstream: UpstreamId,
        timeout: f64,
    ) {
        let server = upstream.0 as usize;
        let open = self.instances[instance].open.get_mut(&id);
        let open = open.expect("an open request");
        let attempt = open.attempts;
        open.attempts += 1;
        let request = open.request.clone();
        let left = self.deadline(&request) - self.now;
        self.sends.push(SentAttempt {
            at: self.now,
            upstream,
            attempt,
        });
        self.sequence += 1;
        let call = self.sequence;
        self.calls.insert(
            call,
            Call {
                instance,
                request: id,
                attempt,
                sent_at: self.now,
            },
        );
        let timeout = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        self.after(timeout.max(0.0), Step::Timeout { call });
        let responds = (self.slowness)(server, self.now).is_finite();
        if responds && self.servers[server].queue.len() >= MAX_QUEUE {
            return self.end_call(call, Ending::Rejected);
        }
        self.servers[server].queue.push_back(call);
        self.start_queued_calls(server);
    }
}
