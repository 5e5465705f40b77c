//! Edges of the fleet: agents that ask coordinators for news and configurations, each on a link with a rate and a queue.
use crate::{events::Asker, fleet::Fleet};
use magpiegap_distribution::{Agent, AgentSettings, Call, CallFailure, CallId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{encode, CoordinatorAnswer};

/// What HTTP and TCP add to an answer, in bytes.
const HEADS: u64 = 300;
/// Bytes after which an answer's first piece is there.
const PIECE: u64 = 1460;
/// One way between an edge and a core machine, in milliseconds.
const DELAY_MS: u64 = 5;
/// How many coordinators an agent asks for news at the same time.
const LINKS: usize = 2;

/// An answer on its way over an edge's link.
struct Arriving {
    answer: CoordinatorAnswer,
    first_piece_at: u64,
    whole_at: u64,
}

/// A call of an agent that has no outcome yet.
struct UnderWay {
    call: Call,
    begun_at: u64,
    arriving: Option<Arriving>,
}

/// An edge: its agent and its link.
pub(crate) struct Edge {
    agent: Agent,
    calls: Vec<UnderWay>,
    /// When the link has carried all that was put on it.
    link_free_at: u64,
    /// The newest configuration that was ever in force here.
    newest: u64,
}

impl Edge {
    /// An edge that knows only where coordinators may be found.
    pub fn new(number: usize, seeds: Vec<u32>) -> Edge {
        let settings = AgentSettings { own_address: number as u32, seeds, links: LINKS };
        Edge { agent: Agent::new(settings), calls: Vec::new(), link_free_at: 0, newest: 0 }
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.agent.configuration().version
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.agent.configuration()
    }

    /// An answer is put on the link behind all that it carries already.
    fn put_on_link(&mut self, id: CallId, answer: CoordinatorAnswer, now: u64, bytes_a_second: u64) {
        let bytes = encode(&answer).len() as u64 + HEADS;
        let millis = |bytes: u64| bytes * 1000 / bytes_a_second.max(1) + 1;
        let begins = self.link_free_at.max(now);
        self.link_free_at = begins + millis(bytes);
        let arriving = Arriving {
            answer,
            first_piece_at: begins + millis(bytes.min(PIECE)) + DELAY_MS,
            whole_at: begins + millis(bytes) + DELAY_MS,
        };
        if let Some(under_way) = self.calls.iter_mut().find(|under_way| under_way.call.id == id) {
            under_way.arriving = Some(arriving);
        }
    }

    /// Ends the calls whose answers are there whole, and those whose first piece has not come in time.
    fn end_calls(&mut self, now: u64) {
        let (ended, going_on): (Vec<UnderWay>, Vec<UnderWay>) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.is_over(now));
        self.calls = going_on;
        for under_way in ended {
            let answer = match under_way.arriving {
                Some(arriving) if now >= arriving.whole_at => Ok(arriving.answer),
                _ => Err(CallFailure::Unanswered),
            };
            self.agent.answered(now, under_way.call.id, answer);
        }
    }
}

impl UnderWay {
    fn is_over(&self, now: u64) -> bool {
        let patience_ends = self.begun_at + self.call.first_byte_ms;
        match &self.arriving {
            Some(arriving) if arriving.first_piece_at <= patience_ends => now >= arriving.whole_at,
            _ => now >= patience_ends,
        }
    }
}

impl Fleet {
    /// Lets the agents ask, and take what has come.
    pub(crate) fn run_edges(&mut self) {
        for number in 0..self.edges.len() {
            let now = self.now;
            let edge = &mut self.edges[number];
            edge.end_calls(now);
            for call in edge.agent.due_calls(now) {
                self.call_from_edge(number, call);
            }
            self.watch_edge(number);
        }
    }

    fn call_from_edge(&mut self, number: usize, call: Call) {
        let (id, request) = (call.id, call.request.clone());
        let at = self.nodes.iter().position(|node| node.address == call.coordinator);
        let Some(node) = at.filter(|node| self.nodes[*node].coordinator.is_some()) else {
            // Nobody listens there.
            self.edges[number].agent.answered(self.now, id, Err(CallFailure::NotConnected));
            return;
        };
        self.edges[number].calls.push(UnderWay { call, begun_at: self.now, arriving: None });
        self.ask_node(node, Asker::Edge { number, id }, request);
    }

    /// A coordinator has answered an agent.
    pub(crate) fn answered_edge(&mut self, number: usize, id: CallId, answer: &CoordinatorAnswer) {
        let (now, rate) = (self.now, self.settings.edge_bytes_a_second);
        self.edges[number].put_on_link(id, answer.clone(), now, rate);
    }

    /// A configuration at an edge never goes back to an older one.
    fn watch_edge(&mut self, number: usize) {
        let version = self.edges[number].version();
        let newest = self.edges[number].newest;
        if version < newest {
            self.oracle.report(self.now, format!("edge {number} went from {newest} back to {version}"));
        }
        self.edges[number].newest = newest.max(version);
    }

    /// The version in force at each edge.
    pub fn versions_at_edges(&self) -> Vec<u64> {
        self.edges.iter().map(Edge::version).collect()
    }

    /// The edges at which something else is in force than the operator sent under that number.
    pub fn edges_that_differ(&self) -> Vec<usize> {
        let states = self.nodes.iter().filter_map(|node| node.coordinator.as_ref());
        let kept: Vec<Configuration> = states
            .filter_map(|coordinator| Configuration::parse(&coordinator.state().configuration.body).ok())
            .collect();
        let differs = |edge: &Edge| {
            let same_version = kept.iter().find(|known| known.version == edge.version());
            same_version.is_some_and(|known| known != edge.configuration())
        };
        (0..self.edges.len()).filter(|number| differs(&self.edges[*number])).collect()
    }
}
