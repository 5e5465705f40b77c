//! An edge: an agent that follows configurations over a link with limited bandwidth and a queue. The fleet routes its
//! calls to coordinators.
use magpiegap_distribution::{Agent, AgentSettings, Call, CallFailure, CallId};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{encode, CoordinatorResponse};

/// Overhead of the HTTP and TCP headers of a response, in bytes.
const HEADER_BYTES: u64 = 300;
/// Size of the first TCP segment of a response, in bytes.
const FIRST_SEGMENT_BYTES: u64 = 1460;
/// One-way latency between an edge and a node, in milliseconds.
const LINK_DELAY_MS: u64 = 5;
/// Number of coordinators that an agent polls concurrently.
const LINKS: usize = 2;

/// A response in transit on an edge's link.
struct InTransit {
    response: CoordinatorResponse,
    first_byte_at: u64,
    complete_at: u64,
}

/// A call of an agent that is in flight.
struct PendingCall {
    call: Call,
    started_at: u64,
    in_transit: Option<InTransit>,
}

/// An edge with its agent and its link.
pub(crate) struct Edge {
    pub agent: Agent,
    calls: Vec<PendingCall>,
    /// When the link has transmitted everything queued on it.
    link_free_at: u64,
    /// The newest configuration version that has been active on this edge.
    pub newest_version: u64,
}

impl Edge {
    /// Creates an edge that knows only the addresses of its seeds.
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
            newest_version: 0,
        }
    }

    /// The active configuration version.
    pub(crate) fn version(&self) -> u64 {
        self.agent.configuration().version
    }

    /// The active configuration.
    pub(crate) fn configuration(&self) -> &Configuration {
        self.agent.configuration()
    }

    /// Starts a call.
    pub(crate) fn start_call(&mut self, call: Call, now: u64) {
        self.calls.push(PendingCall {
            call,
            started_at: now,
            in_transit: None,
        });
    }

    /// Queues a response on the link, behind the responses already queued.
    pub(crate) fn queue_response(
        &mut self,
        id: CallId,
        response: CoordinatorResponse,
        now: u64,
        bytes_per_second: u64,
    ) {
        let bytes = encode(&response).len() as u64 + HEADER_BYTES;
        let transfer_ms = |bytes: u64| bytes * 1000 / bytes_per_second.max(1) + 1;
        let starts_at = self.link_free_at.max(now);
        self.link_free_at = starts_at + transfer_ms(bytes);
        let in_transit = InTransit {
            response,
            first_byte_at: starts_at + transfer_ms(bytes.min(FIRST_SEGMENT_BYTES)) + LINK_DELAY_MS,
            complete_at: starts_at + transfer_ms(bytes) + LINK_DELAY_MS,
        };
        if let Some(pending) = self.calls.iter_mut().find(|pending| pending.call.id == id) {
            pending.in_transit = Some(in_transit);
        }
    }

    /// Completes the calls whose responses have fully arrived, and fails those that have timed out.
    pub(crate) fn on_timeout(&mut self, now: u64) {
        let (finished, pending): (Vec<PendingCall>, Vec<PendingCall>) =
            std::mem::take(&mut self.calls)
                .into_iter()
                .partition(|call| call.is_finished(now));
        self.calls = pending;
        for finished_call in finished {
            let outcome = match finished_call.in_transit {
                Some(in_transit) if now >= in_transit.complete_at => Ok(in_transit.response),
                _ => Err(CallFailure::NoResponse),
            };
            self.agent
                .handle_outcome(now, finished_call.call.id, outcome);
        }
    }
}

impl PendingCall {
    /// Whether the response has fully arrived, or its first byte has missed the timeout.
    fn is_finished(&self, now: u64) -> bool {
        let times_out_at = self.started_at + self.call.first_byte_timeout_ms;
        match &self.in_transit {
            Some(in_transit) if in_transit.first_byte_at <= times_out_at => {
                now >= in_transit.complete_at
            }
            _ => now >= times_out_at,
        }
    }
}
