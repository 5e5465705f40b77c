//! Requests to coordinators that have no response yet, and who waits for each.
use crate::{client::ConfigurationChange, events::ProcessId};
use magpiegap_coordinator::RequestId;
use magpiegap_distribution::CallId;
use magpiegap_protocol::CoordinatorRequest;
use std::collections::BTreeMap;

/// Who waits for a response.
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
    /// Somebody who only looks.
    Observer {
        request: CoordinatorRequest,
        requested_at: u64,
    },
}

/// A change that an operator has requested.
pub(crate) struct OperatorRequest {
    pub operator: usize,
    pub change: ConfigurationChange,
    /// Whether the response is lost on its way to the operator.
    pub is_response_lost: bool,
    pub requested_at: u64,
}

/// The requests that have no response yet. Those to a process that has ended never get one.
#[derive(Default)]
pub(crate) struct PendingRequests {
    last_id: RequestId,
    requesters: BTreeMap<(ProcessId, RequestId), Requester>,
}

impl PendingRequests {
    /// Adds a request to a process, and returns its new id.
    pub(crate) fn insert(&mut self, process: ProcessId, requester: Requester) -> RequestId {
        self.last_id += 1;
        self.requesters.insert((process, self.last_id), requester);
        self.last_id
    }

    /// Takes the requester of a request.
    pub(crate) fn remove(&mut self, process: ProcessId, request: RequestId) -> Option<Requester> {
        self.requesters.remove(&(process, request))
    }
}
