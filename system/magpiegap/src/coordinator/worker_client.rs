//! Calls to workers.
use super::worker_connections::WorkerConnections;
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

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StartBody<'a> {
    task: String,
    run_id: u32,
    spec: &'a str,
    deadline_ms: u64,
    fence_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpointed: &'a str,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run_id: u32,
    fence_token: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fence_token: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// A run as listed: task, run, checkpoint, percent.
type RunRow = (String, u32, String, f64);
/// An end as listed: number, task, run, how, checkpoint.
type EndRow = (u64, String, u32, String, String);

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Answer {
    clock_ms: Option<f64>,
    reason: Option<String>,
    running: Option<Vec<RunRow>>,
    ended: Option<Vec<EndRow>>,
}

/// Makes a call.
pub(super) async fn call(connections: WorkerConnections, call: WorkerCall) -> WorkerReply {
    // A worker whose address can't be read, or whose name can't be sent, can't be called.
    let Ok(address) = call.address.parse::<SocketAddr>() else {
        return WorkerReply::Unanswered;
    };
    let Ok(request) = http_request(&call) else {
        return WorkerReply::Unanswered;
    };
    let timeout = Duration::from_millis(call.timeout_ms);
    let Ok((status, body)) = connections.call(address, request, timeout).await else {
        return WorkerReply::Unanswered;
    };
    let answer: Answer = serde_json::from_slice(&body).unwrap_or_default();
    read_answer(&call, status.as_u16(), answer)
}

fn http_request(call: &WorkerCall) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let (path, body) = request(call);
    Request::post(path)
        .header(HOST, &call.address)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header("expected-instance", &call.incarnation)
        .body(Full::new(Bytes::from(body)))
}

fn request(call: &WorkerCall) -> (&'static str, Vec<u8>) {
    let fence_token = call.token;
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
                fence_token: fence_token.0,
                checkpointed: checkpoint,
            };
            ("/-/run-start", serde_json::to_vec(&body))
        }
        WorkerOrder::Stop { task, run } => {
            let body = StopBody {
                task: task.to_string(),
                run_id: *run,
                fence_token: fence_token.0,
            };
            ("/-/run-stop", serde_json::to_vec(&body))
        }
        WorkerOrder::Hold {
            deadline_ms,
            last_seen,
            wait_ms,
        } => {
            let wait_ms = (*wait_ms > 0).then_some(*wait_ms);
            let body = HoldBody {
                deadline_ms: *deadline_ms,
                fence_token: fence_token.0,
                last_seen: *last_seen,
                wait_ms,
            };
            ("/-/hold", serde_json::to_vec(&body))
        }
    };
    (path, body.unwrap_or_default())
}

fn read_answer(call: &WorkerCall, status: u16, answer: Answer) -> WorkerReply {
    let clock_ms = answer.clock_ms.map(|clock| clock as u64);
    match status {
        200..=299 => match &call.order {
            WorkerOrder::Hold { .. } if answer.running.is_none() && answer.ended.is_none() => {
                WorkerReply::Unanswered
            }
            WorkerOrder::Hold { .. } => WorkerReply::Done {
                clock_ms,
                listing: Some(listing(&answer)),
            },
            _ => WorkerReply::Done {
                clock_ms,
                listing: None,
            },
        },
        409 => match answer.reason.as_deref().and_then(reason) {
            Some(reason) => WorkerReply::Refused { clock_ms, reason },
            None => WorkerReply::Rejected,
        },
        421 => WorkerReply::OtherLife,
        429 | 503 => WorkerReply::Unhealthy,
        400..=499 => WorkerReply::Rejected,
        // Whether the order was carried out isn't known.
        _ => WorkerReply::Unanswered,
    }
}

fn reason(word: &str) -> Option<RefusalReason> {
    match word {
        "fence" => Some(RefusalReason::RoleToken),
        "old" => Some(RefusalReason::Old),
        "late" => Some(RefusalReason::Late),
        "room" => Some(RefusalReason::Room),
        _ => None,
    }
}

fn end_kind(word: &str) -> CompletionKind {
    match word {
        "done" => CompletionKind::Done,
        "failed" => CompletionKind::Failed,
        "lapsed" => CompletionKind::Lapsed,
        "broken" => CompletionKind::Broken,
        "alone" => CompletionKind::Alone,
        _ => CompletionKind::Stopped,
    }
}

fn listing(answer: &Answer) -> Listing {
    let running = answer
        .running
        .iter()
        .flatten()
        .filter_map(|(task, run, checkpoint, percent)| {
            let task = TaskId::parse(task)?;
            Some(ListedRun {
                task,
                run: *run,
                checkpoint: checkpoint.clone(),
                percent: *percent as u64,
            })
        });
    let ended = answer
        .ended
        .iter()
        .flatten()
        .filter_map(|(number, task, run, how, checkpoint)| {
            let task = TaskId::parse(task)?;
            let kind = end_kind(how);
            Some(ListedCompletion {
                number: *number,
                task,
                run: *run,
                kind,
                checkpoint: checkpoint.clone(),
            })
        });
    Listing {
        running: running.collect(),
        ended: ended.collect(),
    }
}
