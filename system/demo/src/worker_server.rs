//! An emulated worker: the in-memory fleet's worker behind the HTTP interface of the worker protocol.
use crate::{
    error::DemoError,
    http_server::{serve, Request, Response},
    work::TaskWork,
    worker_body::{to_response, OrderBody},
};
use magpiegap_fleet::{RunEvent, Work, Worker, WorkerSettings};
use magpiegap_protocol::{CompletionKind, Resources, WorkerEntry};
use magpiegap_scheduler::{WorkerCall, WorkerOrder, WorkerReply};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::mpsc::UnboundedSender, task::JoinHandle, time::Instant};

/// Maximum duration of a worker lease, in milliseconds.
pub(crate) const MAX_LEASE_MS: u64 = 6000;
/// The capacity of each worker.
const CAPACITY: Resources = Resources {
    cpu: 8000,
    memory_mb: 16_000,
    gpu: 0,
};
/// Interval at which a long poll checks for a completion.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Difference between the clocks of consecutive workers, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 100_000;
/// Number of workers per rack.
const RACK_SIZE: u16 = 8;

/// A run event on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerEvent {
    /// The worker's incarnation.
    pub incarnation: String,
    /// Time of the event, in milliseconds since the demo started.
    pub at: u64,
    /// The event.
    pub run_event: RunEvent,
}

/// A worker that is serving requests.
pub(crate) struct RunningWorker {
    /// The worker's entry in the platform's list.
    pub entry: WorkerEntry,
    server: JoinHandle<()>,
}

/// State shared by the request handlers of a worker.
struct Shared {
    worker: Mutex<Worker>,
    started_at: Instant,
    events: UnboundedSender<WorkerEvent>,
}

impl RunningWorker {
    /// Starts a worker.
    ///
    /// # Errors
    /// If no port is available.
    pub(crate) async fn start(
        number: u16,
        started_at: Instant,
        events: UnboundedSender<WorkerEvent>,
    ) -> Result<RunningWorker, DemoError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(DemoError::system("listening on a worker's port"))?;
        let address = listener
            .local_addr()
            .map_err(DemoError::system("listening on a worker's port"))?;
        let entry = WorkerEntry {
            incarnation: format!("w-{number}"),
            service: "pages".to_owned(),
            address: address.to_string(),
            zone: "a".to_owned(),
            capacity: CAPACITY,
            labels: vec!["a".to_owned(), format!("r{}", number / RACK_SIZE)],
            ..WorkerEntry::default()
        };
        let settings = WorkerSettings {
            enforces_capacity: true,
            clock_offset_ms: CLOCK_OFFSET_MS * u64::from(number),
            clock_rate_permille: 1000,
            max_lease_ms: MAX_LEASE_MS,
        };
        let shared = Arc::new(Shared {
            worker: Mutex::new(Worker::new(entry.clone(), settings)),
            started_at,
            events,
        });
        let server = serve(listener, move |request| {
            handle_request(shared.clone(), request)
        });
        Ok(RunningWorker { entry, server })
    }

    /// Stops the worker and all of its runs.
    pub(crate) fn crash(self) {
        self.server.abort();
    }
}

async fn handle_request(shared: Arc<Shared>, request: Request) -> Response {
    let body = match OrderBody::parse(&request.body) {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let call = match body.to_call(&request.path, request.expected_incarnation) {
        Ok(call) => call,
        Err(error) => return error.response(),
    };
    if body.long_poll_ms > 0 {
        let max_wait = Duration::from_millis(body.long_poll_ms);
        wait_for_completion(&shared, body.acknowledged_completion, max_wait).await;
    }
    to_response(shared.handle_call(&call))
}

async fn wait_for_completion(shared: &Shared, acknowledged_completion: u64, max_wait: Duration) {
    let until = Instant::now() + max_wait;
    while Instant::now() < until && !shared.has_completion(acknowledged_completion) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Shared {
    /// Milliseconds since the demo started.
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn worker(&self) -> MutexGuard<'_, Worker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_completion(&self, acknowledged_completion: u64) -> bool {
        let mut worker = self.worker();
        worker.on_timeout(self.now());
        worker.has_unacknowledged_completion(acknowledged_completion)
    }

    fn handle_call(&self, call: &WorkerCall) -> WorkerReply {
        let now = self.now();
        let work = find_work(&call.order);
        let mut worker = self.worker();
        let reply = worker.handle_call(now, call, work);
        for run_event in worker.poll_events() {
            let event = WorkerEvent {
                incarnation: worker.entry.incarnation.clone(),
                at: now,
                run_event,
            };
            let _ = self.events.send(event);
        }
        reply
    }
}

/// Returns the work of a start order. The demo's workers do not communicate with each other, so each gang member works
/// independently.
fn find_work(order: &WorkerOrder) -> Option<Work> {
    let WorkerOrder::Start { task, spec, .. } = order else {
        return None;
    };
    let work = TaskWork::parse(spec, task)?;
    Some(Work {
        resources: work.resources,
        duration_ms: work.duration_ms,
        kind: CompletionKind::Done,
        checkpoints: false,
        gang: false,
    })
}
