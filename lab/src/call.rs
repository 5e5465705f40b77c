//! Calls to balancers, as clients and as upstreams make them.
use crate::clock::pause;
use crate::experiment::{Effect, Millis};
use crate::net::{connect, lock, Link, LinkedStream};
use crate::oracle::{Final, ANSWER_GRACE};
use crate::pool::Conn;
use crate::world::{RequestProfile, World};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at};

/// Bodies hold at most this much.
const BODY_MOST: usize = 64 << 10;
/// What a keyed or single request carries.
const BODY: &[u8] = b"a job for the translators\n";

/// A connection that can't take the next request by then is not kept.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One call.
pub struct Call {
    /// The balancer.
    pub balancer: usize,
    /// The link to it.
    pub link: Arc<Link>,
    /// One-way delay to it.
    pub delay: Millis,
    /// What it asks for.
    pub profile: RequestProfile,
    /// When it counts as sent.
    pub sent: Millis,
    /// How long its client waits, counted from then.
    pub timeout: Millis,
    /// The client leaves by itself after this, counted from then.
    pub cancels_after: Option<Millis>,
    /// It is another try of the same request.
    pub retry: bool,
    /// Its client opens a connection for it and leaves that open, so many at the most.
    pub flood: Option<usize>,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    /// Served; the balancer added this time to what upstreams took.
    Served(Millis),
    /// Refused, with advice when to return, in milliseconds.
    Refused(Option<Millis>),
    /// Answered as failed, or with what is not whole.
    Failed,
    /// No answer came in its time.
    TimedOut,
    /// The connection ended with no answer.
    Ended,
    /// No connection came up: nothing was sent.
    Unreached,
    /// The client left.
    Left,
}

/// Reports to the oracle how a call ended, also where its client is dropped half way.
struct PendingCall<'a> {
    world: &'a World,
    id: u64,
    reported: bool,
}

impl PendingCall<'_> {
    fn ends(&mut self, how: Final) {
        if !std::mem::replace(&mut self.reported, true) {
            let now = self.world.now();
            lock(&self.world.oracle).ended(now, self.id, how);
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.ends(Final::Left);
        self.world.forget(self.id);
    }
}

impl Call {
    /// Makes the call and waits for what comes of it.
    pub async fn make(self, world: &World) -> CallResult {
        let cancels_after = self
            .cancels_after
            .map(|after| world.clock.instant(self.sent + after));
        match cancels_after {
            Some(at) => timeout_at(at, self.carry(world))
                .await
                .unwrap_or(CallResult::Left),
            None => self.carry(world).await,
        }
    }

    async fn carry(&self, world: &World) -> CallResult {
        pause(self.delay).await;
        let gives_up = world.clock.instant(self.sent + self.timeout);
        let id = world.ask(self.profile);
        let mut pending = PendingCall {
            world,
            id,
            reported: true,
        };
        // One that floods takes a connection of its own for each request.
        let mut fresh = self.flood.is_some();
        loop {
            let pool = &world.pools[self.balancer];
            let pooled = if fresh { None } else { pool.take() };
            fresh |= pooled.is_none();
            let conn = match pooled {
                Some(conn) => Some(conn),
                None => timeout_at(gives_up, self.dial(world)).await.unwrap_or(None),
            };
            let Some(mut conn) = conn else {
                return CallResult::Unreached;
            };
            let Some(request) = self.request(world, id) else {
                return CallResult::Unreached;
            };
            let (deadline, written) = (self.sent + self.timeout, world.now());
            lock(&world.oracle).taken(written, id, self.profile.class, self.balancer, deadline);
            pending.reported = false;
            let latest = world.clock.instant(deadline + ANSWER_GRACE);
            let answer = match timeout_at(latest, conn.sender.try_send_request(request)).await {
                Ok(Ok(answer)) => answer,
                // An idle connection may be closed just when it is used: where the balancer can't have read the
                // request, it is sent once more.
                Ok(Err(_)) if !fresh && !lock(&world.oracle).was_forwarded(id) => {
                    fresh = true;
                    continue;
                }
                Ok(Err(_)) => {
                    pending.ends(if fresh { Final::Turned } else { Final::Ended });
                    return CallResult::Ended;
                }
                Err(_) => {
                    pending.ends(Final::TimedOut);
                    return CallResult::TimedOut;
                }
            };
            let (how, mut got) = match timeout_at(latest, read(answer)).await {
                Ok(read) => read,
                Err(_) => (Final::TimedOut, CallResult::TimedOut),
            };
            if let CallResult::Served(added) = &mut got {
                let now = world.now();
                *added = now - written - world.profile(id).map_or(0.0, |a| a.at_upstreams);
                lock(&world.tally).served(self.balancer, now);
            }
            pause(self.delay).await;
            pending.ends(how);
            if !matches!(how, Final::Partial | Final::TimedOut) {
                self.keep(world, conn).await;
            }
            return got;
        }
    }

    /// Keeps the connection of a complete response: open and unused where its client floods, else for the next call.
    async fn keep(&self, world: &World, mut conn: Conn) {
        if let Some(most) = self.flood {
            let mut open = lock(&world.floods[self.profile.tenant]);
            open.push_back(conn);
            let over = open.len().saturating_sub(most);
            open.drain(..over);
            return;
        }
        let ready = timeout(READY_TIMEOUT, conn.sender.ready()).await;
        if ready.is_ok_and(|r| r.is_ok()) {
            world.pools[self.balancer].keep(conn);
        }
    }

    async fn dial(&self, world: &World) -> Option<Conn> {
        let gate: LinkedStream = connect(world.block.balancer(self.balancer), &self.link)
            .await
            .ok()?;
        let (sender, conn) = http1::handshake(TokioIo::new(gate)).await.ok()?;
        let mut resets = self.link.resets();
        let task = tokio::spawn(async move {
            // How the connection ended shows in the call that was on it.
            tokio::select! {
                _ = conn => {}
                _ = resets.changed() => {}
            }
        });
        Some(Conn::new(sender, task.abort_handle()))
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

/// Reads an answer whole.
async fn read(answer: Response<hyper::body::Incoming>) -> (Final, CallResult) {
    let status = answer.status();
    let after = answer
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<f64>().ok());
    let Ok(body) = Limited::new(answer.into_body(), BODY_MOST).collect().await else {
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

/// The body of an answer, with the mark that names it.
pub fn body(upstream: &str, mark: u64) -> Bytes {
    Bytes::from(format!("made by {upstream}, mark {mark:016x}\n"))
}

/// The mark in the body of an answer.
pub fn mark(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    u64::from_str_radix(text.trim_end().rsplit_once("mark ")?.1, 16).ok()
}
