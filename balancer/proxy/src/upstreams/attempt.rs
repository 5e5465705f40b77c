//! Attempts: one request to one upstream, written once at most, and its answer.
use super::connection::Connection;
use super::load_report::{reported, HELD, SERVED};
use super::pool::Upstream;
use super::request_write::{Progress, Refused};
use crate::message::{end_to_end, Answer, Outgoing, BODY_MOST, DEADLINE};
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

/// How long the time-out of an idle connection is undercut: what is sent on one that the upstream is about to
/// close ends as a reset, and the upstream counts from its last byte, not from when we read it.
const IDLE_MARGIN: Duration = Duration::from_millis(250);
/// How long a connection may take to be ready for its next request once an answer has been read whole.
const READY_WAIT: Duration = Duration::from_millis(5);

/// The time left that a request's head tells may be this old when it is written.
const STAMP_MOST: Duration = Duration::from_millis(50);

const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// How an attempt ended.
pub(crate) struct Ended {
    /// What the module is told.
    pub ending: Ending,
    /// The answer, if the request was served.
    pub answer: Option<Answer>,
    /// The requests that the upstream says it holds.
    pub held: Option<f64>,
    /// The requests a second that it says it serves.
    pub served: Option<f64>,
}

/// What all attempts share.
#[derive(Clone)]
pub(crate) struct Transport {
    /// A connection that is not up after this long counts as refused.
    pub dial_timeout: Duration,
    /// Connections are closed when idle for this long.
    pub idle: Duration,
    /// Sockets that may still be opened.
    pub sockets: Sockets,
}

impl Transport {
    /// `idle_close` is when upstreams close idle connections.
    pub(crate) fn new(dial_timeout: Duration, idle_close: Duration, sockets: Sockets) -> Self {
        let idle = idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2);
        Transport {
            dial_timeout,
            idle,
            sockets,
        }
    }

    async fn dial(&self, addr: SocketAddr, until: Instant) -> Option<Connection> {
        let permit = self.sockets.upstream()?;
        let until = until.min(Instant::now() + self.dial_timeout);
        timeout_at(until, Connection::dial(addr, permit))
            .await
            .ok()?
    }

    /// A connection to `to`, and whether it has carried requests before.
    async fn connect(&self, to: &Upstream, until: Instant) -> Option<(Connection, bool)> {
        match to.take(self.idle) {
            Some((connection, settled)) => {
                sleep_until(settled).await;
                Some((connection, true))
            }
            None => Some((self.dial(to.addr.get(), until).await?, false)),
        }
    }

    /// Writes the request on one connection and waits for the head of its answer. Nothing is written twice: another
    /// connection is tried only if the one before did not take a byte, or surely not all.
    async fn exchange(&self, of: &Exchange) -> Result<(Connection, Response<Incoming>), Ending> {
        loop {
            let connected = self.connect(&of.to, of.write_by).await;
            let (mut connection, reused) = connected.ok_or_else(|| of.not_connected())?;
            // Guards against a client that left, or a list that came, before this turn began: the runtime asks the
            // system once more what has come, and hands that to those who wait for it first.
            yield_now().await;
            let request = of.request().ok_or(Ending::Moot)?;
            of.begin_on(&connection);
            let answer = connection.sender.try_send_request(request).await;
            let refused = connection.write.refused();
            match (answer, connection.write.progress()) {
                (Ok(answer), Progress::Whole) if has_two_lengths(&answer) => {
                    return Err(Ending::Reset)
                }
                (Ok(answer), Progress::Whole) if refused.is_none() => {
                    return Ok((connection, answer))
                }
                // Of no request that was not whole at the upstream; it can't get whole any more.
                (Ok(answer), _) if ending(&answer) == Ending::Full => return Err(Ending::Full),
                (Ok(_), _) => return Err(Ending::ConnectFailed),
                (Err(_), _) if refused == Some(Refused::Over) => return Err(Ending::Moot),
                (Err(_), _) if refused == Some(Refused::Stale) => {}
                // A connection that was idle and had been closed meanwhile, or has brought something unasked, says
                // nothing about the upstream, so the next one is tried; each is tried once.
                (Err(_), Progress::Unwritten) if reused => {}
                (Err(_), Progress::Unwritten | Progress::Partial) => {
                    return Err(Ending::ConnectFailed)
                }
                (Err(_), Progress::Whole) => return Err(Ending::Reset),
            }
        }
    }

    /// Carries one attempt out: its request is written once at most, and not after the first of `times`; it ends by
    /// the second. Dropping the future closes the connection.
    pub(crate) async fn attempt(
        &self,
        to: Rc<Upstream>,
        out: Rc<Outgoing>,
        times: (Instant, Instant),
    ) -> Ended {
        let failed = |ending| Ended {
            ending,
            answer: None,
            held: None,
            served: None,
        };
        let (write_by, until) = times;
        let of = Exchange {
            to,
            out,
            write_by,
            until,
        };
        let (mut connection, answer) = match self.exchange(&of).await {
            Ok(exchanged) => exchanged,
            Err(ending) => return failed(ending),
        };
        let (ending, headers) = (ending(&answer), answer.headers());
        let (held, served) = (reported(headers, HELD), reported(headers, SERVED));
        let (head, body) = answer.into_parts();
        let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
            return failed(Ending::Reset);
        };
        // Back before the outcome is told: what the module sends next may go on this connection.
        if let Ok(Ok(())) = timeout(READY_WAIT, connection.sender.ready()).await {
            of.to.give_back(connection);
        }
        let answer = (ending == Ending::Ok).then(|| {
            let mut headers = head.headers;
            end_to_end(&mut headers);
            Answer::Served {
                headers,
                body: body.to_bytes(),
            }
        });
        Ended {
            ending,
            answer,
            held,
            served,
        }
    }
}

/// A request on its way to an upstream.
struct Exchange {
    to: Rc<Upstream>,
    out: Rc<Outgoing>,
    /// It must not be written from then on.
    write_by: Instant,
    /// It is waited for until then.
    until: Instant,
}

impl Exchange {
    /// What it means that no connection came up. One given up for want of time says nothing about the upstream.
    fn not_connected(&self) -> Ending {
        if Instant::now() >= self.write_by {
            Ending::Moot
        } else {
            Ending::ConnectFailed
        }
    }

    /// The request with the time that is left now; `None` if it may not be written any more.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let now = Instant::now();
        may_begin(&self.to, &self.out, self.write_by, now).ok()?;
        let left = (self.until - now).as_micros();
        let mut request = self.out.request().ok()?;
        request
            .headers_mut()
            .insert(DEADLINE, HeaderValue::try_from(format!("{left}u")).ok()?);
        Some(request)
    }

    /// Has the write of the request checked on `connection`.
    fn begin_on(&self, connection: &Connection) {
        let (to, out, write_by) = (self.to.clone(), self.out.clone(), self.write_by);
        let stamped = Instant::now();
        connection.write.begin(move |progress| {
            let now = Instant::now();
            match progress {
                Progress::Unwritten => may_begin(&to, &out, write_by, now)?,
                _ if out.over.get() => return Err(Refused::Over),
                _ => return Ok(()),
            }
            if now - stamped > STAMP_MOST {
                return Err(Refused::Stale);
            }
            Ok(())
        });
    }
}

/// Whether the first byte of a request may be written. Guards against what was decided before dialling and must not be
/// written after it: the upstream may drain, the attempt's time, the window of a repeat or the request itself may be over
/// by now.
fn may_begin(
    to: &Upstream,
    out: &Outgoing,
    write_by: Instant,
    now: Instant,
) -> Result<(), Refused> {
    if to.closed.get() || out.over.get() || now >= write_by {
        return Err(Refused::Over);
    }
    Ok(())
}

/// Whether an answer says in two ways how long it is. One of them is wrong, and nobody can tell which: what is read as
/// the next answer may be the rest of this one.
fn has_two_lengths<B>(answer: &Response<B>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH)
}

/// What an answer says. Only a mark that the request was turned away proves that it never ran.
fn ending<B>(answer: &Response<B>) -> Ending {
    let declined = answer.headers().get(DECLINED).is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => Ending::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Ending::Full,
        _ => Ending::Error,
    }
}
