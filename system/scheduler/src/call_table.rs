//! Tracks the calls to workers that are in flight and the response times of calls.
//!
//! It records the purpose of each call; `replies` interprets the reply.
use crate::{calls::WorkerReply, response_times::ResponseTimes};
use magpiegap_protocol::{Millis, RunId, TaskId};
use std::collections::BTreeMap;

/// The purpose of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Starts a run, no later than `deadline_ms` on the worker's clock.
    Start {
        task: TaskId,
        run: RunId,
        deadline_ms: u64,
    },
    /// Stops a run.
    Stop { task: TaskId, run: RunId },
    /// Stops a run that the worker lists but the scheduler does not track there.
    StopOrphan,
    /// Renews the worker's lease and waits for completions (a long poll).
    LeaseRenewal {
        /// How long the worker may delay its reply to wait for a completion.
        wait_ms: u64,
    },
    /// Checks a worker that did not reply to an order; may be sent while a renewal is in flight.
    HealthCheck,
}

impl CallPurpose {
    /// Whether the reply carries a listing of the worker's runs.
    pub(crate) fn lists_runs(&self) -> bool {
        matches!(
            self,
            CallPurpose::LeaseRenewal { .. } | CallPurpose::HealthCheck
        )
    }

    /// Whether the call starts or stops a tracked run.
    pub(crate) fn is_order(&self) -> bool {
        matches!(self, CallPurpose::Start { .. } | CallPurpose::Stop { .. })
    }

    /// Whether the worker replies immediately, without waiting for a completion.
    fn is_replied_immediately(&self) -> bool {
        !matches!(self, CallPurpose::LeaseRenewal { wait_ms } if *wait_ms > 0)
    }
}

/// A call that has no reply yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlightCall {
    /// The worker incarnation that was called.
    pub incarnation: String,
    pub purpose: CallPurpose,
    pub sent_at: Millis,
}

/// The calls in flight, by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTable {
    in_flight: BTreeMap<u64, InFlightCall>,
    last_id: u64,
    response_times: ResponseTimes,
}

impl CallTable {
    /// Returns an unused call id.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn insert(&mut self, id: u64, call: InFlightCall) {
        self.in_flight.insert(id, call);
    }

    /// Removes a call that was replied to or dropped before it was sent; `None` if it is not in flight.
    pub(crate) fn remove(&mut self, id: u64) -> Option<InFlightCall> {
        self.in_flight.remove(&id)
    }

    /// Updates the response time estimate from a reply or a timeout.
    pub(crate) fn record_response_time(
        &mut self,
        purpose: &CallPurpose,
        reply: &WorkerReply,
        elapsed_ms: Millis,
    ) {
        if !purpose.is_replied_immediately() {
            return;
        }
        match reply {
            WorkerReply::TimedOut => self.response_times.record_timeout(),
            _ => self.response_times.record_reply(elapsed_ms),
        }
    }

    /// Timeout of a call that is replied to immediately.
    pub(crate) fn timeout_ms(&self) -> Millis {
        self.response_times.timeout_ms()
    }
}
