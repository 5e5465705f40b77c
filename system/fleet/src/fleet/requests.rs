//! Sends the requests of clients, operators and observers to coordinators, and handles the responses.
use super::Fleet;
use crate::{
    client::{ConfigurationChange, ConfigurationShape},
    events::ProcessId,
    oracle::{Observation, OperatorCount},
    pending_requests::{OperatorRequest, Requester},
};
use magpiegap_coordinator::RequestId;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, FeedPoll, Role};
use rand::Rng;

/// Interval at which every coordinator is observed, in milliseconds.
const OBSERVE_INTERVAL_MS: u64 = 200;
/// Time between two requests of a client, in milliseconds.
const CLIENT_INTERVAL_MS: u64 = 250;

impl Fleet {
    /// Sends all requests that are due.
    pub(super) fn send_requests(&mut self) {
        self.send_changes();
        self.send_observations();
        for number in 0..self.clients.len() {
            let client = &self.clients[number];
            if self.now >= client.next_request_at && !client.is_finished() {
                self.send_client_request(number);
            }
        }
    }

    fn send_client_request(&mut self, number: usize) {
        let client = &mut self.clients[number];
        let request = client.next_request(self.now);
        client.next_request_at = self.now + CLIENT_INTERVAL_MS;
        self.oracle.job_requested(client.id());
        if matches!(request, CoordinatorRequest::Cancel { .. }) {
            self.oracle.job_cancel_requested(client.id());
        }
        let Some(node) = self.choose_coordinator(&request) else {
            return;
        };
        let is_submission = matches!(request, CoordinatorRequest::Submit(_));
        if is_submission && self.nodes[node].is_running(self.now) {
            self.clients[number].attempts += 1;
        }
        let requester = Requester::Client {
            number,
            request: request.clone(),
        };
        self.send_request(node, requester, request);
    }

    /// Sends the pending change of each operator to a random coordinator, until it is accepted or rejected.
    fn send_changes(&mut self) {
        for number in 0..self.operators.len() {
            if self.now >= self.operators[number].next_request_at {
                self.send_change(number);
            }
        }
    }

    fn send_change(&mut self, number: usize) {
        // After a rejection the operator bases its next change on the newest version.
        let base = self.newest_configuration_version();
        let shape = ConfigurationShape {
            padding: self.settings.configuration_bytes,
            routes: self.settings.configuration_routes,
            service_listing: self.settings.service_listing,
        };
        let operator = &mut self.operators[number];
        operator.next_request_at = self.now + self.settings.change_interval_ms;
        let change = operator
            .pending_change
            .get_or_insert_with(|| ConfigurationChange::new(number, base, shape))
            .clone();
        let request = CoordinatorRequest::ReplaceConfiguration {
            base: change.base,
            body: change.body.clone(),
        };
        let node = self.random.gen_range(0..self.nodes.len());
        let is_response_lost = self.random.gen_range(0..100) < self.settings.lost_responses_percent;
        let requester = Requester::Operator(OperatorRequest {
            operator: number,
            change,
            is_response_lost,
            requested_at: self.now,
        });
        self.send_request(node, requester, request);
    }

    /// The newest version that any coordinator has.
    fn newest_configuration_version(&self) -> u64 {
        self.configurations().into_iter().max().unwrap_or(0)
    }

    /// Requests the feed and the status of a random job from every coordinator.
    fn send_observations(&mut self) {
        if !self.now.is_multiple_of(OBSERVE_INTERVAL_MS) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.observe(node, CoordinatorRequest::Poll(FeedPoll::default()));
            if self.clients.is_empty() {
                continue;
            }
            let client = &self.clients[self.random.gen_range(0..self.clients.len())];
            let status = CoordinatorRequest::Status {
                queue: client.submission.queue.clone(),
                job: client.submission.job,
            };
            self.observe(node, status);
        }
    }

    fn observe(&mut self, node: usize, request: CoordinatorRequest) {
        let requester = Requester::Observer {
            request: request.clone(),
            requested_at: self.now,
        };
        self.send_request(node, requester, request);
    }

    /// Sends a request to a coordinator; the request is lost if the coordinator is not running.
    pub(super) fn send_request(
        &mut self,
        node: usize,
        requester: Requester,
        request: CoordinatorRequest,
    ) {
        if !self.nodes[node].is_running(self.now) {
            return;
        }
        let id = self.requests.insert(self.process(node), requester);
        self.with_coordinator(node, |coordinator, now, wall| {
            coordinator.handle_request(now, wall, id, request);
        });
    }

    /// Chooses the coordinator for a request, according to the view of a random coordinator.
    fn choose_coordinator(&mut self, request: &CoordinatorRequest) -> Option<usize> {
        let known_by = self.random.gen_range(0..self.nodes.len());
        let coordinator = self.nodes[known_by].coordinator.as_ref()?;
        let address = match request {
            CoordinatorRequest::Submit(submission) => {
                let role = Role::Scheduler(submission.service.clone());
                coordinator.state().roles.get(&role)?.holder.member.address
            }
            _ => coordinator.replica().view().tail()?.member.address,
        };
        self.nodes.iter().position(|node| node.address == address)
    }

    /// Delivers a coordinator's response to its requester.
    pub(super) fn handle_response(
        &mut self,
        process: ProcessId,
        request: RequestId,
        response: &CoordinatorResponse,
    ) {
        let Some(requester) = self.requests.remove(process, request) else {
            return;
        };
        match requester {
            Requester::Client { number, request } => {
                self.handle_client_response(number, &request, response);
            }
            Requester::Operator(request) => self.handle_change_response(&request, response),
            Requester::Edge { number, call } => self.handle_edge_response(number, call, response),
            Requester::Observer {
                request,
                requested_at,
            } => {
                let observation = Observation {
                    requested_at,
                    responder: self.nodes[process.node].member,
                    request: &request,
                    response,
                };
                self.oracle.observed(self.now, observation);
            }
        }
    }

    fn handle_client_response(
        &mut self,
        number: usize,
        request: &CoordinatorRequest,
        response: &CoordinatorResponse,
    ) {
        let client = &mut self.clients[number];
        client.handle_response(request, response);
        if client.rejected {
            self.oracle.job_rejected(client.id());
        }
        if client.cancelled {
            self.oracle.job_cancelled(self.now, client.id());
        }
        if client.accepted {
            self.oracle.job_accepted(self.now, client.id());
        }
        match response {
            CoordinatorResponse::Phase(phase) => {
                self.oracle.phase_reported(self.now, client, Some(*phase));
            }
            CoordinatorResponse::NoSuchJob => self.oracle.phase_reported(self.now, client, None),
            _ => {}
        }
    }

    /// Checks a coordinator's response to a change, and delivers it to the operator unless it is lost.
    fn handle_change_response(
        &mut self,
        request: &OperatorRequest,
        response: &CoordinatorResponse,
    ) {
        let elapsed_ms = self.now - request.requested_at;
        self.longest_change_ms = self.longest_change_ms.max(elapsed_ms);
        let change = &request.change;
        match response {
            CoordinatorResponse::ConfigurationAccepted => {
                self.oracle.change_accepted(self.now, change);
            }
            CoordinatorResponse::ConfigurationConflict
            | CoordinatorResponse::ConfigurationStale => {
                let operators = match self.operators.len() {
                    1 => OperatorCount::One,
                    _ => OperatorCount::Several,
                };
                self.oracle.change_rejected(self.now, change, operators);
            }
            _ => return,
        }
        let operator = &mut self.operators[request.operator];
        if !request.is_response_lost && operator.pending_change.as_ref() == Some(change) {
            operator.pending_change = None;
        }
    }
}
