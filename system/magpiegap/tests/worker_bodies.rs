//! Compatibility of the HTTP bodies exchanged with workers and the platform.
//!
//! These bodies must not change: workers and the platform are maintained outside this project, and serve the old and the
//! new build during a rolling upgrade. The bodies are visible only outside the process, so the test starts a single
//! coordinator on loopback with fake servers for the platform and all workers. `golden/worker/orders.txt` has the
//! expected orders, one line per kind, as `path incarnation body`, with deadlines replaced by `N`. The responses are in
//! the other files in `golden/worker/` and `golden/platform/`.
use googletest::prelude::*;
use magpiegap::endpoint;
use magpiegap_control::DurableState;
use magpiegap_protocol::{
    Command, CompletionKind, CoordinatorRequest, CoordinatorResponse, JobId, JobSpec, Resources,
    RunCompletion, StepSpec, Submission, TaskId, WallMillis,
};
use magpiegap_storage::{FolderDirectory, Store};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const ORDERS: &str = include_str!("golden/worker/orders.txt");
const INITIAL_LISTING: &str = include_str!("golden/worker/initial_listing.json");
const REFUSAL: &str = include_str!("golden/worker/refusal.json");
const PAGE_1: &str = include_str!("golden/platform/page_1.json");
const PAGE_2: &str = include_str!("golden/platform/page_2.json");
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":5000,"service":"desk"}],"services":[{"name":"desk"}]}"#;

const JOB: JobId = JobId(0xa1a1_0000_0000_0001);
const TASK: &str = "a1a1000000000001.0.0.0";
/// Timeout of each wait; long enough for a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of long-poll responses, and between two checks of a wait.
const DELAY: Duration = Duration::from_millis(20);
/// The port on which the coordinator listens for requests: the second one of its port range.
const REQUEST_PORT: u16 = 7661;

/// Requests that the fake servers received, and the behavior of the fake worker.
#[derive(Default)]
struct Recorded {
    /// Orders as `path incarnation body`, without deadlines.
    orders: BTreeSet<String>,
    /// HTTP heads of the orders, without the content length.
    heads: BTreeSet<String>,
    /// Paths of the requests to the platform.
    pages: BTreeSet<String>,
    /// Whether the worker reports the first run as failed.
    fail_first_run: bool,
    /// Whether the worker refuses orders because of a stale token.
    refuse: bool,
}

#[derive(Clone)]
struct FakeServers {
    recorded: Arc<Mutex<Recorded>>,
    started_at: Instant,
}

struct ReceivedRequest {
    path: String,
    incarnation: String,
    head: String,
    body: String,
}

/// Reads one request; `None` if the connection has ended.
async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let length = |head: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
    };
    loop {
        if let Some((head, body)) = std::str::from_utf8(&bytes).ok()?.split_once("\r\n\r\n") {
            if body.len() >= length(head).unwrap_or(0) {
                let path = head.split(' ').nth(1)?.to_owned();
                let incarnation = head
                    .lines()
                    .find_map(|line| line.strip_prefix("expected-instance: "));
                let lines = head
                    .lines()
                    .filter(|line| !line.starts_with("content-length: "));
                return Some(ReceivedRequest {
                    path,
                    incarnation: incarnation.unwrap_or_default().to_owned(),
                    head: lines.collect::<Vec<_>>().join("\n"),
                    body: body.to_owned(),
                });
            }
        }
        let mut chunk = [0; 2048];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Replaces the deadline in a body by `N`.
fn without_deadline(body: &str) -> String {
    let Some((before, after)) = body.split_once("\"deadlineMs\":") else {
        return body.to_owned();
    };
    format!(
        "{before}\"deadlineMs\":N{}",
        after.trim_start_matches(|digit: char| digit.is_ascii_digit())
    )
}

impl FakeServers {
    fn with<T>(&self, access: impl FnOnce(&mut Recorded) -> T) -> T {
        access(&mut self.recorded.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Serves requests on a free port and returns its address.
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fake_servers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(fake_servers.clone().serve(stream, address));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream, address: SocketAddr) {
        while let Some(request) = read_request(&mut stream).await {
            if request.body.contains("\"waitMs\"") {
                sleep(DELAY).await;
            }
            let body = self
                .response(&request, address)
                .replace("ADDRESS", &address.to_string());
            let refused = request.path.starts_with("/-/") && self.with(|recorded| recorded.refuse);
            let (status, body) = match refused {
                true => ("409 Conflict", REFUSAL.to_owned()),
                false => ("200 OK", body),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn response(&self, request: &ReceivedRequest, address: SocketAddr) -> String {
        let ReceivedRequest {
            path,
            incarnation,
            head,
            body,
        } = request;
        if path.starts_with("/instances") {
            self.with(|recorded| recorded.pages.insert(path.clone()));
            return if path == "/instances" { PAGE_1 } else { PAGE_2 }.to_owned();
        }
        let clock = 1_000_000 + self.started_at.elapsed().as_millis();
        let fail_first_run = self.with(|recorded| {
            recorded
                .orders
                .insert(format!("{path} {incarnation} {}", without_deadline(body)));
            recorded
                .heads
                .insert(head.replace(&address.to_string(), "ADDRESS"));
            recorded.fail_first_run
        });
        match path.as_str() {
            "/-/hold" if incarnation == "w-1" => self
                .listing(fail_first_run)
                .replace("CLOCK", &clock.to_string()),
            "/-/hold" => format!(r#"{{"clockMs":{clock},"running":[],"ended":[]}}"#),
            _ => format!(r#"{{"clockMs":{clock}}}"#),
        }
    }

    /// The worker's listing: at first completions of runs unknown to the coordinator, then the progress of the job's run.
    fn listing(&self, fail_first_run: bool) -> String {
        let started = |run: u32| {
            let order = format!("/-/run-start w-1 {{\"task\":\"{TASK}\",\"runId\":{run},");
            self.with(|recorded| {
                recorded
                    .orders
                    .iter()
                    .any(|recorded| recorded.starts_with(&order))
            })
        };
        let running = |run| {
            format!(r#"{{"clockMs":CLOCK,"running":[["{TASK}",{run},"c-9",42.9]],"ended":[]}}"#)
        };
        match (started(1), fail_first_run, started(2)) {
            (false, ..) => INITIAL_LISTING.to_owned(),
            (true, false, _) => running(1),
            (true, true, false) => {
                format!(
                    r#"{{"clockMs":CLOCK,"running":[],"ended":[[8,"{TASK}",1,"failed","c-8"]]}}"#
                )
            }
            (true, true, true) => running(2),
        }
    }

    /// Waits until the order in this line was received.
    async fn wait_for_order(&self, line: &str) {
        let deadline = Instant::now() + LONG_TIMEOUT;
        while !self.with(|recorded| recorded.orders.contains(line)) {
            let orders = || self.with(|recorded| format!("{:#?}", recorded.orders));
            assert!(
                Instant::now() < deadline,
                "order not received: {line}\nreceived: {}",
                orders()
            );
            sleep(DELAY).await;
        }
    }
}

/// A single coordinator process on its own loopback address, which is killed on drop.
struct Coordinator {
    process: Child,
    requests: SocketAddr,
    folder: PathBuf,
    client: reqwest::Client,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Coordinator {
    fn start(platform: SocketAddr) -> Coordinator {
        let number = std::process::id();
        let [.., high, low] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 93, high, low.clamp(1, 254));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("worker-bodies");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("settings.toml");
        let data = folder.join("data");
        let text = format!(
            "ip = \"{ip}\"\ninternalPortRange = [7660, 7662]\nseeds = [\"{ip}:7660\"]\nbootstrap = true\n\
             dataDir = {data:?}\n[faultTolerance]\nmachines = 0\n[cloud]\naddress = \"{platform}\"\n"
        );
        std::fs::write(&file, text).unwrap();
        let process = std::process::Command::new(env!("CARGO_BIN_EXE_magpiegap"))
            .arg("coordinator")
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let requests = SocketAddr::from((ip, REQUEST_PORT));
        Coordinator {
            process,
            requests,
            folder: data,
            client: endpoint::client(),
        }
    }

    /// Repeats a request until the response is accepted by the predicate.
    async fn request_until(
        &self,
        request: CoordinatorRequest,
        is_accepted: impl Fn(&CoordinatorResponse) -> bool,
    ) -> CoordinatorResponse {
        let deadline = Instant::now() + LONG_TIMEOUT;
        loop {
            let response = endpoint::call(
                &self.client,
                self.requests,
                &request,
                Duration::from_secs(5),
            )
            .await;
            match response {
                Ok(response) if is_accepted(&response) => return response,
                _ => assert!(Instant::now() < deadline, "{request:?}: {response:?}"),
            }
            sleep(DELAY).await;
        }
    }

    /// Repeats a request until the response equals `response`.
    async fn request_until_response(
        &self,
        request: CoordinatorRequest,
        response: CoordinatorResponse,
    ) {
        self.request_until(request, |received| *received == response)
            .await;
    }

    /// Kills the process, and returns all completions in its log on disk.
    fn completions_on_disk(mut self) -> Vec<RunCompletion> {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let (_, recovered) = Store::open(FolderDirectory::new(&self.folder).unwrap()).unwrap();
        let read =
            DurableState::recover(recovered.snapshot.unwrap_or_default(), &recovered.records)
                .unwrap();
        let mut completions = Vec::new();
        for entry in read.entries {
            if let Command::RecordCompletions {
                completions: logged,
                ..
            } = entry.command
            {
                completions.extend(logged);
            }
        }
        completions
    }
}

/// A job with two tasks; only one worker fits, and it can run only one of them.
fn submission() -> Submission {
    let step = StepSpec {
        count: 2,
        resources: Resources {
            cpu: 500,
            memory_mb: 256,
            gpu: 1,
        },
        estimated_ms: 60_000,
        checkpoints: true,
        requirements: vec!["a".to_owned()],
        ..StepSpec::default()
    };
    Submission {
        job: JOB,
        queue: "h/q/".to_owned(),
        service: "desk".to_owned(),
        priority: 1,
        max_attempts: 50,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(0),
        spec: JobSpec {
            spec: "a \"text\"".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        },
    }
}

/// The explanation of the job's first step, as returned to operators, once it is stable.
async fn explained_step(coordinator: &Coordinator) -> serde_json::Value {
    let deadline = Instant::now() + LONG_TIMEOUT;
    loop {
        let explain = CoordinatorRequest::Explain { job: JOB };
        let response = coordinator
            .request_until(explain, |response| {
                matches!(response, CoordinatorResponse::Description(_))
            })
            .await;
        let CoordinatorResponse::Description(text) = response else {
            return serde_json::Value::Null;
        };
        let explanation: serde_json::Value = serde_json::from_str(&text).unwrap();
        let step = &explanation["steps"][0];
        // The first call to each worker and the first listing of the run happen at different times.
        let is_stable =
            step["workers"]["not_answering"] == 0 && step["running"][0]["percent"] == 42;
        let is_stable = is_stable && step["workers"]["known"] == 6;
        if is_stable || Instant::now() >= deadline {
            return step.clone();
        }
        sleep(DELAY).await;
    }
}

#[tokio::test]
async fn orders_and_responses_match_the_stored_bodies() {
    let fake_servers = FakeServers {
        recorded: Arc::default(),
        started_at: Instant::now(),
    };
    let coordinator = Coordinator::start(fake_servers.listen().await);
    let orders: Vec<&str> = ORDERS.lines().collect();
    let [first_lease, long_poll, unknown_stop, first_start, second_start, stop, new_token_lease] =
        orders[..]
    else {
        panic!("unexpected number of stored orders: {}", orders.len())
    };
    let body = CONFIGURATION.as_bytes().to_vec();
    let configure = CoordinatorRequest::ReplaceConfiguration { base: 0, body };
    coordinator
        .request_until_response(configure, CoordinatorResponse::ConfigurationAccepted)
        .await;
    fake_servers.wait_for_order(first_lease).await;
    fake_servers.wait_for_order(unknown_stop).await;
    let submit = CoordinatorRequest::Submit(Box::new(submission()));
    coordinator
        .request_until_response(submit, CoordinatorResponse::Accepted)
        .await;
    fake_servers.wait_for_order(first_start).await;
    fake_servers.wait_for_order(long_poll).await;

    // The reasons why no worker accepts the second task show how the platform's list was read.
    let step = explained_step(&coordinator).await;
    let expected = serde_json::json!({"known": 6, "not_listed": 0, "draining": 1, "not_answering": 0, "left_alone": 0, "on_probation": 0,
        "without_label": 1, "too_small": 3, "without_room": 1, "kept_for_others": 0, "away_from_data": 0, "free": 0});
    assert_that!(step["workers"], eq(&expected));
    let run = serde_json::json!([{"task": TASK, "run": 1, "worker": "w-1", "percent": 42}]);
    assert_that!(step["running"], eq(&run));

    fake_servers.with(|recorded| recorded.fail_first_run = true);
    fake_servers.wait_for_order(second_start).await;
    let cancel = CoordinatorRequest::Cancel {
        queue: "h/q/".to_owned(),
        job: JOB,
    };
    coordinator
        .request_until_response(cancel, CoordinatorResponse::Accepted)
        .await;
    fake_servers.wait_for_order(stop).await;
    // After a refusal because of a stale token the coordinator claims the role again, which gives it a higher token.
    fake_servers.with(|recorded| recorded.refuse = true);
    fake_servers.wait_for_order(new_token_lease).await;

    let pages = fake_servers.with(|recorded| recorded.pages.clone());
    assert_that!(
        pages,
        eq(&BTreeSet::from(
            ["/instances", "/instances?pageToken=p%202%2F%C3%A9"].map(str::to_owned)
        ))
    );
    expect_heads(&fake_servers.with(|recorded| recorded.heads.clone()));
    expect_completions(&coordinator.completions_on_disk());
}

/// Every order names the incarnation of the worker for which it is meant.
fn expect_heads(heads: &BTreeSet<String>) {
    for path in ["/-/hold", "/-/run-start", "/-/run-stop"] {
        let head = format!(
            "POST {path} HTTP/1.1\nhost: ADDRESS\ncontent-type: application/json\nexpected-instance: w-1"
        );
        assert_that!(heads, contains(eq(&head)));
    }
}

/// The listed completions are in the log, with kinds and checkpoints converted from the body.
fn expect_completions(completions: &[RunCompletion]) {
    let unknown_run = |number: u64, kind, checkpoint: &str| RunCompletion {
        task: TaskId {
            job: JobId(0xb1b1_0000_0000_0000 + number),
            occurrence: 1,
            step: 2,
            index: 3,
        },
        run: 10 + number as u32,
        kind,
        checkpoint: checkpoint.to_owned(),
    };
    let own_task = TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let expected = [
        unknown_run(1, CompletionKind::Done, "c-1"),
        unknown_run(2, CompletionKind::Failed, ""),
        unknown_run(3, CompletionKind::Stopped, "c-3"),
        unknown_run(4, CompletionKind::LeaseExpired, "c-4"),
        unknown_run(5, CompletionKind::GangEnded, "c-5"),
        unknown_run(6, CompletionKind::GangTimedOut, "c-6"),
        unknown_run(7, CompletionKind::Stopped, "c-7"),
        RunCompletion {
            task: own_task,
            run: 1,
            kind: CompletionKind::Failed,
            checkpoint: "c-8".to_owned(),
        },
    ];
    assert_that!(completions, eq(&expected));
}
