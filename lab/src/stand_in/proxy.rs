//! Forwards requests, or misbehaves. Owns the idle connections to upstreams and the leaked resources.
use super::connect::{connect, Sender};
use super::misbehavior::Misbehavior;
use super::upstreams::Upstreams;
use crate::net::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;

/// The maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection that is not ready for the next request within this time after a response is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(5);
/// The time from a response to the attempt that [`Misbehavior::SendAfterResponse`] makes after it.
const LATE_ATTEMPT_DELAY: Duration = Duration::from_millis(300);
/// Memory leaked with each request, in bytes.
const LEAK_BYTES: usize = 4 << 20;
/// The number of requests served before a crash.
const REQUESTS_BEFORE_CRASH: usize = 20;
const CRASH_EXIT_CODE: i32 = 3;
/// A datagram longer than the 256 bytes that the protocol allows.
const OVERSIZE_DATAGRAM: [u8; 300] = [0; 300];

/// The connection of a request is closed with no response.
#[derive(Debug, Error)]
#[error("response dropped on purpose")]
pub(super) struct ResponseLost;

type Handled = Result<Response<Full<Bytes>>, ResponseLost>;

/// Leaked resources.
#[derive(Default)]
struct Leaked {
    memory: Vec<u8>,
    connections: Vec<TcpStream>,
}

/// A request that has been read in full.
struct ReceivedRequest {
    head: Parts,
    body: Bytes,
    /// Whether it is one of the tenth of all requests that some misbehaviors pick.
    is_tenth: bool,
    /// How many requests there were, this one included.
    number: usize,
}

impl ReceivedRequest {
    /// The request for one attempt.
    fn attempt(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::clone(&self.head.method);
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        request
    }
}

/// Forwards requests to upstreams.
pub(super) struct Proxy {
    misbehavior: Option<Misbehavior>,
    upstreams: Arc<Upstreams>,
    requests: AtomicUsize,
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
    leaked: Mutex<Leaked>,
    tenants_seen: Mutex<Vec<Option<HeaderValue>>>,
    listen: SocketAddr,
    /// Where a datagram to all peers is sent.
    peers: SocketAddr,
}

impl Proxy {
    pub(super) fn new(
        misbehavior: Option<Misbehavior>,
        upstreams: Arc<Upstreams>,
        listen: SocketAddr,
        peers: SocketAddr,
    ) -> Proxy {
        Proxy {
            misbehavior,
            upstreams,
            requests: AtomicUsize::new(0),
            idle: Mutex::default(),
            leaked: Mutex::default(),
            tenants_seen: Mutex::default(),
            listen,
            peers,
        }
    }

    /// How many requests there were.
    pub(super) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Handles one request.
    ///
    /// # Errors
    /// Fails if the stand-in drops the response on purpose; the connection is closed then.
    pub(super) async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        if request.uri().path() == "/-/ready" {
            return Ok(self.readiness());
        }
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let mut request = ReceivedRequest {
            head,
            body: body.to_bytes(),
            is_tenth: number.is_multiple_of(10),
            number,
        };
        if let Some(response) = self.misbehave_before(&mut request).await {
            return Ok(response);
        }
        let Some(upstream) = self.upstreams.choose() else {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        };
        let response = self.send(upstream, request.attempt()).await;
        self.misbehave_after(request, upstream, response).await
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        empty_response(match self.misbehavior {
            Some(Misbehavior::NeverReady) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        })
    }

    /// Commits the violations that precede the first attempt; returns a response if no attempt is to be made.
    async fn misbehave_before(
        &self,
        request: &mut ReceivedRequest,
    ) -> Option<Response<Full<Bytes>>> {
        match self.misbehavior? {
            Misbehavior::InventResponse if request.is_tenth => {
                return Some(Response::new(Full::new(Bytes::from("all is well\n"))));
            }
            Misbehavior::NeverRespond if request.is_tenth => std::future::pending().await,
            Misbehavior::LeakMemory => lock(&self.leaked).memory.extend(vec![1; LEAK_BYTES]),
            Misbehavior::LeakDescriptors => {
                let connection = TcpStream::connect(self.listen).await;
                lock(&self.leaked).connections.extend(connection);
            }
            Misbehavior::OversizeDatagram => self.send_oversize_datagram().await,
            Misbehavior::RefuseFirstTenant if self.is_of_first_tenant(request) => {
                return Some(empty_response(StatusCode::SERVICE_UNAVAILABLE));
            }
            Misbehavior::Crash if request.number > REQUESTS_BEFORE_CRASH => {
                std::process::exit(CRASH_EXIT_CODE)
            }
            Misbehavior::ForgeRequestId if request.is_tenth => {
                let forged = HeaderValue::from_static("00000000000000ff");
                request.head.headers.insert("req-id", forged);
            }
            _ => {}
        }
        None
    }

    async fn send_oversize_datagram(&self) {
        if let Ok(socket) = UdpSocket::bind((self.listen.ip(), 0)).await {
            // The lab detects missing datagrams.
            let _ = socket.send_to(&OVERSIZE_DATAGRAM, self.peers).await;
        }
    }

    /// Whether a request belongs to the first tenant seen, and another tenant has been seen since.
    fn is_of_first_tenant(&self, request: &ReceivedRequest) -> bool {
        let tenant = request.head.headers.get("req-owner").cloned();
        let mut seen = lock(&self.tenants_seen);
        if !seen.contains(&tenant) {
            seen.push(tenant.clone());
        }
        seen.len() > 1 && seen.first() == Some(&tenant)
    }

    /// Commits the violations that follow the first attempt, and returns the response for the client.
    async fn misbehave_after(
        self: Arc<Self>,
        request: ReceivedRequest,
        upstream: SocketAddr,
        response: Option<Response<Full<Bytes>>>,
    ) -> Handled {
        match self.misbehavior {
            Some(Misbehavior::LoseResponse) if request.is_tenth => return Err(ResponseLost),
            Some(Misbehavior::RefuseAfterRun) if request.is_tenth => {
                return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
            }
            Some(Misbehavior::SendTwiceAtOnce) => {
                return Ok(self.send_twice(&request, upstream).await);
            }
            Some(Misbehavior::RepeatRequest) => {
                return Ok(self.send_again(&request, 1, response).await);
            }
            Some(Misbehavior::RetryTooOften) => {
                return Ok(self.send_again(&request, 4, response).await);
            }
            Some(Misbehavior::SendAfterResponse) if request.is_tenth => {
                tokio::spawn(async move {
                    tokio::time::sleep(LATE_ATTEMPT_DELAY).await;
                    self.send(upstream, request.attempt()).await;
                });
            }
            _ => {}
        }
        Ok(response.unwrap_or_else(bad_gateway))
    }

    async fn send_twice(
        &self,
        request: &ReceivedRequest,
        upstream: SocketAddr,
    ) -> Response<Full<Bytes>> {
        let Some(other) = self.upstreams.choose() else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let (first, second) = tokio::join!(
            self.send(upstream, request.attempt()),
            self.send(other, request.attempt())
        );
        first.or(second).unwrap_or_else(bad_gateway)
    }

    /// Makes `attempts` more attempts, and returns the response of the last one that had an upstream.
    async fn send_again(
        &self,
        request: &ReceivedRequest,
        attempts: usize,
        mut response: Option<Response<Full<Bytes>>>,
    ) -> Response<Full<Bytes>> {
        for _ in 0..attempts {
            if let Some(upstream) = self.upstreams.choose() {
                response = self.send(upstream, request.attempt()).await;
            }
        }
        response.unwrap_or_else(bad_gateway)
    }

    /// Makes one attempt; returns `None` if it got no complete response.
    async fn send(
        &self,
        upstream: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Full<Bytes>>> {
        let mut sender = match self.take_idle(upstream) {
            Some(sender) => sender,
            None => timeout(CONNECT_TIMEOUT, connect(upstream)).await.ok()??,
        };
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.ok()?.to_bytes();
        let reusable = timeout(REUSE_TIMEOUT, sender.ready()).await;
        if reusable.is_ok_and(|ready| ready.is_ok()) {
            lock(&self.idle).entry(upstream).or_default().push(sender);
        }
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = head.status;
        Some(response)
    }

    /// The most recently used idle connection to an upstream that is still open.
    fn take_idle(&self, upstream: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&upstream)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

fn bad_gateway() -> Response<Full<Bytes>> {
    empty_response(StatusCode::BAD_GATEWAY)
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
