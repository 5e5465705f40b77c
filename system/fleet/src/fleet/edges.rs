//! Drives the agents of the edges, and checks the configurations that are active there.
use super::Fleet;
use crate::{edge::Edge, pending_requests::Requester};
use magpiegap_distribution::{Call, CallFailure, CallId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::CoordinatorResponse;

impl Fleet {
    /// The active configuration version of each edge.
    pub fn edge_versions(&self) -> Vec<u64> {
        self.edges.iter().map(Edge::version).collect()
    }

    /// The edges whose active configuration differs from a coordinator's configuration of the same version.
    pub fn edges_with_mismatched_configuration(&self) -> Vec<usize> {
        let known: Vec<Configuration> = self
            .coordinators()
            .filter_map(|coordinator| {
                Configuration::parse(&coordinator.state().configuration.body).ok()
            })
            .collect();
        let is_mismatched = |edge: &Edge| {
            let same_version = known.iter().find(|known| known.version == edge.version());
            same_version.is_some_and(|known| known != edge.configuration())
        };
        (0..self.edges.len())
            .filter(|number| is_mismatched(&self.edges[*number]))
            .collect()
    }

    /// Delivers arrived responses to the agents, and starts the calls that the agents request.
    pub(super) fn run_edges(&mut self) {
        for number in 0..self.edges.len() {
            let now = self.now;
            let edge = &mut self.edges[number];
            edge.on_timeout(now);
            for call in edge.agent.poll_calls(now) {
                self.call_from_edge(number, call);
            }
            self.check_edge(number);
        }
    }

    fn call_from_edge(&mut self, number: usize, call: Call) {
        let id = call.id;
        let request = call.request.clone();
        let listener = self
            .nodes
            .iter()
            .position(|node| node.address == call.coordinator)
            .filter(|node| self.nodes[*node].coordinator.is_some());
        let edge = &mut self.edges[number];
        let Some(node) = listener else {
            edge.agent
                .handle_outcome(self.now, id, Err(CallFailure::NotConnected));
            return;
        };
        edge.start_call(call, self.now);
        self.send_request(node, Requester::Edge { number, call: id }, request);
    }

    /// Queues a coordinator's response on the edge's link.
    pub(super) fn handle_edge_response(
        &mut self,
        number: usize,
        call: CallId,
        response: &CoordinatorResponse,
    ) {
        let bytes_per_second = self.settings.edge_bytes_per_second;
        self.edges[number].queue_response(call, response.clone(), self.now, bytes_per_second);
    }

    /// Checks that an edge never reverts to an older configuration.
    fn check_edge(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        let version = edge.version();
        let newest = edge.newest_version;
        edge.newest_version = newest.max(version);
        if version < newest {
            self.oracle.report(
                self.now,
                format!("edge {number} reverted from configuration {newest} to {version}"),
            );
        }
    }
}
