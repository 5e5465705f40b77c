//! Fake servers for the platform and all workers, which record what the coordinator sends.
use crate::{DELAY, LONG_TIMEOUT, TASK};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const INITIAL_LISTING: &str = include_str!("../golden/worker/initial_listing.json");
const REFUSAL: &str = include_str!("../golden/worker/refusal.json");
const PAGE_1: &str = include_str!("../golden/platform/page_1.json");
const PAGE_2: &str = include_str!("../golden/platform/page_2.json");

/// Requests that the fake servers received, and the behavior of the fake worker.
#[derive(Default)]
pub(crate) struct Recorded {
    /// Orders as `path incarnation body`, without deadlines.
    pub orders: BTreeSet<String>,
    /// HTTP heads of the orders, without the content length.
    pub heads: BTreeSet<String>,
    /// Paths of the requests to the platform.
    pub pages: BTreeSet<String>,
    /// Whether the worker reports the first run as failed.
    pub fail_first_run: bool,
    /// Whether the worker refuses orders because of a stale token.
    pub refuse: bool,
}

/// The servers; clones share what was recorded.
#[derive(Clone)]
pub(crate) struct FakeServers {
    recorded: Arc<Mutex<Recorded>>,
    started_at: Instant,
}

/// A request to a fake server.
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
    /// Creates servers that have received nothing.
    pub(crate) fn new() -> FakeServers {
        FakeServers {
            recorded: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Accesses what was recorded and how the worker behaves.
    pub(crate) fn with<T>(&self, access: impl FnOnce(&mut Recorded) -> T) -> T {
        access(&mut self.recorded.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Serves requests on a free port and returns its address.
    pub(crate) async fn listen(&self) -> SocketAddr {
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
    pub(crate) async fn wait_for_order(&self, line: &str) {
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
