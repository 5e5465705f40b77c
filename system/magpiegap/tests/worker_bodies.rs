//! What a coordinator sends to workers, and what it reads from workers and from the platform's list.
//!
//! These bodies must not change: workers and the platform are not of this project, and coordinators of the build before
//! and of the build after call the same ones. Nothing below the process hands them out, so a coordinator is started here,
//! alone and on loopback, with stand-ins for the platform and for all workers. What is sent is in
//! `golden/worker/orders.txt`, one line for each form as `path incarnation body`; only the times on the worker's clock are
//! left out, as `N`. What is answered is in the other files below `golden/worker/` and `golden/platform/`.
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
const LISTING_AT_FIRST: &str = include_str!("golden/worker/listing_at_first.json");
const REFUSAL: &str = include_str!("golden/worker/refusal.json");
const PAGE_1: &str = include_str!("golden/platform/page_1.json");
const PAGE_2: &str = include_str!("golden/platform/page_2.json");
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":5000,"service":"desk"}],"services":[{"name":"desk"}]}"#;

const JOB: JobId = JobId(0xa1a1_0000_0000_0001);
const TASK: &str = "a1a1000000000001.0.0.0";
/// Longer than anything here takes, also on a busy machine.
const LONG: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(20);
/// Where the coordinator listens for requests: the port after the first one in its settings.
const REQUEST_PORT: u16 = 7661;

/// What the stand-ins were asked, and what the worker is to list.
#[derive(Default)]
struct Seen {
    /// `path incarnation body`, with the times left out.
    orders: BTreeSet<String>,
    /// The heads of the orders, without the lengths.
    heads: BTreeSet<String>,
    /// What was asked of the platform.
    pages: BTreeSet<String>,
    /// The end of the first run was asked for.
    fail_first_run: bool,
    /// The worker says that it has seen a higher token.
    refuse: bool,
}

#[derive(Clone)]
struct StandIns {
    seen: Arc<Mutex<Seen>>,
    begin: Instant,
}

struct Question {
    path: String,
    incarnation: String,
    head: String,
    body: String,
}

/// Reads one request; `None`: the connection has ended.
async fn read_question(stream: &mut TcpStream) -> Option<Question> {
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
                return Some(Question {
                    path,
                    incarnation: incarnation.unwrap_or_default().to_owned(),
                    head: lines.collect::<Vec<_>>().join("\n"),
                    body: body.to_owned(),
                });
            }
        }
        let mut part = [0; 2048];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&part[..read]),
        }
    }
}

/// A body with the time on the worker's clock left out.
fn without_deadline(body: &str) -> String {
    let Some((before, after)) = body.split_once("\"deadlineMs\":") else {
        return body.to_owned();
    };
    format!(
        "{before}\"deadlineMs\":N{}",
        after.trim_start_matches(|digit: char| digit.is_ascii_digit())
    )
}

impl StandIns {
    fn with<T>(&self, look: impl FnOnce(&mut Seen) -> T) -> T {
        look(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Answers on a free port. Returns its address.
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stand_ins = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(stand_ins.clone().serve(stream, address));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream, address: SocketAddr) {
        while let Some(question) = read_question(&mut stream).await {
            if question.body.contains("\"waitMs\"") {
                sleep(PAUSE).await;
            }
            let body = self
                .answer(&question, address)
                .replace("ADDRESS", &address.to_string());
            let refused = question.path.starts_with("/-/") && self.with(|seen| seen.refuse);
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

    fn answer(&self, question: &Question, address: SocketAddr) -> String {
        let Question {
            path,
            incarnation,
            head,
            body,
        } = question;
        if path.starts_with("/instances") {
            self.with(|seen| seen.pages.insert(path.clone()));
            return if path == "/instances" { PAGE_1 } else { PAGE_2 }.to_owned();
        }
        let clock = 1_000_000 + self.begin.elapsed().as_millis();
        let fail_first_run = self.with(|seen| {
            seen.orders
                .insert(format!("{path} {incarnation} {}", without_deadline(body)));
            seen.heads
                .insert(head.replace(&address.to_string(), "ADDRESS"));
            seen.fail_first_run
        });
        match path.as_str() {
            "/-/hold" if incarnation == "w-1" => self
                .listing(fail_first_run)
                .replace("CLOCK", &clock.to_string()),
            "/-/hold" => format!(r#"{{"clockMs":{clock},"running":[],"ended":[]}}"#),
            _ => format!(r#"{{"clockMs":{clock}}}"#),
        }
    }

    /// What the worker lists: the ends of runs that nobody knows, and the run of the job as far as it has come.
    fn listing(&self, fail_first_run: bool) -> String {
        let started = |run: u32| {
            let order = format!("/-/run-start w-1 {{\"task\":\"{TASK}\",\"runId\":{run},");
            self.with(|seen| seen.orders.iter().any(|seen| seen.starts_with(&order)))
        };
        let running = |run| {
            format!(r#"{{"clockMs":CLOCK,"running":[["{TASK}",{run},"c-9",42.9]],"ended":[]}}"#)
        };
        match (started(1), fail_first_run, started(2)) {
            (false, ..) => LISTING_AT_FIRST.to_owned(),
            (true, false, _) => running(1),
            (true, true, false) => {
                format!(
                    r#"{{"clockMs":CLOCK,"running":[],"ended":[[8,"{TASK}",1,"failed","c-8"]]}}"#
                )
            }
            (true, true, true) => running(2),
        }
    }

    /// Waits until an order was sent that is stored in this line.
    async fn sent(&self, line: &str) {
        let until = Instant::now() + LONG;
        while !self.with(|seen| seen.orders.contains(line)) {
            let orders = || self.with(|seen| format!("{:#?}", seen.orders));
            assert!(
                Instant::now() < until,
                "not sent: {line}\nsent: {}",
                orders()
            );
            sleep(PAUSE).await;
        }
    }
}

/// A coordinator, alone, on a loopback address of its own. It ends with the test.
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

    /// Asks until the answer is one that is wanted.
    async fn ask(
        &self,
        request: CoordinatorRequest,
        wanted: impl Fn(&CoordinatorResponse) -> bool,
    ) -> CoordinatorResponse {
        let until = Instant::now() + LONG;
        loop {
            let answer = endpoint::call(
                &self.client,
                self.requests,
                &request,
                Duration::from_secs(5),
            )
            .await;
            match answer {
                Ok(answer) if wanted(&answer) => return answer,
                _ => assert!(Instant::now() < until, "{request:?}: {answer:?}"),
            }
            sleep(PAUSE).await;
        }
    }

    /// Asks until the answer is that.
    async fn ask_until(&self, request: CoordinatorRequest, answer: CoordinatorResponse) {
        self.ask(request, |given| *given == answer).await;
    }

    /// All ends in the log on disk, once the process is gone.
    fn ends_on_disk(mut self) -> Vec<RunCompletion> {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let (_, recovered) = Store::open(FolderDirectory::new(&self.folder).unwrap()).unwrap();
        let read =
            DurableState::recover(recovered.snapshot.unwrap_or_default(), &recovered.records)
                .unwrap();
        let mut ends = Vec::new();
        for entry in read.entries {
            if let Command::RecordCompletions {
                completions: noted, ..
            } = entry.command
            {
                ends.extend(noted);
            }
        }
        ends
    }
}

/// Two tasks of which one worker takes one.
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

/// How many workers the job's explanation counts for each reason, as it is told to operators.
async fn explained_workers(coordinator: &Coordinator) -> serde_json::Value {
    let until = Instant::now() + LONG;
    loop {
        let explain = CoordinatorRequest::Explain { job: JOB };
        let said = coordinator
            .ask(explain, |said| {
                matches!(said, CoordinatorResponse::Description(_))
            })
            .await;
        let CoordinatorResponse::Description(text) = said else {
            return serde_json::Value::Null;
        };
        let said: serde_json::Value = serde_json::from_str(&text).unwrap();
        let step = &said["steps"][0];
        // Workers are greeted one after the other, and the run is listed a little later.
        let is_stable =
            step["workers"]["not_answering"] == 0 && step["running"][0]["percent"] == 42;
        let is_stable = is_stable && step["workers"]["known"] == 6;
        if is_stable || Instant::now() >= until {
            return step.clone();
        }
        sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn a_coordinator_sends_the_stored_orders_and_reads_the_stored_answers() {
    let stand_ins = StandIns {
        seen: Arc::default(),
        begin: Instant::now(),
    };
    let coordinator = Coordinator::start(stand_ins.listen().await);
    let orders: Vec<&str> = ORDERS.lines().collect();
    let [greeting, hold, stray_stop, first_start, second_start, stop, next_token] = orders[..]
    else {
        panic!("there are {} stored orders", orders.len())
    };
    let body = CONFIGURATION.as_bytes().to_vec();
    let configure = CoordinatorRequest::ReplaceConfiguration { base: 0, body };
    coordinator
        .ask_until(configure, CoordinatorResponse::ConfigurationAccepted)
        .await;
    stand_ins.sent(greeting).await;
    stand_ins.sent(stray_stop).await;
    let submit = CoordinatorRequest::Submit(Box::new(submission()));
    coordinator
        .ask_until(submit, CoordinatorResponse::Accepted)
        .await;
    stand_ins.sent(first_start).await;
    stand_ins.sent(hold).await;

    // What was read of the platform's list shows in why its workers do not take the second task.
    let step = explained_workers(&coordinator).await;
    let meant = serde_json::json!({"known": 6, "not_listed": 0, "draining": 1, "not_answering": 0, "left_alone": 0,
        "without_label": 1, "too_small": 3, "without_room": 1, "kept_for_others": 0, "away_from_data": 0, "free": 0});
    assert_that!(step["workers"], eq(&meant));
    let run = serde_json::json!([{"task": TASK, "run": 1, "worker": "w-1", "percent": 42}]);
    assert_that!(step["running"], eq(&run));

    stand_ins.with(|seen| seen.fail_first_run = true);
    stand_ins.sent(second_start).await;
    let cancel = CoordinatorRequest::Cancel {
        queue: "h/q/".to_owned(),
        job: JOB,
    };
    coordinator
        .ask_until(cancel, CoordinatorResponse::Accepted)
        .await;
    stand_ins.sent(stop).await;
    // Whoever is refused for its token claims the role anew, and so gets a higher one.
    stand_ins.with(|seen| seen.refuse = true);
    stand_ins.sent(next_token).await;

    let pages = stand_ins.with(|seen| seen.pages.clone());
    assert_that!(
        pages,
        eq(&BTreeSet::from(
            ["/instances", "/instances?pageToken=p%202%2F%C3%A9"].map(str::to_owned)
        ))
    );
    expect_heads(&stand_ins.with(|seen| seen.heads.clone()));
    expect_ends(&coordinator.ends_on_disk());
}

/// Every order says which life of the worker it is for.
fn expect_heads(heads: &BTreeSet<String>) {
    for path in ["/-/hold", "/-/run-start", "/-/run-stop"] {
        let head = format!(
            "POST {path} HTTP/1.1\nhost: ADDRESS\ncontent-type: application/json\nexpected-instance: w-1"
        );
        assert_that!(heads, contains(eq(&head)));
    }
}

/// The ends that the worker listed are in the log with the kinds and checkpoints that their words say.
fn expect_ends(ends: &[RunCompletion]) {
    let of_nobody = |number: u64, kind, checkpoint: &str| RunCompletion {
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
    let own = TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let meant = [
        of_nobody(1, CompletionKind::Done, "c-1"),
        of_nobody(2, CompletionKind::Failed, ""),
        of_nobody(3, CompletionKind::Stopped, "c-3"),
        of_nobody(4, CompletionKind::LeaseExpired, "c-4"),
        of_nobody(5, CompletionKind::GangEnded, "c-5"),
        of_nobody(6, CompletionKind::GangTimedOut, "c-6"),
        of_nobody(7, CompletionKind::Stopped, "c-7"),
        RunCompletion {
            task: own,
            run: 1,
            kind: CompletionKind::Failed,
            checkpoint: "c-8".to_owned(),
        },
    ];
    assert_that!(ends, eq(&meant));
}
