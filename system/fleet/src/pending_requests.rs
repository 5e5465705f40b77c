//! Requests to coordinators that await a response, and the requester of each.
use crate::{client::ConfigurationChange, events::ProcessId};
use magpiegap_coordinator::RequestId;
use magpiegap_distribution::CallId;
use magpiegap_protocol::CoordinatorRequest;
use std::collections::BTreeMap;

/// The requester that awaits a response.
pub(crate) enum Requester {
    Client {
        number: usize,
        request: CoordinatorRequest,
    },
    Operator(OperatorRequest),
    /// The agent of an edge.
    Edge {
        number: usize,
        call: CallId,
    },
    /// A read-only observer, whose responses are checked for consistency.
    Observer {
        request: CoordinatorRequest,
        requested_at: u64,
    },
}

/// A configuration change requested by an operator.
pub(crate) struct OperatorRequest {
    pub operator: usize,
    pub change: ConfigurationChange,
    /// Whether the response to the operator will be lost.
    pub is_response_lost: bool,
    pub requested_at: u64,
}

/// The requests that await a response. Requests to a process that has ended are never answered.
#[derive(Default)]
pub(crate) struct PendingRequests {
    last_id: RequestId,
    requesters: BTreeMap<(ProcessId, RequestId), Requester>,
}

impl PendingRequests {
    /// Adds a request to a process and returns its id.
    pub(crate) fn insert(&mut self, process: ProcessId, requester: Requester) -> RequestId {
        self.last_id += 1;
        self.requesters.insert((process, self.last_id), requester);
        self.last_id
    }

    /// Removes a request and returns its requester.
    pub(crate) fn remove(&mut self, process: ProcessId, request: RequestId) -> Option<Requester> {
        self.requesters.remove(&(process, request))
    }
}
