//! Calls to workers: encodes orders as HTTP requests and decodes the responses. Field names are those of the workers' API,
//! where `hold` is the call that grants or renews a lease and serves as a long poll.
use super::worker_connections::WorkerConnections;
use crate::json_number::{clamped_integer, exact_integer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    header::{HeaderValue, CONTENT_TYPE, HOST},
    Request,
};
use magpiegap_protocol::{CompletionKind, TaskId};
use magpiegap_scheduler::{
    ListedCompletion, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Progress of a complete run, in percent.
const MAX_PERCENT: u64 = 100;

/// The body of an order to start a run.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StartBody<'a> {
    task: String,
    run_id: u32,
    spec: &'a str,
    deadline_ms: u64,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpointed: &'a str,
}

/// The body of an order to stop a run.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run_id: u32,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
}

/// The body of a lease renewal; with `wait_ms` it is a long poll.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct LeaseBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
    #[serde(rename = "lastSeen")]
    acknowledged_completion: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// A listed run, encoded as an array: task, run, checkpoint, progress in percent.
#[derive(Deserialize)]
#[serde(from = "(String, u32, String, f64)")]
struct RunRow {
    task: String,
    run: u32,
    checkpoint: String,
    percent: f64,
}

impl From<(String, u32, String, f64)> for RunRow {
    fn from((task, run, checkpoint, percent): (String, u32, String, f64)) -> RunRow {
        RunRow {
            task,
            run,
            checkpoint,
            percent,
        }
    }
}

/// A listed completion, encoded as an array: sequence number, task, run, kind, checkpoint.
#[derive(Deserialize)]
#[serde(from = "(u64, String, u32, String, String)")]
struct CompletionRow {
    number: u64,
    task: String,
    run: u32,
    kind: String,
    checkpoint: String,
}

impl From<(u64, String, u32, String, String)> for CompletionRow {
    fn from(row: (u64, String, u32, String, String)) -> CompletionRow {
        let (number, task, run, kind, checkpoint) = row;
        CompletionRow {
            number,
            task,
            run,
            kind,
            checkpoint,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct ResponseBody {
    clock_ms: Option<f64>,
    reason: Option<String>,
    running: Option<Vec<RunRow>>,
    #[serde(rename = "ended")]
    completed: Option<Vec<CompletionRow>>,
}

/// Calls a worker. A call without a complete response counts as timed out.
pub(super) async fn call(connections: WorkerConnections, call: WorkerCall) -> WorkerReply {
    // A worker with an invalid address, or an ID that is no valid header value, can't be called.
    let Ok(address) = call.address.parse::<SocketAddr>() else {
        return WorkerReply::TimedOut;
    };
    let Ok(request) = http_request(&call) else {
        return WorkerReply::TimedOut;
    };
    let timeout = Duration::from_millis(call.timeout_ms);
    let Ok((status, body)) = connections.call(address, request, timeout).await else {
        return WorkerReply::TimedOut;
    };
    let response: ResponseBody = serde_json::from_slice(&body).unwrap_or_default();
    reply(&call, status.as_u16(), &response)
}

fn http_request(call: &WorkerCall) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let (path, body) = path_and_body(call);
    Request::post(path)
        .header(HOST, &call.address)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header("expected-instance", &call.incarnation)
        .body(Full::new(Bytes::from(body)))
}

fn path_and_body(call: &WorkerCall) -> (&'static str, Vec<u8>) {
    let fencing_token = call.token.0;
    let (path, body) = match &call.order {
        WorkerOrder::Start {
            task,
            run,
            spec,
            deadline_ms,
            checkpoint,
        } => {
            let body = StartBody {
                task: task.to_string(),
                run_id: *run,
                spec,
                deadline_ms: *deadline_ms,
                fencing_token,
                checkpointed: checkpoint,
            };
            ("/-/run-start", serde_json::to_vec(&body))
        }
        WorkerOrder::Stop { task, run } => {
            let body = StopBody {
                task: task.to_string(),
                run_id: *run,
                fencing_token,
            };
            ("/-/run-stop", serde_json::to_vec(&body))
        }
        WorkerOrder::RenewLease {
            deadline_ms,
            acknowledged_completion: last_seen,
            long_poll_ms: wait_ms,
        } => {
            let wait_ms = (*wait_ms > 0).then_some(*wait_ms);
            let body = LeaseBody {
                deadline_ms: *deadline_ms,
                fencing_token,
                acknowledged_completion: *last_seen,
                wait_ms,
            };
            ("/-/hold", serde_json::to_vec(&body))
        }
    };
    (path, body.unwrap_or_default())
}

fn reply(call: &WorkerCall, status: u16, response: &ResponseBody) -> WorkerReply {
    // Deadlines are computed from the worker's clock, so a reading outside the exact integer range is ignored.
    let clock_ms = response.clock_ms.and_then(exact_integer);
    match status {
        200..=299 => success(call, response, clock_ms),
        409 => match response.reason.as_deref().and_then(refusal_reason) {
            Some(reason) => WorkerReply::Refused { clock_ms, reason },
            None => WorkerReply::Malformed,
        },
        421 => WorkerReply::OtherIncarnation,
        429 | 503 => WorkerReply::Unhealthy,
        400..=499 => WorkerReply::Malformed,
        // The order may or may not have been carried out.
        _ => WorkerReply::TimedOut,
    }
}

fn success(call: &WorkerCall, response: &ResponseBody, clock_ms: Option<u64>) -> WorkerReply {
    if !matches!(call.order, WorkerOrder::RenewLease { .. }) {
        return WorkerReply::Done {
            clock_ms,
            listing: None,
        };
    }
    if response.running.is_none() && response.completed.is_none() {
        return WorkerReply::TimedOut;
    }
    WorkerReply::Done {
        clock_ms,
        listing: Some(listing(response)),
    }
}

/// Parses the reason of a refusal.
fn refusal_reason(name: &str) -> Option<RefusalReason> {
    match name {
        "fence" => Some(RefusalReason::StaleToken),
        "old" => Some(RefusalReason::Superseded),
        "late" => Some(RefusalReason::DeadlinePassed),
        "room" => Some(RefusalReason::NoCapacity),
        _ => None,
    }
}

/// Parses the kind of a completion. Unknown kinds count as stopped.
fn completion_kind(name: &str) -> CompletionKind {
    match name {
        "done" => CompletionKind::Done,
        "failed" => CompletionKind::Failed,
        "lapsed" => CompletionKind::LeaseExpired,
        "broken" => CompletionKind::GangEnded,
        "alone" => CompletionKind::GangTimedOut,
        _ => CompletionKind::Stopped,
    }
}

/// Converts a worker's listing. Rows with an invalid task ID are skipped.
fn listing(response: &ResponseBody) -> Listing {
    let running = response.running.iter().flatten();
    let completed = response.completed.iter().flatten();
    Listing {
        running: running.filter_map(listed_run).collect(),
        completed: completed.filter_map(listed_completion).collect(),
    }
}

fn listed_run(row: &RunRow) -> Option<ListedRun> {
    Some(ListedRun {
        task: TaskId::parse(&row.task)?,
        run: row.run,
        checkpoint: row.checkpoint.clone(),
        percent: clamped_integer(row.percent).min(MAX_PERCENT),
    })
}

fn listed_completion(row: &CompletionRow) -> Option<ListedCompletion> {
    Some(ListedCompletion {
        sequence: row.number,
        task: TaskId::parse(&row.task)?,
        run: row.run,
        kind: completion_kind(&row.kind),
        checkpoint: row.checkpoint.clone(),
    })
}
