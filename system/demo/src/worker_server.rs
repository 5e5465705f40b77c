//! A stand-in for a worker: the in-memory fleet's worker behind the protocol's HTTP calls.
use crate::{
    error::DemoError,
    http_server::{serve, Answer, Call},
    work,
};
use magpiegap_fleet::{Deed, Work, Worker};
use magpiegap_protocol::{CompletionKind, FencingToken, Resources, TaskId, WorkerEntry};
use magpiegap_scheduler::{Listing, RefusalReason, WorkerCall, WorkerOrder, WorkerReply};
use serde::Deserialize;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::mpsc::UnboundedSender, task::JoinHandle, time::Instant};

/// Workers refuse what does not fit.
const GUARDS: bool = true;
/// Longest hold on a worker.
pub(crate) const MAX_HOLD_MS: u64 = 6000;
/// What each worker has.
const CAPACITY: Resources = Resources {
    cpu: 8000,
    memory_mb: 16_000,
    gpu: 0,
};
/// How often a worker that is asked to wait for an end looks for one.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Something that happened on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerEvent {
    /// Which worker.
    pub incarnation: String,
    /// When, in milliseconds since the demo began.
    pub at: u64,
    /// What.
    pub deed: Deed,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct OrderBody {
    task: String,
    run_id: u32,
    spec: String,
    deadline_ms: Option<u64>,
    fence_token: u64,
    last_seen: u64,
    wait_ms: u64,
    checkpointed: String,
}

struct Shared {
    worker: Mutex<Worker>,
    began: Instant,
    events: UnboundedSender<WorkerEvent>,
}

/// A worker that serves.
pub(crate) struct RunningWorker {
    /// As the platform lists it.
    pub entry: WorkerEntry,
    server: JoinHandle<()>,
}

impl RunningWorker {
    /// Starts a worker.
    ///
    /// # Errors
    /// When no port can be had.
    pub(crate) async fn start(
        number: u16,
        began: Instant,
        events: UnboundedSender<WorkerEvent>,
    ) -> Result<RunningWorker, DemoError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(DemoError::system("a worker's port"))?;
        let address = listener
            .local_addr()
            .map_err(DemoError::system("a worker's port"))?;
        let entry = WorkerEntry {
            incarnation: format!("w-{number}"),
            service: "pages".to_owned(),
            address: address.to_string(),
            zone: "a".to_owned(),
            capacity: CAPACITY,
            labels: vec!["a".to_owned(), format!("r{}", number / 8)],
            ..WorkerEntry::default()
        };
        let clock_offset = 100_000 * u64::from(number);
        let worker = Mutex::new(Worker::new(
            entry.clone(),
            GUARDS,
            clock_offset,
            1000,
            MAX_HOLD_MS,
        ));
        let shared = Arc::new(Shared {
            worker,
            began,
            events,
        });
        let server = serve(listener, move |call| answer(shared.clone(), call));
        Ok(RunningWorker { entry, server })
    }

    /// Ends the worker with all that it runs.
    pub(crate) fn crash(self) {
        self.server.abort();
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    let Ok(body) = serde_json::from_slice::<OrderBody>(&call.body) else {
        return status_only(400);
    };
    let order = match call.path.as_str() {
        "/-/run-start" => start_order(&body),
        "/-/run-stop" => TaskId::parse(&body.task).map(|task| WorkerOrder::Stop {
            task,
            run: body.run_id,
        }),
        "/-/hold" => Some(hold_order(&body)),
        _ => return status_only(404),
    };
    let Some(order) = order else {
        return status_only(400);
    };
    let call = WorkerCall {
        id: 0,
        address: String::new(),
        incarnation: call.expected_instance.unwrap_or_default(),
        token: FencingToken(body.fence_token),
        order,
        timeout_ms: 0,
    };
    if body.wait_ms > 0 {
        wait_for_end(&shared, body.last_seen, Duration::from_millis(body.wait_ms)).await;
    }
    to_answer(shared.take(&call))
}

fn start_order(body: &OrderBody) -> Option<WorkerOrder> {
    Some(WorkerOrder::Start {
        task: TaskId::parse(&body.task)?,
        run: body.run_id,
        spec: body.spec.clone(),
        deadline_ms: body.deadline_ms?,
        checkpoint: body.checkpointed.clone(),
    })
}

fn hold_order(body: &OrderBody) -> WorkerOrder {
    WorkerOrder::RenewLease {
        deadline_ms: body.deadline_ms,
        acknowledged_completion: body.last_seen,
        long_poll_ms: body.wait_ms,
    }
}

async fn wait_for_end(shared: &Shared, last_seen: u64, most: Duration) {
    let until = Instant::now() + most;
    while Instant::now() < until && !shared.has_news(last_seen) {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

impl Shared {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn has_news(&self, last_seen: u64) -> bool {
        let mut worker = self.worker.lock().unwrap_or_else(PoisonError::into_inner);
        worker.pass_time(self.now());
        worker.has_news(last_seen)
    }

    fn take(&self, call: &WorkerCall) -> WorkerReply {
        let now = self.now();
        let work = match &call.order {
            WorkerOrder::Start { task, spec, .. } => work::of_task(spec, task),
            _ => None,
        };
        // Workers of the demo do not speak with each other: members of a gang work each by itself.
        let work = work.map(|(resources, duration_ms)| Work {
            resources,
            duration_ms,
            how: CompletionKind::Done,
            checkpoints: false,
            gang: false,
        });
        let mut worker = self.worker.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = worker.take(now, call, work);
        for deed in worker.take_deeds() {
            let event = WorkerEvent {
                incarnation: worker.entry.incarnation.clone(),
                at: now,
                deed,
            };
            let _ = self.events.send(event);
        }
        reply
    }
}

fn status_only(status: u16) -> Answer {
    Answer {
        status,
        body: serde_json::json!({}),
    }
}

fn to_answer(reply: WorkerReply) -> Answer {
    let (status, body) = match reply {
        WorkerReply::Done {
            clock_ms,
            listing: None,
        } => (200, serde_json::json!({ "clockMs": clock_ms })),
        WorkerReply::Done {
            clock_ms,
            listing: Some(listing),
        } => (200, listing_body(clock_ms, &listing)),
        WorkerReply::Refused { clock_ms, reason } => (
            409,
            serde_json::json!({ "clockMs": clock_ms, "reason": reason_word(reason) }),
        ),
        WorkerReply::OtherIncarnation => (421, serde_json::json!({})),
        WorkerReply::Unhealthy => (503, serde_json::json!({})),
        WorkerReply::Unreadable | WorkerReply::TimedOut => (400, serde_json::json!({})),
    };
    Answer { status, body }
}

fn listing_body(clock_ms: Option<u64>, listing: &Listing) -> serde_json::Value {
    let running: Vec<serde_json::Value> = listing
        .running
        .iter()
        .map(|run| serde_json::json!([run.task.to_string(), run.run, run.checkpoint, run.percent]))
        .collect();
    let ended: Vec<serde_json::Value> = listing
        .completed
        .iter()
        .map(|end| {
            let how = end_word(end.kind);
            serde_json::json!([
                end.sequence,
                end.task.to_string(),
                end.run,
                how,
                end.checkpoint
            ])
        })
        .collect();
    serde_json::json!({ "clockMs": clock_ms, "running": running, "ended": ended })
}

fn reason_word(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::StaleToken => "fence",
        RefusalReason::Superseded => "old",
        RefusalReason::DeadlinePassed => "late",
        RefusalReason::NoCapacity => "room",
    }
}

fn end_word(kind: CompletionKind) -> &'static str {
    match kind {
        CompletionKind::Done => "done",
        CompletionKind::Failed => "failed",
        CompletionKind::Stopped => "stopped",
        CompletionKind::LeaseExpired => "lapsed",
        CompletionKind::GangEnded => "broken",
        CompletionKind::GangTimedOut => "alone",
    }
}
