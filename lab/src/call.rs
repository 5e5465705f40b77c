//! Calls that clients and upstreams make to balancers.
use crate::clock::pause;
use crate::experiment::{Effect, Millis};
use crate::net::{connect, lock, Link, LinkedStream};
use crate::oracle::{Final, ANSWER_GRACE};
use crate::pool::ClientConnection;
use crate::world::{RequestProfile, World};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at};

/// The maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The body of requests that are not safe to repeat.
const BODY: &[u8] = b"a job for the translators\n";

/// A connection that is not ready for the next request within this time after a response is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One call.
pub struct Call {
    /// The balancer.
    pub balancer: usize,
    /// The link to it.
    pub link: Arc<Link>,
    /// The one-way network delay to it.
    pub delay: Millis,
    /// The profile of the request.
    pub profile: RequestProfile,
    /// When the request was sent.
    pub sent: Millis,
    /// How long the client waits, from `sent` on.
    pub timeout: Millis,
    /// The client cancels the call after this time, from `sent` on.
    pub cancels_after: Option<Millis>,
    /// Whether it is a retry of the client.
    pub retry: bool,
    /// If set, the client opens a new connection for the call and keeps it open unused, up to this many connections.
    pub flood: Option<usize>,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    /// Served, with the time that the balancer added to that of the upstreams.
    Served(Millis),
    /// Refused, with the time until a retry that `Retry-After` gives, in milliseconds.
    Refused(Option<Millis>),
    /// Failed, or the response was incomplete.
    Failed,
    /// No response in time.
    TimedOut,
    /// The connection was closed without a response.
    Ended,
    /// No connection could be opened; nothing was sent.
    Unreached,
    /// The client cancelled the call.
    Left,
}

/// Reports to the oracle how a call ended, also if the call is dropped before its end.
struct PendingCall<'a> {
    world: &'a World,
    id: u64,
    reported: bool,
}

impl PendingCall<'_> {
    fn report_end(&mut self, how: Final) {
        if !std::mem::replace(&mut self.reported, true) {
            let now = self.world.now();
            lock(&self.world.oracle).ended(now, self.id, how);
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.report_end(Final::Abandoned);
        self.world.forget(self.id);
    }
}

impl Call {
    /// Makes the call and returns its result.
    pub async fn make(self, world: &World) -> CallResult {
        let cancels_after = self
            .cancels_after
            .map(|after| world.clock.instant(self.sent + after));
        match cancels_after {
            Some(at) => timeout_at(at, self.send(world))
                .await
                .unwrap_or(CallResult::Left),
            None => self.send(world).await,
        }
    }

    async fn send(&self, world: &World) -> CallResult {
        pause(self.delay).await;
        let expiry = world.clock.instant(self.sent + self.timeout);
        let id = world.register_request(self.profile);
        let mut pending = PendingCall {
            world,
            id,
            reported: true,
        };
        // A flooding client opens a new connection for each request.
        let mut new = self.flood.is_some();
        loop {
            let pool = &world.pools[self.balancer];
            let pooled = if new { None } else { pool.take() };
            new |= pooled.is_none();
            let conn = match pooled {
                Some(conn) => Some(conn),
                None => timeout_at(expiry, self.open(world)).await.unwrap_or(None),
            };
            let Some(mut conn) = conn else {
                return CallResult::Unreached;
            };
            let Some(request) = self.request(world, id) else {
                return CallResult::Unreached;
            };
            let (deadline, at) = (self.sent + self.timeout, world.now());
            lock(&world.oracle).request_sent(at, id, self.profile.class, self.balancer, deadline);
            pending.reported = false;
            let latest = world.clock.instant(deadline + ANSWER_GRACE);
            let response = match timeout_at(latest, conn.sender.try_send_request(request)).await {
                Ok(Ok(response)) => response,
                // The balancer may close an idle connection at the moment of its reuse. The request is sent once
                // more if the balancer has not forwarded it.
                Ok(Err(_)) if !new && !lock(&world.oracle).was_forwarded(id) => {
                    new = true;
                    continue;
                }
                Ok(Err(_)) => {
                    pending.report_end(if new { Final::ClosedNew } else { Final::Closed });
                    return CallResult::Ended;
                }
                Err(_) => {
                    pending.report_end(Final::TimedOut);
                    return CallResult::TimedOut;
                }
            };
            let (how, mut got) = match timeout_at(latest, read(response)).await {
                Ok(read) => read,
                Err(_) => (Final::TimedOut, CallResult::TimedOut),
            };
            if let CallResult::Served(added) = &mut got {
                let now = world.now();
                *added = now - at - world.profile(id).map_or(0.0, |a| a.at_upstreams);
                lock(&world.tally).served(self.balancer, now);
            }
            pause(self.delay).await;
            pending.report_end(how);
            if !matches!(how, Final::Partial | Final::TimedOut) {
                self.release(world, conn).await;
            }
            return got;
        }
    }

    /// Releases the connection after a complete response: to the pool, or to the unused open connections of a flooding
    /// client.
    async fn release(&self, world: &World, mut conn: ClientConnection) {
        if let Some(most) = self.flood {
            let mut open = lock(&world.flood_connections[self.profile.tenant]);
            open.push_back(conn);
            let over = open.len().saturating_sub(most);
            open.drain(..over);
            return;
        }
        let ready = timeout(READY_TIMEOUT, conn.sender.ready()).await;
        if ready.is_ok_and(|r| r.is_ok()) {
            world.pools[self.balancer].put_back(conn);
        }
    }

    async fn open(&self, world: &World) -> Option<ClientConnection> {
        let stream: LinkedStream = connect(world.block.balancer(self.balancer), &self.link)
            .await
            .ok()?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let mut resets = self.link.resets();
        let task = tokio::spawn(async move {
            // Errors surface in the call on the connection.
            tokio::select! {
                _ = conn => {}
                _ = resets.changed() => {}
            }
        });
        Some(ClientConnection::new(sender, task.abort_handle()))
    }

    fn request(&self, world: &World, id: u64) -> Option<Request<Full<Bytes>>> {
        let class = &world.experiment.classes[self.profile.class];
        let left = (self.sent + self.timeout - world.now()).max(1.0);
        let mut request = Request::builder()
            .uri("/api")
            .header("host", "service.internal")
            .header("req-id", format!("{id:016x}"))
            .header("req-kind", &class.name)
            .header(
                "req-owner",
                &world.experiment.tenants[self.profile.tenant].name,
            )
            .header("req-deadline", format!("{}u", (left * 1000.0) as u64));
        if self.retry {
            request = request.header("req-retry", "1");
        }
        let body = match class.effect {
            Effect::Safe => Bytes::new(),
            Effect::Keyed => {
                request = request.header("idempotency-key", format!("{:032x}", self.profile.key));
                Bytes::from_static(BODY)
            }
            Effect::Once => Bytes::from_static(BODY),
        };
        if class.effect != Effect::Safe {
            request = request.method(Method::POST);
        }
        request.body(Full::new(body)).ok()
    }
}

/// Reads a complete response.
async fn read(response: Response<hyper::body::Incoming>) -> (Final, CallResult) {
    let status = response.status();
    let after = response
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<f64>().ok());
    let Ok(body) = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    else {
        return (Final::Partial, CallResult::Failed);
    };
    match status {
        StatusCode::OK => (
            Final::Served(mark(&body.to_bytes())),
            CallResult::Served(0.0),
        ),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => (
            Final::Refused,
            CallResult::Refused(after.map(|s| s * 1000.0)),
        ),
        _ => (Final::Failed, CallResult::Failed),
    }
}

/// The body of a response, with a mark that identifies its attempt.
pub fn body(upstream: &str, mark: u64) -> Bytes {
    Bytes::from(format!("made by {upstream}, mark {mark:016x}\n"))
}

/// The mark in the body of a response.
pub fn mark(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    u64::from_str_radix(text.trim_end().rsplit_once("mark ")?.1, 16).ok()
}
