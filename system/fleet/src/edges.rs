//! Lets the edges of the fleet ask, and watches what is in force there.
use crate::{edge::Edge, events::Asker, fleet::Fleet};
use magpiegap_distribution::{Call, CallFailure, CallId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::CoordinatorResponse;

impl Fleet {
    /// Lets the agents ask, and take what has come.
    pub(crate) fn run_edges(&mut self) {
        for number in 0..self.edges.len() {
            let now = self.now;
            let edge = &mut self.edges[number];
            edge.end_calls(now);
            for call in edge.agent.poll_calls(now) {
                self.call_from_edge(number, call);
            }
            self.watch_edge(number);
        }
    }

    fn call_from_edge(&mut self, number: usize, call: Call) {
        let (id, request) = (call.id, call.request.clone());
        let at = self
            .nodes
            .iter()
            .position(|node| node.address == call.coordinator);
        let Some(node) = at.filter(|node| self.nodes[*node].coordinator.is_some()) else {
            // Nobody listens there.
            self.edges[number]
                .agent
                .handle_outcome(self.now, id, Err(CallFailure::NotConnected));
            return;
        };
        self.edges[number].begin(call, self.now);
        self.ask_node(node, Asker::Edge { number, id }, request);
    }

    /// A coordinator has answered an agent.
    pub(crate) fn answered_edge(
        &mut self,
        number: usize,
        id: CallId,
        answer: &CoordinatorResponse,
    ) {
        let (now, rate) = (self.now, self.settings.edge_bytes_a_second);
        self.edges[number].put_on_link(id, answer.clone(), now, rate);
    }

    /// A configuration at an edge never goes back to an older one.
    fn watch_edge(&mut self, number: usize) {
        let version = self.edges[number].version();
        let newest = self.edges[number].newest;
        if version < newest {
            self.oracle.report(
                self.now,
                format!("edge {number} went from {newest} back to {version}"),
            );
        }
        self.edges[number].newest = newest.max(version);
    }

    /// The version in force at each edge.
    pub fn versions_at_edges(&self) -> Vec<u64> {
        self.edges.iter().map(Edge::version).collect()
    }

    /// The edges at which something else is in force than the operator sent under that number.
    pub fn edges_that_differ(&self) -> Vec<usize> {
        let states = self
            .nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref());
        let kept: Vec<Configuration> = states
            .filter_map(|coordinator| {
                Configuration::parse(&coordinator.state().configuration.body).ok()
            })
            .collect();
        let differs = |edge: &Edge| {
            let same_version = kept.iter().find(|known| known.version == edge.version());
            same_version.is_some_and(|known| known != edge.configuration())
        };
        (0..self.edges.len())
            .filter(|number| differs(&self.edges[*number]))
            .collect()
    }
}
