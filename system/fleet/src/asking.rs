//! Lets clients and the operator ask, and takes their answers.
use crate::{
    client::{ConfigurationSize, Order},
    events::Asker,
    fleet::Fleet,
};
use magpiegap_coordinator::RequestId;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, FeedPoll, Role, WallMillis};
use rand::Rng;

/// How often every coordinator is asked for what it would tell anybody, in milliseconds.
const OBSERVE_EVERY_MS: u64 = 200;

impl Fleet {
    pub(crate) fn ask(&mut self) {
        self.ask_as_operators();
        self.ask_as_observer();
        for number in 0..self.clients.len() {
            let client = &self.clients[number];
            if self.now < client.next_at || client.is_over() {
                continue;
            }
            let request = client.request(self.now);
            let id = client.id();
            self.clients[number].next_at = self.now + 250;
            self.oracle.asked.insert(id);
            if matches!(request, CoordinatorRequest::Cancel { .. }) {
                self.oracle.asked_to_cancel.insert(id);
            }
            if let Some(node) = self.whom_to_ask(&request) {
                let is_submission = matches!(request, CoordinatorRequest::Submit(_));
                self.clients[number].tries +=
                    u32::from(is_submission && self.nodes[node].runs(self.now));
                self.ask_node(node, Asker::Client(number, request.clone()), request);
            }
        }
    }

    /// Each operator sends its order to some coordinator, until it has a clear answer.
    pub(crate) fn ask_as_operators(&mut self) {
        for number in 0..self.operators.len() {
            if self.now < self.operators[number].next_at {
                continue;
            }
            self.operators[number].next_at = self.now + self.settings.order_every_ms;
            let base = self.newest_configuration();
            let size = ConfigurationSize {
                padding: self.settings.configuration_bytes,
                routes: self.settings.configuration_routes,
            };
            let order = self.operators[number]
                .order
                .take()
                .unwrap_or_else(|| Order::new(number, base, size));
            self.operators[number].order = Some(order.clone());
            let Order { base, body, .. } = order.clone();
            let request = CoordinatorRequest::ReplaceConfiguration { base, body };
            let node = self.random.gen_range(0..self.nodes.len());
            let is_lost = self.random.gen_range(0..100) < self.settings.lost_answers_percent;
            self.ask_node(
                node,
                Asker::Operator {
                    number,
                    order,
                    is_lost,
                    at: self.now,
                },
                request,
            );
        }
    }

    /// The newest version that any coordinator has: an operator that was refused looks what to build on.
    fn newest_configuration(&self) -> u64 {
        self.configurations().into_iter().max().unwrap_or(0)
    }

    /// Asks every coordinator for the feed and for the state of some job.
    pub(crate) fn ask_as_observer(&mut self) {
        if !self.now.is_multiple_of(OBSERVE_EVERY_MS) {
            return;
        }
        for node in 0..self.nodes.len() {
            let poll = CoordinatorRequest::Poll(FeedPoll::default());
            self.ask_node(
                node,
                Asker::Observer {
                    request: poll.clone(),
                    at: self.now,
                },
                poll,
            );
            if self.clients.is_empty() {
                continue;
            }
            let submission = &self.clients[self.random.gen_range(0..self.clients.len())].submission;
            let status = CoordinatorRequest::Status {
                queue: submission.queue.clone(),
                job: submission.job,
            };
            self.ask_node(
                node,
                Asker::Observer {
                    request: status.clone(),
                    at: self.now,
                },
                status,
            );
        }
    }

    pub(crate) fn ask_node(&mut self, node: usize, asker: Asker, request: CoordinatorRequest) {
        if !self.nodes[node].runs(self.now) {
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        self.requests
            .insert((node, self.nodes[node].life, id), asker);
        self.with_node(node, None, |coordinator, now, wall| {
            coordinator.handle_request(now, WallMillis(wall), id, request)
        });
    }

    /// The coordinator to ask, as some coordinator that runs has it.
    pub(crate) fn whom_to_ask(&mut self, request: &CoordinatorRequest) -> Option<usize> {
        let some = self.random.gen_range(0..self.nodes.len());
        let coordinator = self.nodes[some].coordinator.as_ref()?;
        let address = match request {
            CoordinatorRequest::Submit(submission) => {
                let role = Role::Scheduler(submission.service.clone());
                coordinator.state().roles.get(&role)?.holder.member.address
            }
            _ => coordinator.replica().view().tail()?.member.address,
        };
        self.nodes.iter().position(|node| node.address == address)
    }

    pub(crate) fn answered(
        &mut self,
        node: usize,
        life: u64,
        request: RequestId,
        answer: &CoordinatorResponse,
    ) {
        match self.requests.remove(&(node, life, request)) {
            Some(Asker::Client(number, asked)) => {
                let client = &mut self.clients[number];
                client.take(&asked, answer);
                if client.rejected {
                    self.oracle.rejected.insert(client.id());
                }
                let (id, tasks, spec) = (client.id(), client.tasks(), &client.submission.spec);
                if client.cancelled {
                    self.oracle.cancelled.entry(id).or_insert(self.now);
                }
                if client.accepted {
                    self.oracle.accepted.entry(id).or_insert(self.now);
                }
                match answer {
                    CoordinatorResponse::Phase(phase) => {
                        self.oracle.shown(self.now, id, Some(*phase), &tasks, spec);
                    }
                    CoordinatorResponse::NoSuchJob => {
                        self.oracle.shown(self.now, id, None, &tasks, spec)
                    }
                    _ => {}
                }
            }
            Some(Asker::Operator {
                number,
                order,
                is_lost,
                at,
            }) => {
                self.longest_order_ms = self.longest_order_ms.max(self.now - at);
                self.operator_answered(number, order, answer, is_lost);
            }
            Some(Asker::Edge { number, id }) => self.answered_edge(number, id, answer),
            Some(Asker::Observer { request, at }) => {
                self.oracle
                    .observed(self.now, at, self.nodes[node].member, &request, answer);
            }
            None => {}
        }
    }

    /// What an operator is told, whether or not the answer reaches it.
    fn operator_answered(
        &mut self,
        number: usize,
        order: Order,
        answer: &CoordinatorResponse,
        is_lost: bool,
    ) {
        match answer {
            CoordinatorResponse::ConfigurationAccepted => self.oracle.order_taken(self.now, &order),
            CoordinatorResponse::ConfigurationConflict
            | CoordinatorResponse::ConfigurationStale => {
                self.oracle
                    .order_refused(self.now, &order, self.operators.len() == 1);
            }
            _ => return,
        }
        if !is_lost && self.operators[number].order.as_ref() == Some(&order) {
            self.operators[number].order = None;
        }
    }
}
