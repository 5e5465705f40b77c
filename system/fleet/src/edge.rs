//! An edge of the fleet: an agent that asks coordinators for news and configurations, on a link with a rate and a queue.
use magpiegap_distribution::{Agent, AgentSettings, Call, CallFailure, CallId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{encode, CoordinatorResponse};

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
    answer: CoordinatorResponse,
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
    pub agent: Agent,
    calls: Vec<UnderWay>,
    /// When the link has carried all that was put on it.
    link_free_at: u64,
    /// The newest configuration that was ever in force here.
    pub newest: u64,
}

impl Edge {
    /// An edge that knows only where coordinators may be found.
    pub(crate) fn new(number: usize, seeds: Vec<u32>) -> Edge {
        let settings = AgentSettings {
            own_address: number as u32,
            seeds,
            links: LINKS,
        };
        Edge {
            agent: Agent::new(settings),
            calls: Vec::new(),
            link_free_at: 0,
            newest: 0,
        }
    }

    /// The version in force.
    pub(crate) fn version(&self) -> u64 {
        self.agent.configuration().version
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> &Configuration {
        self.agent.configuration()
    }

    /// A call has been made.
    pub(crate) fn begin(&mut self, call: Call, now: u64) {
        self.calls.push(UnderWay {
            call,
            begun_at: now,
            arriving: None,
        });
    }

    /// An answer is put on the link behind all that it carries already.
    pub(crate) fn put_on_link(
        &mut self,
        id: CallId,
        answer: CoordinatorResponse,
        now: u64,
        bytes_a_second: u64,
    ) {
        let bytes = encode(&answer).len() as u64 + HEADS;
        let millis = |bytes: u64| bytes * 1000 / bytes_a_second.max(1) + 1;
        let begins = self.link_free_at.max(now);
        self.link_free_at = begins + millis(bytes);
        let arriving = Arriving {
            answer,
            first_piece_at: begins + millis(bytes.min(PIECE)) + DELAY_MS,
            whole_at: begins + millis(bytes) + DELAY_MS,
        };
        if let Some(under_way) = self
            .calls
            .iter_mut()
            .find(|under_way| under_way.call.id == id)
        {
            under_way.arriving = Some(arriving);
        }
    }

    /// Ends the calls whose answers are there whole, and those whose first piece has not come in time.
    pub(crate) fn end_calls(&mut self, now: u64) {
        let (ended, going_on): (Vec<UnderWay>, Vec<UnderWay>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.is_over(now));
        self.calls = going_on;
        for under_way in ended {
            let answer = match under_way.arriving {
                Some(arriving) if now >= arriving.whole_at => Ok(arriving.answer),
                _ => Err(CallFailure::NoResponse),
            };
            self.agent.handle_outcome(now, under_way.call.id, answer);
        }
    }
}

impl UnderWay {
    fn is_over(&self, now: u64) -> bool {
        let patience_ends = self.begun_at + self.call.first_byte_timeout_ms;
        match &self.arriving {
            Some(arriving) if arriving.first_piece_at <= patience_ends => now >= arriving.whole_at,
            _ => now >= patience_ends,
        }
    }
}
