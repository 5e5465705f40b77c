//! Open requests, from their receipt to their final response. Owns no state.
use super::state::{Driver, Handle, OpenRequest};
use crate::message::{FinalResponse, OutgoingRequest};
use crate::metrics::RequestOutcome;
use balancer_core::{Event, Millis, Request, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time reserved for the final response to reach the client before its timeout, in milliseconds.
const RESPONSE_MARGIN: Millis = 5.0;

/// A complete request from a client.
pub(crate) struct ReceivedRequest {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The client's timeout.
    pub timeout: Millis,
    /// The request to forward.
    pub outgoing: OutgoingRequest,
}

/// A request that waits for its final response. Dropping it reports to the module that the client has disconnected.
pub(crate) struct PendingResponse {
    handle: Handle,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    is_done: bool,
}

impl PendingResponse {
    /// Waits for the final response.
    pub(crate) async fn response(mut self) -> FinalResponse {
        let response = (&mut self.response).await;
        self.is_done = true;
        response.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.is_done {
            self.handle.handle_client_disconnected(self.id);
        }
    }
}

impl Handle {
    /// Selects the tenant to evict a connection of, given the connection count of each tenant.
    pub(crate) fn tenant_to_evict(&self, connections: &[u32]) -> Option<usize> {
        self.0
            .driver
            .borrow()
            .balancer
            .tenant_furthest_over_share(connections)
    }

    /// Returns the number of requests without a final response.
    pub(crate) fn unanswered(&self) -> usize {
        self.0.driver.borrow().unanswered()
    }

    /// Accepts a request, which then gets exactly one final response. Returns `None` if too many requests are open.
    pub(crate) fn handle_request(&self, received: ReceivedRequest) -> Option<PendingResponse> {
        let (responder, response) = oneshot::channel();
        let request = self
            .0
            .driver
            .borrow_mut()
            .open_request(received, responder)?;
        let id = request.id;
        self.feed(Event::Request(request));
        Some(PendingResponse {
            handle: self.clone(),
            id,
            response,
            is_done: false,
        })
    }

    /// Limits the deadlines of all open and future requests, so that each has its final response by `end`.
    pub(crate) fn shut_down_by(&self, end: Instant) {
        let at = end - Duration::from_secs_f64(RESPONSE_MARGIN / 1000.0);
        let deadline = self.0.driver.borrow_mut().shut_down_by(at);
        self.feed(Event::EndBy(deadline));
        self.0.timers_changed.notify_one();
    }

    fn handle_client_disconnected(&self, id: RequestId) {
        {
            let mut driver = self.0.driver.borrow_mut();
            // The request has just been answered, and the module has already ended it.
            let open = driver.open.get_mut(&id);
            if open.and_then(OpenRequest::end).is_none() {
                return;
            }
            driver.record_request_ended(id, RequestOutcome::ClientDisconnected);
            driver.forget_request(id);
        }
        self.feed(Event::ClientDisconnected(id));
    }
}

impl Driver {
    /// Opens a request, unless too many are open, and returns its description for the module.
    fn open_request(
        &mut self,
        received: ReceivedRequest,
        responder: oneshot::Sender<FinalResponse>,
    ) -> Option<Request> {
        if let Some(metrics) = &mut self.metrics {
            metrics.request_received();
        }
        if self.open.len() >= self.max_open {
            if let Some(metrics) = &mut self.metrics {
                metrics.request_ended(RequestOutcome::TooManyOpen, 0.0);
            }
            return None;
        }
        let id = self.next_request_id();
        let (class, tenant) = (received.class, received.tenant);
        let own_deadline = self.now() + (received.timeout - RESPONSE_MARGIN).max(0.0);
        let deadline = self
            .shutdown_deadline
            .map_or(own_deadline, |shutdown| own_deadline.min(shutdown));
        let outgoing = received.outgoing;
        tracing::debug!(target: "requests", event = "request_taken", request = outgoing.id(), class, tenant);
        let tie = outgoing.tie_breaker();
        let open = OpenRequest {
            responder: Some(responder),
            received_at: self.observes_requests().then(Instant::now),
            outgoing: Rc::new(outgoing),
            deadline,
            attempts_sent: 0,
            attempts_in_flight: 0,
        };
        self.open.insert(id, open);
        Some(Request {
            id,
            class,
            tenant,
            deadline,
            tie,
        })
    }

    /// Returns an unused request id.
    fn next_request_id(&mut self) -> RequestId {
        while self.open.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        id
    }

    /// Limits all deadlines to `at`, and returns that time on the module's clock.
    fn shut_down_by(&mut self, at: Instant) -> Millis {
        let after_start = at.saturating_duration_since(self.start);
        let deadline = self.start_ms + after_start.as_secs_f64() * 1000.0;
        for request in self.open.values_mut() {
            request.deadline = request.deadline.min(deadline);
        }
        self.limit_attempts(at);
        self.shutdown_deadline = Some(deadline);
        self.persist_learned();
        deadline
    }

    /// Sends a request its final response, unless it has one.
    pub(super) fn respond(
        &mut self,
        id: RequestId,
        response: FinalResponse,
        outcome: RequestOutcome,
    ) {
        if let Some(responder) = self.open.get_mut(&id).and_then(OpenRequest::end) {
            // Fails if the client has just disconnected; it needs no response then.
            let _ = responder.send(response);
            self.record_request_ended(id, outcome);
        }
        self.forget_request(id);
    }

    /// Drops a request that is answered and has no attempt in flight.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        let is_done = self
            .open
            .get(&id)
            .is_some_and(|open| !open.is_unanswered() && open.attempts_in_flight == 0);
        if is_done {
            self.open.remove(&id);
        }
    }
}
