//! Calls to workers.
use magpiegap_protocol::{EndKind, TaskId};
use magpiegap_scheduler::{
    ListedEnd, ListedRun, Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

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
pub async fn call(client: reqwest::Client, call: WorkerCall) -> WorkerReply {
    let (path, body) = request(&call);
    let url = format!("http://{}{path}", call.address);
    let sent = client
        .post(url)
        .header("Content-Type", "application/json")
        .header("Expected-Instance", &call.instance)
        .timeout(Duration::from_millis(call.timeout_ms))
        .body(body)
        .send()
        .await;
    let Ok(response) = sent else { return WorkerReply::Unanswered };
    let status = response.status().as_u16();
    let Ok(body) = response.bytes().await else { return WorkerReply::Unanswered };
    let answer: Answer = serde_json::from_slice(&body).unwrap_or_default();
    read_answer(&call, status, answer)
}

fn request(call: &WorkerCall) -> (&'static str, Vec<u8>) {
    let fence_token = call.token;
    let (path, body) = match &call.order {
        WorkerOrder::Start { task, run, spec, deadline_ms, checkpoint } => {
            let body = StartBody {
                task: task.to_string(),
                run_id: *run,
                spec,
                deadline_ms: *deadline_ms,
                fence_token,
                checkpointed: checkpoint,
            };
            ("/-/run-start", serde_json::to_vec(&body))
        }
        WorkerOrder::Stop { task, run } => {
            let body = StopBody { task: task.to_string(), run_id: *run, fence_token };
            ("/-/run-stop", serde_json::to_vec(&body))
        }
        WorkerOrder::Hold { deadline_ms, last_seen, wait_ms } => {
            let wait_ms = (*wait_ms > 0).then_some(*wait_ms);
            let body = HoldBody { deadline_ms: *deadline_ms, fence_token, last_seen: *last_seen, wait_ms };
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
            WorkerOrder::Hold { .. } => WorkerReply::Done { clock_ms, listing: Some(listing(&answer)) },
            _ => WorkerReply::Done { clock_ms, listing: None },
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
        "fence" => Some(RefusalReason::Fence),
        "old" => Some(RefusalReason::Old),
        "late" => Some(RefusalReason::Late),
        "room" => Some(RefusalReason::Room),
        _ => None,
    }
}

fn end_kind(word: &str) -> EndKind {
    match word {
        "done" => EndKind::Done,
        "failed" => EndKind::Failed,
        "lapsed" => EndKind::Lapsed,
        "broken" => EndKind::Broken,
        "alone" => EndKind::Alone,
        _ => EndKind::Stopped,
    }
}

fn listing(answer: &Answer) -> Listing {
    let running = answer.running.iter().flatten().filter_map(|(task, run, checkpoint, percent)| {
        let task = TaskId::parse(task)?;
        Some(ListedRun { task, run: *run, checkpoint: checkpoint.clone(), percent: *percent as u64 })
    });
    let ended = answer.ended.iter().flatten().filter_map(|(number, task, run, how, checkpoint)| {
        let task = TaskId::parse(task)?;
        let kind = end_kind(how);
        Some(ListedEnd { number: *number, task, run: *run, kind, checkpoint: checkpoint.clone() })
    });
    Listing { running: running.collect(), ended: ended.collect() }
}
