//! Attempts: one request to one upstream, written at most once, and its response. Owns only the state of each attempt.
use super::connection::Connection;
use super::load_report::{reported, IN_FLIGHT_FIELD, SERVED_PER_S_FIELD};
use super::pool::Upstream;
use super::request_write::{Progress, WriteRefusal};
use crate::message::{
    retain_end_to_end, FinalResponse, OutgoingRequest, DEADLINE_HEADER, MAX_BODY_LEN,
};
use crate::sockets::Sockets;
use balancer_core::Ending;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Margin below the idle timeout of upstreams. A request written to a connection that the upstream is about to close
/// ends as a reset, and the upstream measures from its last byte, not from when the balancer read it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// Maximum time for a connection to become ready for its next request after a response has been read completely.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum age of the remaining time in a request's deadline header when it is written.
const MAX_DEADLINE_AGE: Duration = Duration::from_millis(50);

/// The header that marks a response as a rejection: the request did not run.
const DECLINED_HEADER: HeaderName = HeaderName::from_static("srv-declined");

/// How an attempt ended.
pub(crate) struct AttemptOutcome {
    /// The result reported to the module.
    pub ending: Ending,
    /// The response, if the request was served.
    pub response: Option<FinalResponse>,
    /// The number of requests in flight reported by the upstream.
    pub in_flight: Option<f64>,
    /// The rate of served requests per second reported by the upstream.
    pub served_per_s: Option<f64>,
}

impl AttemptOutcome {
    fn failed(ending: Ending) -> AttemptOutcome {
        AttemptOutcome {
            ending,
            response: None,
            in_flight: None,
            served_per_s: None,
        }
    }
}

/// The time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTimes {
    /// The write must begin before this time.
    pub write_by: Instant,
    /// The attempt times out at this time.
    pub until: Instant,
}

/// State shared by all attempts.
#[derive(Clone)]
pub(crate) struct Transport {
    /// A connection that is not established after this time counts as refused.
    pub dial_timeout: Duration,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// The budget of sockets.
    pub sockets: Sockets,
}

impl Transport {
    /// Creates a transport; `idle_close` is the idle timeout of upstreams.
    pub(crate) fn new(dial_timeout: Duration, idle_close: Duration, sockets: Sockets) -> Self {
        let idle_timeout = idle_close
            .saturating_sub(IDLE_TIMEOUT_MARGIN)
            .max(idle_close / 2);
        Transport {
            dial_timeout,
            idle_timeout,
            sockets,
        }
    }

    async fn dial(&self, addr: SocketAddr, until: Instant) -> Option<Connection> {
        let permit = self.sockets.try_acquire_upstream()?;
        let until = until.min(Instant::now() + self.dial_timeout);
        timeout_at(until, Connection::dial(addr, permit))
            .await
            .ok()?
    }

    /// Takes an idle connection or opens a new one.
    async fn connect(&self, upstream: &Upstream, until: Instant) -> Option<Connected> {
        if let Some(reused) = upstream.take(self.idle_timeout) {
            sleep_until(reused.ready_at).await;
            return Some(Connected {
                connection: reused.connection,
                is_reused: true,
            });
        }
        let connection = self.dial(upstream.addr.get(), until).await?;
        Some(Connected {
            connection,
            is_reused: false,
        })
    }

    /// Writes the request and waits for the head of its response. The request is never written twice: another
    /// connection is used only if no byte was written to the previous one, or if the request is known to be incomplete
    /// there.
    async fn exchange(&self, exchange: &Exchange) -> Result<Exchanged, Ending> {
        let write_by = exchange.times.write_by;
        loop {
            let connected = self.connect(&exchange.upstream, write_by).await;
            let connected = connected.ok_or_else(|| exchange.not_connected())?;
            let Connected {
                mut connection,
                is_reused,
            } = connected;
            // The client may have disconnected, or a new list may have arrived, without the runtime having noticed.
            // Yielding makes the runtime poll for I/O and run the tasks that wait for it first.
            yield_now().await;
            let request = exchange.request().ok_or(Ending::NotSent)?;
            exchange.begin_write(&connection);
            let response = connection.sender.try_send_request(request).await;
            let refusal = connection.write.refusal();
            let progress = connection.write.progress();
            match response {
                Ok(head) => {
                    check_head(&head, progress, refusal)?;
                    return Ok(Exchanged { connection, head });
                }
                Err(_) => check_may_use_another(progress, refusal, is_reused)?,
            }
        }
    }

    /// Carries out one attempt: its request is written at most once, and not after `times.write_by`; it ends by
    /// `times.until`. Dropping the future closes the connection.
    pub(crate) async fn attempt(
        &self,
        upstream: Rc<Upstream>,
        outgoing: Rc<OutgoingRequest>,
        times: AttemptTimes,
    ) -> AttemptOutcome {
        let exchange = Exchange {
            upstream,
            outgoing,
            times,
        };
        let Exchanged {
            mut connection,
            head,
        } = match self.exchange(&exchange).await {
            Ok(exchanged) => exchanged,
            Err(ending) => return AttemptOutcome::failed(ending),
        };
        let ending = ending_of(&head);
        let in_flight = reported(head.headers(), IN_FLIGHT_FIELD);
        let served_per_s = reported(head.headers(), SERVED_PER_S_FIELD);
        let (head, body) = head.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_LEN).collect().await else {
            return AttemptOutcome::failed(Ending::Reset);
        };
        // Returns the connection to the pool before reporting the outcome, so that the next attempt can reuse it.
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            exchange.upstream.put_back(connection);
        }
        let response = (ending == Ending::Ok).then(|| {
            let mut headers = head.headers;
            retain_end_to_end(&mut headers);
            FinalResponse::Served {
                headers,
                body: body.to_bytes(),
            }
        });
        AttemptOutcome {
            ending,
            response,
            in_flight,
            served_per_s,
        }
    }
}

/// A connection that can carry a request.
struct Connected {
    connection: Connection,
    /// Whether it has carried requests before.
    is_reused: bool,
}

/// The connection that a request was written to, and the head of the response.
struct Exchanged {
    connection: Connection,
    head: Response<Incoming>,
}

/// A request on its way to an upstream.
struct Exchange {
    upstream: Rc<Upstream>,
    outgoing: Rc<OutgoingRequest>,
    times: AttemptTimes,
}

impl Exchange {
    /// Returns the result when no connection was established. Running out of time says nothing about the upstream.
    fn not_connected(&self) -> Ending {
        if Instant::now() >= self.times.write_by {
            Ending::NotSent
        } else {
            Ending::ConnectFailed
        }
    }

    /// Returns the request with the remaining time in its deadline header, or `None` if it may no longer be written.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let now = Instant::now();
        check_may_begin(&self.upstream, &self.outgoing, self.times.write_by, now).ok()?;
        let left = (self.times.until - now).as_micros();
        let deadline = HeaderValue::try_from(format!("{left}u")).ok()?;
        let mut request = self.outgoing.request().ok()?;
        request.headers_mut().insert(DEADLINE_HEADER, deadline);
        Some(request)
    }

    /// Installs the checks for writing the request on `connection`.
    fn begin_write(&self, connection: &Connection) {
        let (upstream, outgoing) = (self.upstream.clone(), self.outgoing.clone());
        let write_by = self.times.write_by;
        let deadline_set = Instant::now();
        connection.write.begin(move |progress| {
            let now = Instant::now();
            match progress {
                Progress::Unwritten => check_may_begin(&upstream, &outgoing, write_by, now)?,
                _ if outgoing.has_ended.get() => return Err(WriteRefusal::Ended),
                _ => return Ok(()),
            }
            if now - deadline_set > MAX_DEADLINE_AGE {
                return Err(WriteRefusal::DeadlineStale);
            }
            Ok(())
        });
    }
}

/// Checks whether the first byte of a request may be written. The decision to send was made before connecting.
/// Meanwhile the upstream may have begun to drain, the request may have ended, or the time limit of the attempt or the
/// window for retries may have passed.
fn check_may_begin(
    upstream: &Upstream,
    outgoing: &OutgoingRequest,
    write_by: Instant,
    now: Instant,
) -> Result<(), WriteRefusal> {
    if upstream.is_closed.get() || outgoing.has_ended.get() || now >= write_by {
        return Err(WriteRefusal::Ended);
    }
    Ok(())
}

/// Checks whether a response can belong to the request that was written.
fn check_head<B>(
    head: &Response<B>,
    progress: Progress,
    refusal: Option<WriteRefusal>,
) -> Result<(), Ending> {
    let is_complete = progress == Progress::Complete;
    if is_complete && has_ambiguous_length(head) {
        return Err(Ending::Reset);
    }
    if is_complete && refusal.is_none() {
        return Ok(());
    }
    // The upstream responded to an incomplete request, which can no longer become complete.
    if ending_of(head) == Ending::Rejected {
        return Err(Ending::Rejected);
    }
    Err(Ending::ConnectFailed)
}

/// Checks whether a request that failed on this connection may be written to another one.
fn check_may_use_another(
    progress: Progress,
    refusal: Option<WriteRefusal>,
    is_reused: bool,
) -> Result<(), Ending> {
    match (refusal, progress) {
        (Some(WriteRefusal::Ended), _) => Err(Ending::NotSent),
        (Some(WriteRefusal::DeadlineStale), _) => Ok(()),
        // An idle connection that was closed by the upstream, or that received unsolicited input, says nothing about
        // the state of the upstream, so the next one is tried. Each connection is tried once.
        (_, Progress::Unwritten) if is_reused => Ok(()),
        (_, Progress::Unwritten | Progress::Partial) => Err(Ending::ConnectFailed),
        (_, Progress::Complete) => Err(Ending::Reset),
    }
}

/// Whether a response states its length in two ways. It is unknown which one is wrong, so the rest of this response
/// could be read as the next one (RFC 9112, section 6.3).
fn has_ambiguous_length<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH)
}

/// Returns the result of an attempt according to its response. Only [`DECLINED_HEADER`] proves that the request did not
/// run.
fn ending_of<B>(response: &Response<B>) -> Ending {
    let headers = response.headers();
    let is_declined = headers
        .get(DECLINED_HEADER)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Ending::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            Ending::Rejected
        }
        _ => Ending::Error,
    }
}
