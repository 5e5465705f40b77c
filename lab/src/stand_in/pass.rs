//! A pass-through: takes requests, chooses an upstream from the list of discovery, and forwards; or does one thing
//! wrong.
use super::figures::write_figures;
use super::speaks::{speak, Voice};
use super::wrong::{Choice, Wrong};
use crate::net::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1 as client;
use hyper::header::HeaderValue;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const BODY_MOST: usize = 64 << 10;
const WATCH: &str = "timeout_ms=5000";

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    known: Listing,
    peers_all: SocketAddr,
    settings: Settings,
}

#[derive(Deserialize)]
struct Settings {
    index: u16,
}

#[derive(Deserialize)]
struct Listing {
    version: u64,
    full: bool,
    servers: Vec<Entry>,
}

#[derive(Clone, Deserialize)]
struct Entry {
    id: String,
    addr: SocketAddr,
    state: String,
    started_ms: f64,
}

type Sender = client::SendRequest<Full<Bytes>>;

struct StandIn {
    choice: Choice,
    wrong: Option<Wrong>,
    list: Mutex<HashMap<String, Entry>>,
    /// The first list that it received: one that ignores updates goes by that.
    first: Vec<Entry>,
    turn: AtomicUsize,
    taken: AtomicUsize,
    rng: Mutex<Pcg64Mcg>,
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
    hoard: Mutex<(Vec<u8>, Vec<TcpStream>)>,
    tenants_seen: Mutex<Vec<Option<HeaderValue>>>,
    listen: SocketAddr,
    peers_all: SocketAddr,
}

/// Runs one until it is killed.
pub async fn run(choice: Choice, wrong: Option<Wrong>) -> Result<(), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Config = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("{path}: seed: {e}"))?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("{}: {e}", config.listen))?;
    eprintln!("stand-in serving on {}", config.listen);
    let own = Arc::new(StandIn {
        choice,
        wrong,
        first: config.known.servers.clone(),
        list: Mutex::new(
            config
                .known
                .servers
                .iter()
                .map(|e| (e.id.clone(), e.clone()))
                .collect(),
        ),
        turn: AtomicUsize::new(0),
        taken: AtomicUsize::new(0),
        rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        idle: Mutex::default(),
        hoard: Mutex::default(),
        tenants_seen: Mutex::default(),
        listen: config.listen,
        peers_all: config.peers_all,
    });
    if let Some(wrong @ (Wrong::Boasts | Wrong::Stutters | Wrong::Remembers)) = wrong {
        let writer = own.clone();
        tokio::spawn(write_figures(wrong, move || {
            writer.taken.load(Ordering::Relaxed)
        }));
    }
    if let Some(voice) = wrong.and_then(Voice::of) {
        let (place, at, to) = (config.settings.index, config.listen.ip(), config.peers_all);
        tokio::spawn(async move { speak(voice, place, at, to).await });
    }
    let watcher = own.clone();
    tokio::spawn(async move { watcher.watch(config.discovery, config.known.version).await });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // A client that has left by now shows when its request is read.
        let _ = stream.set_nodelay(true);
        let own = own.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let own = own.clone();
                async move { own.take(request).await }
            });
            // How a client's connection ends is the client's to see.
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

impl StandIn {
    /// Follows discovery.
    async fn watch(&self, at: SocketAddr, mut version: u64) {
        loop {
            let call = async {
                let mut sender = dial(at).await?;
                let uri = format!("/api/targets?since={version}&{WATCH}");
                let request = Request::get(uri)
                    .header("host", "agent")
                    .body(Full::default())
                    .ok()?;
                let answer = sender.send_request(request).await.ok()?;
                let body = Limited::new(answer.into_body(), 4 << 20)
                    .collect()
                    .await
                    .ok()?
                    .to_bytes();
                serde_json::from_slice::<Listing>(&body).ok()
            };
            match timeout(Duration::from_secs(6), call).await {
                Ok(Some(news)) if news.version >= version => {
                    version = news.version;
                    let mut list = lock(&self.list);
                    if news.full {
                        list.clear();
                    }
                    list.extend(news.servers.into_iter().map(|e| (e.id.clone(), e)));
                }
                _ => tokio::time::sleep(Duration::from_millis(200)).await,
            }
        }
    }

    fn choose(&self) -> Option<SocketAddr> {
        if self.wrong == Some(Wrong::Deaf) {
            return self
                .first
                .get(self.turn.fetch_add(1, Ordering::Relaxed) % self.first.len().max(1))
                .map(|e| e.addr);
        }
        let list = lock(&self.list);
        let mut active: Vec<&Entry> = list.values().filter(|e| e.state == "active").collect();
        if self.wrong == Some(Wrong::Crowds) {
            return active
                .into_iter()
                .max_by(|a, b| a.started_ms.total_cmp(&b.started_ms))
                .map(|e| e.addr);
        }
        active.sort_by(|a, b| a.id.cmp(&b.id));
        let turn = match self.choice {
            Choice::Random => lock(&self.rng).gen::<u32>() as usize,
            Choice::RoundRobin => self.turn.fetch_add(1, Ordering::Relaxed),
        };
        active.get(turn % active.len().max(1)).map(|e| e.addr)
    }

    async fn take(
        self: Arc<Self>,
        request: Request<hyper::body::Incoming>,
    ) -> Result<Response<Full<Bytes>>, String> {
        if request.uri().path() == "/-/ready" {
            let ready = self.wrong != Some(Wrong::Idles);
            return Ok(plain(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }));
        }
        let (mut head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
            return Ok(plain(StatusCode::BAD_REQUEST));
        };
        let body = body.to_bytes();
        let number = self.taken.fetch_add(1, Ordering::Relaxed) + 1;
        let tenth = number.is_multiple_of(10);
        match self.wrong {
            Some(Wrong::Invents) if tenth => {
                return Ok(Response::new(Full::new(Bytes::from("all is well\n"))))
            }
            Some(Wrong::Holds) if tenth => std::future::pending().await,
            Some(Wrong::Swells) => lock(&self.hoard).0.extend(vec![1; 4 << 20]),
            Some(Wrong::Hoards) => {
                let more = TcpStream::connect(self.listen).await;
                lock(&self.hoard).1.extend(more);
            }
            Some(Wrong::Shouts) => {
                let socket = tokio::net::UdpSocket::bind((self.listen.ip(), 0)).await;
                if let Ok(socket) = socket {
                    // Whether it arrives is the lab's to see.
                    let _ = socket.send_to(&[0; 300], self.peers_all).await;
                }
            }
            Some(Wrong::Favours) => {
                let tenant = head.headers.get("req-owner").cloned();
                let mut tenants_seen = lock(&self.tenants_seen);
                if !tenants_seen.contains(&tenant) {
                    tenants_seen.push(tenant.clone());
                }
                if tenants_seen.len() > 1 && tenants_seen.first() == Some(&tenant) {
                    return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
                }
            }
            Some(Wrong::Dies) if number > 20 => std::process::exit(3),
            Some(Wrong::Forges) if tenth => {
                head.headers
                    .insert("req-id", HeaderValue::from_static("00000000000000ff"));
            }
            _ => {}
        }
        let again = |head: &hyper::http::request::Parts| {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = Method::clone(&head.method);
            *request.uri_mut() = head.uri.clone();
            *request.headers_mut() = head.headers.clone();
            request
        };
        let Some(to) = self.choose() else {
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
        };
        let answer = self.pass(to, again(&head)).await;
        match self.wrong {
            Some(Wrong::Loses) if tenth => return Err("lost on purpose".into()),
            Some(Wrong::Refuses) if tenth => return Ok(plain(StatusCode::SERVICE_UNAVAILABLE)),
            Some(Wrong::Doubles) => {
                let Some(other) = self.choose() else {
                    return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
                };
                let (first, second) =
                    tokio::join!(self.pass(to, again(&head)), self.pass(other, again(&head)));
                return Ok(first
                    .or(second)
                    .unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)));
            }
            Some(Wrong::Repeats | Wrong::Insists) => {
                let mut last = answer;
                for _ in 0..if self.wrong == Some(Wrong::Insists) {
                    4
                } else {
                    1
                } {
                    if let Some(other) = self.choose() {
                        last = self.pass(other, again(&head)).await;
                    }
                }
                return Ok(last.unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)));
            }
            Some(Wrong::Lingers) if tenth => {
                let (own, request) = (self.clone(), again(&head));
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    own.pass(to, request).await;
                });
            }
            _ => {}
        }
        Ok(answer.unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)))
    }

    /// One attempt.
    async fn pass(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Full<Bytes>>> {
        let kept = loop {
            let next = lock(&self.idle).get_mut(&to).and_then(Vec::pop);
            match next {
                Some(sender) if sender.is_ready() => break Some(sender),
                Some(_) => {}
                None => break None,
            }
        };
        let mut sender = match kept {
            Some(sender) => sender,
            None => timeout(Duration::from_millis(500), dial(to)).await.ok()??,
        };
        let answer = sender.send_request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, BODY_MOST)
            .collect()
            .await
            .ok()?
            .to_bytes();
        if timeout(Duration::from_millis(5), sender.ready())
            .await
            .is_ok_and(|r| r.is_ok())
        {
            lock(&self.idle).entry(to).or_default().push(sender);
        }
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = head.status;
        Some(response)
    }
}

async fn dial(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, conn) = client::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // How it ended shows in the request that was on it.
        let _ = conn.await;
    });
    Some(sender)
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
