//! Parses the orders and encodes the replies of the worker protocol for the emulated workers. The protocol's names are
//! used only in this module.
use crate::http_server::Response;
use magpiegap_protocol::{CompletionKind, FencingToken, TaskId};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use serde::Deserialize;
use serde_json::{json, Value};

/// The body of any order; fields that an order does not use have their defaults.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct OrderBody {
    task: String,
    #[serde(rename = "runId")]
    run: u32,
    spec: String,
    /// According to the worker's clock.
    #[serde(rename = "deadlineMs")]
    deadline_ms: Option<u64>,
    #[serde(rename = "fenceToken")]
    token: u64,
    #[serde(rename = "lastSeen")]
    pub acknowledged_completion: u64,
    #[serde(rename = "waitMs")]
    pub long_poll_ms: u64,
    #[serde(rename = "checkpointed")]
    checkpoint: String,
}

/// Errors in a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OrderError {
    /// The path does not belong to any order.
    #[error("unknown path")]
    UnknownPath,
    /// A field is missing or malformed.
    #[error("invalid body")]
    InvalidBody,
}

impl OrderError {
    pub(crate) fn response(self) -> Response {
        let status = match self {
            OrderError::UnknownPath => 404,
            OrderError::InvalidBody => 400,
        };
        empty_response(status)
    }
}

impl OrderBody {
    /// Parses a body.
    ///
    /// # Errors
    /// If it is not a JSON object with fields of the expected types.
    pub(crate) fn parse(body: &[u8]) -> Result<OrderBody, OrderError> {
        serde_json::from_slice(body).map_err(|_| OrderError::InvalidBody)
    }

    /// Converts a request with this body to a worker call.
    ///
    /// # Errors
    /// If the path is unknown, or the body lacks a field of the order.
    pub(crate) fn to_call(
        &self,
        path: &str,
        expected_incarnation: Option<String>,
    ) -> Result<WorkerCall, OrderError> {
        let order = match path {
            "/-/run-start" => self.start_order().ok_or(OrderError::InvalidBody)?,
            "/-/run-stop" => self.stop_order().ok_or(OrderError::InvalidBody)?,
            "/-/hold" => self.lease_renewal(),
            _ => return Err(OrderError::UnknownPath),
        };
        Ok(WorkerCall {
            id: 0,
            address: String::new(),
            incarnation: expected_incarnation.unwrap_or_default(),
            token: FencingToken(self.token),
            order,
            timeout_ms: 0,
        })
    }

    fn start_order(&self) -> Option<WorkerOrder> {
        Some(WorkerOrder::Start {
            task: TaskId::parse(&self.task)?,
            run: self.run,
            spec: self.spec.clone(),
            deadline_ms: self.deadline_ms?,
            checkpoint: self.checkpoint.clone(),
        })
    }

    fn stop_order(&self) -> Option<WorkerOrder> {
        Some(WorkerOrder::Stop {
            task: TaskId::parse(&self.task)?,
            run: self.run,
        })
    }

    fn lease_renewal(&self) -> WorkerOrder {
        WorkerOrder::RenewLease {
            deadline_ms: self.deadline_ms,
            acknowledged_completion: self.acknowledged_completion,
            long_poll_ms: self.long_poll_ms,
        }
    }
}

/// Encodes a worker's reply as an HTTP response.
pub(crate) fn to_response(reply: WorkerReply) -> Response {
    match reply {
        WorkerReply::Done {
            clock_ms,
            listing: None,
        } => Response {
            status: 200,
            body: json!({ "clockMs": clock_ms }),
        },
        WorkerReply::Done {
            clock_ms,
            listing: Some(listing),
        } => Response {
            status: 200,
            body: listing_body(clock_ms, &listing),
        },
        WorkerReply::Refused { clock_ms, reason } => Response {
            status: 409,
            body: json!({ "clockMs": clock_ms, "reason": reason_name(reason) }),
        },
        WorkerReply::OtherIncarnation => empty_response(421),
        WorkerReply::Unhealthy => empty_response(503),
        WorkerReply::Malformed | WorkerReply::TimedOut => empty_response(400),
    }
}

fn empty_response(status: u16) -> Response {
    Response {
        status,
        body: json!({}),
    }
}

fn listing_body(clock_ms: Option<u64>, listing: &Listing) -> Value {
    let running: Vec<Value> = listing.running.iter().map(run_body).collect();
    let completed: Vec<Value> = listing.completed.iter().map(completion_body).collect();
    json!({ "clockMs": clock_ms, "running": running, "ended": completed })
}

fn run_body(run: &ListedRun) -> Value {
    json!([run.task.to_string(), run.run, run.checkpoint, run.percent])
}

fn completion_body(completion: &ListedCompletion) -> Value {
    json!([
        completion.sequence,
        completion.task.to_string(),
        completion.run,
        kind_name(completion.kind),
        completion.checkpoint
    ])
}

fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::StaleToken => "fence",
        RefusalReason::Superseded => "old",
        RefusalReason::DeadlinePassed => "late",
        RefusalReason::NoCapacity => "room",
    }
}

fn kind_name(kind: CompletionKind) -> &'static str {
    match kind {
        CompletionKind::Done => "done",
        CompletionKind::Failed => "failed",
        CompletionKind::Stopped => "stopped",
        CompletionKind::LeaseExpired => "lapsed",
        CompletionKind::GangEnded => "broken",
        CompletionKind::GangTimedOut => "alone",
    }
}
