//! The calls to workers that are in flight, and how long such calls take.
//!
//! It says what each call was for; what a reply means is decided where replies are handled.
use crate::{calls::WorkerReply, response_times::ResponseTimes};
use magpiegap_protocol::{Millis, RunId, TaskId};
use std::collections::BTreeMap;

/// What a call in flight was made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Starts a run, before this time on the worker's clock.
    Start {
        task: TaskId,
        run: RunId,
        deadline_ms: u64,
    },
    /// Stops a run.
    Stop { task: TaskId, run: RunId },
    /// Stops a run that is not on record.
    StopStray,
    /// Renews the worker's lease and waits for completions (a long poll).
    LeaseRenewal {
        /// How long its reply may wait for a completion.
        wait_ms: u64,
    },
    /// Checks a worker that has left an order unanswered, beside a renewal that may be in flight.
    HealthCheck,
}

impl CallPurpose {
    /// Whether its reply carries a listing of the worker's runs.
    pub(crate) fn lists_runs(&self) -> bool {
        matches!(
            self,
            CallPurpose::LeaseRenewal { .. } | CallPurpose::HealthCheck
        )
    }

    /// Whether it starts or stops a run on record.
    pub(crate) fn is_order(&self) -> bool {
        matches!(self, CallPurpose::Start { .. } | CallPurpose::Stop { .. })
    }

    /// Whether a worker replies as soon as it can, without waiting for a completion.
    fn is_replied_at_once(&self) -> bool {
        !matches!(self, CallPurpose::LeaseRenewal { wait_ms } if *wait_ms > 0)
    }
}

/// A call whose reply has not come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlightCall {
    /// The worker's incarnation that was called.
    pub incarnation: String,
    pub purpose: CallPurpose,
    pub sent_at: Millis,
}

/// All calls in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTable {
    in_flight: BTreeMap<u64, InFlightCall>,
    last_id: u64,
    response_times: ResponseTimes,
}

impl CallTable {
    /// Returns an id that no call has had.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Adds a call that is being sent.
    pub(crate) fn insert(&mut self, id: u64, call: InFlightCall) {
        self.in_flight.insert(id, call);
    }

    /// Takes out a call whose reply has come, or that is not sent after all; `None`: it is not in flight.
    pub(crate) fn remove(&mut self, id: u64) -> Option<InFlightCall> {
        self.in_flight.remove(&id)
    }

    /// Learns from a reply, or from none, how long replies take.
    pub(crate) fn record_response_time(
        &mut self,
        purpose: &CallPurpose,
        reply: &WorkerReply,
        elapsed_ms: Millis,
    ) {
        if !purpose.is_replied_at_once() {
            return;
        }
        match reply {
            WorkerReply::TimedOut => self.response_times.record_timeout(),
            _ => self.response_times.record_reply(elapsed_ms),
        }
    }

    /// How long to wait for a reply that comes at once.
    pub(crate) fn timeout_ms(&self) -> Millis {
        self.response_times.timeout_ms()
    }
}
