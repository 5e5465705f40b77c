//! Lets clients and the operator ask, and takes their answers.
use crate::{client::configuration, events::Asker, fleet::Fleet};
use magpiegap_coordinator::RequestId;
use magpiegap_protocol::{CoordinatorAnswer, CoordinatorRequest, Role};
use rand::Rng;

impl Fleet {
    pub(crate) fn ask(&mut self) {
        self.ask_as_operator();
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
                self.ask_node(node, Asker::Client(number, request.clone()), request);
            }
        }
    }

    pub(crate) fn ask_as_operator(&mut self) {
        if self.now < self.operator.next_at {
            return;
        }
        self.operator.next_at = self.now + 400;
        let version = self.operator.acknowledged + 1;
        self.operator.sent = self.operator.sent.max(version);
        let body = configuration(version);
        let request = CoordinatorRequest::ReplaceConfiguration { base: version - 1, version, body };
        let node = self.random.gen_range(0..self.nodes.len());
        self.ask_node(node, Asker::Operator(version), request);
    }

    pub(crate) fn ask_node(&mut self, node: usize, asker: Asker, request: CoordinatorRequest) {
        if !self.nodes[node].runs(self.now) {
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        self.requests.insert((node, self.nodes[node].life, id), asker);
        self.with_node(node, None, |coordinator, now, wall| coordinator.request(now, wall, id, request));
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
        answer: &CoordinatorAnswer,
    ) {
        match self.requests.remove(&(node, life, request)) {
            Some(Asker::Client(number, asked)) => {
                let client = &mut self.clients[number];
                client.take(&asked, answer);
                let (id, tasks, spec) = (client.id(), client.tasks(), &client.submission.spec);
                if client.cancelled {
                    self.oracle.cancelled.entry(id).or_insert(self.now);
                }
                if client.accepted {
                    self.oracle.accepted.entry(id).or_insert(self.now);
                }
                match answer {
                    CoordinatorAnswer::Phase(phase) => {
                        self.oracle.shown(self.now, id, Some(*phase), &tasks, spec);
                    }
                    CoordinatorAnswer::NoSuchJob => self.oracle.shown(self.now, id, None, &tasks, spec),
                    _ => {}
                }
            }
            Some(Asker::Operator(version)) => self.operator_answered(version, answer),
            None => {}
        }
    }

    pub(crate) fn operator_answered(&mut self, version: u64, answer: &CoordinatorAnswer) {
        match answer {
            CoordinatorAnswer::ConfigurationTaken => {
                self.operator.acknowledged = self.operator.acknowledged.max(version);
            }
            CoordinatorAnswer::ConfigurationConflict | CoordinatorAnswer::ConfigurationStale => {
                self.oracle.report(
                    self.now,
                    format!("configuration {version} was refused, and nobody else sends any"),
                );
            }
            _ => {}
        }
    }
}
