//! Clients: their requests, retries and responses.
use super::schedule::Step;
use super::TierSimulation;
use balancer_core::*;
use rand_core::RngCore;

/// Delay before a client's retry without advice, in milliseconds.
const UNADVISED_PAUSE: f64 = 100.0;

/// A client's request, over all its retries.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub class: usize,
    pub tenant: usize,
    pub tie: u64,
    pub started_at: f64,
    pub retries: u32,
}

/// A final response, as received by the client.
#[derive(Clone, Debug)]
pub(crate) struct ClientResponse {
    pub at: f64,
    pub instance: usize,
    pub request: ClientRequest,
    pub served: bool,
    pub retry_after: f64,
}

impl TierSimulation {
    /// Sends a request to a random live instance.
    pub(super) fn request(&mut self, request: ClientRequest) {
        let up: Vec<usize> = (0..self.instances.len())
            .filter(|&instance| self.instances[instance].up)
            .collect();
        let instance = up[self.rng.next_u64() as usize % up.len()];
        self.request_at(instance, request);
    }

    pub(crate) fn request_at(&mut self, instance: usize, request: ClientRequest) {
        self.sequence += 1;
        let id = RequestId(self.sequence as u32);
        let event = Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            deadline: self.deadline(&request),
            tie: request.tie,
        });
        let open = OpenRequest {
            request,
            attempts: 0,
        };
        self.instances[instance].open.insert(id, open);
        self.handle(instance, event);
    }

    pub(super) fn deadline(&self, request: &ClientRequest) -> f64 {
        request.started_at + self.settings.classes[request.class].deadline
    }

    pub(super) fn handle_refusal(&mut self, instance: usize, id: RequestId, retry_after: f64) {
        let Some(OpenRequest { request, .. }) = self.instances[instance].open.remove(&id) else {
            return;
        };
        self.responses.push(ClientResponse {
            at: self.now,
            instance,
            request: request.clone(),
            served: false,
            retry_after,
        });
        let pause = if retry_after > 0.0 {
            retry_after
        } else {
            UNADVISED_PAUSE
        };
        let has_time = self.now + pause < self.deadline(&request);
        if request.retries < self.max_retries && has_time {
            let retries = request.retries + 1;
            self.after(pause, Step::Retry(ClientRequest { retries, ..request }));
        }
    }
}

/// An open request at an instance.
pub(super) struct OpenRequest {
    pub request: ClientRequest,
    /// Number of attempts sent.
    pub attempts: u32,
}
