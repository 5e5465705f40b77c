//! One client's connection: its requests one after another, and its close, which must not cross one that has come.
use super::answers::{final_answer, plain};
use super::framing::Framing;
use super::idle::ClientConnection;
use super::lingering::linger;
use super::phase::{closing, Phase};
use super::requests::Requests;
use super::slots::Slots;
use super::stream::ClientStream;
use crate::message::{Answer, BODY_MOST};
use crate::sockets::ClientSlot;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};

/// A client has this long from connecting until its first request is whole: one that sends something else, or
/// nothing, is owed an error or a close within 3 s.
const FIRST_WAIT: Duration = Duration::from_millis(2500);
/// A kept connection has this long for the head of its next request.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// And this long for the body.
const BODY_WAIT: Duration = Duration::from_secs(2);
/// A connection that is to close, and owes no answer, has this long to take what was written, or to send the rest of
/// a head that has begun.
const FLUSH_WAIT: Duration = Duration::from_secs(2);
const READY: &str = "/-/ready";
const SERVICE: &str = "/api";

/// What every connection needs.
pub(super) struct Connections {
    /// Takes its requests.
    pub requests: Requests,
    /// Where it has its slot.
    pub slots: Rc<Slots>,
    /// When it is to be closed.
    pub phase: watch::Receiver<Phase>,
}

/// What ends a connection.
enum CloseReason {
    /// hyper has ended it: the client closed it, wanted it closed after an answer, or sent no proper request.
    Finished,
    /// hyper has ended it, as no head came in time.
    HeadOverdue,
    /// The client left while its request waited for an answer.
    ClientGone,
    /// No whole request came in time.
    FirstOverdue,
    /// It makes way for another client.
    MakesWay,
    /// The program ends.
    ProgramEnds,
}

/// A connection's requests and what is known of it.
struct Exchange<C> {
    /// hyper's side.
    connection: C,
    stream: ClientStream,
    client: Rc<ClientConnection>,
}

impl<C: Future<Output = hyper::Result<()>> + Unpin> Exchange<C> {
    /// Goes on until hyper ends the connection, or the client leaves while its request waits for an answer.
    fn poll_serve(&mut self, cx: &mut Context<'_>) -> Poll<CloseReason> {
        if let Poll::Ready(ended) = Pin::new(&mut self.connection).poll(cx) {
            let is_overdue = ended.is_err_and(|error| error.is_timeout());
            return Poll::Ready(if is_overdue {
                CloseReason::HeadOverdue
            } else {
                CloseReason::Finished
            });
        }
        if self.stream.is_waiting() && self.stream.poll_ended(cx).is_ready() {
            return Poll::Ready(CloseReason::ClientGone);
        }
        Poll::Pending
    }

    /// The same until the socket itself says that there is nothing to read: whoever closes without another await
    /// leaves nothing unread that had come by then.
    fn poll_settle(&mut self, cx: &mut Context<'_>) -> Poll<Option<CloseReason>> {
        loop {
            if let Poll::Ready(reason) = self.poll_serve(cx) {
                return Poll::Ready(Some(reason));
            }
            if !self.client.is_idle() || !self.stream.look() {
                return Poll::Ready(None);
            }
        }
    }

    /// The same until no request is open, none has begun, and all that was written is on its way.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<Option<CloseReason>> {
        match self.poll_settle(cx) {
            Poll::Ready(None) if self.is_quiet() => Poll::Ready(None),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
            ended => ended,
        }
    }

    fn is_quiet(&self) -> bool {
        self.client.is_idle() && self.stream.is_flushed() && !self.stream.has_begun()
    }

    /// Waits until nothing is open on a connection that is to close for this reason. Guards against a close in the
    /// middle of a head, whose last byte may have been written by then, and against clients that never read their
    /// answer: for these it waits until `until` at most.
    async fn close_idle(&mut self, reason: CloseReason, mut until: Instant) -> CloseReason {
        self.client.closes.set(true);
        loop {
            if let Ok(ended) = timeout_at(until, poll_fn(|cx| self.poll_idle(cx))).await {
                return ended.unwrap_or(reason);
            }
            if let Some(ended) = poll_fn(|cx| self.poll_settle(cx)).await {
                return ended;
            }
            if self.client.is_idle() {
                return reason;
            }
            until = Instant::now() + FLUSH_WAIT;
        }
    }
}

impl Connections {
    /// Serves one in a task of its own, once there is a slot for it.
    pub(super) async fn start(self: Rc<Connections>, socket: TcpStream) {
        if let Some(slot) = self.slots.free().await {
            tokio::task::spawn_local(self.serve(socket, slot));
        }
    }

    /// Serves one until it ends.
    async fn serve(self: Rc<Connections>, socket: TcpStream, _slot: ClientSlot) {
        // Without it answers wait for the client's acknowledgements; where it fails the client is gone.
        if socket.set_nodelay(true).is_err() {
            return;
        }
        let client = ClientConnection::new(self.slots.held.connection());
        self.slots.idle.became_idle(&client);
        // Until when the first request must be whole; taken by its head.
        let by = Instant::now() + FIRST_WAIT;
        let first = Rc::new(Cell::new(Some(by)));
        let stream = ClientStream::new(socket);
        let service = {
            let (all, client, stream, first) =
                (self.clone(), client.clone(), stream.clone(), first.clone());
            service_fn(move |request| {
                let by = first.take().unwrap_or_else(|| Instant::now() + BODY_WAIT);
                stream.begin_body(Framing::of(&request));
                let (all, client, stream) = (all.clone(), client.clone(), stream.clone());
                async move {
                    all.slots.idle.became_busy(&client);
                    let response = all.respond(request, by, &client, &stream).await;
                    stream.end_request();
                    all.slots.idle.became_idle(&client);
                    Ok::<_, Infallible>(response)
                }
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WAIT)
            .max_buf_size(BODY_MOST)
            .serve_connection(stream.clone(), service);
        let connection = std::pin::pin!(connection);
        let mut exchange = Exchange {
            connection,
            stream,
            client: client.clone(),
        };
        let reason = self.serve_until_closed(&mut exchange, &first, by).await;
        self.slots.idle.became_busy(&client);
        // Only a last answer is worth a wait, and only while nobody waits for the slot: what comes on a connection
        // that is closed between requests may be a request, which must not be read and thrown away.
        if matches!(reason, CloseReason::Finished) && self.slots.has_free() {
            linger(&exchange.stream, &mut self.phase.clone()).await;
        }
    }

    /// Serves until the connection can be dropped. `first` holds the time of its first request, `by`, until that came.
    async fn serve_until_closed<C: Future<Output = hyper::Result<()>> + Unpin>(
        &self,
        exchange: &mut Exchange<C>,
        first: &Cell<Option<Instant>>,
        by: Instant,
    ) -> CloseReason {
        let client = exchange.client.clone();
        let mut phase = self.phase.clone();
        let reason = loop {
            tokio::select! {
                biased;
                // A client's broken connection or garbage ends this connection only.
                reason = poll_fn(|cx| exchange.poll_serve(cx)) => return reason,
                () = sleep_until(by), if first.get().is_some() => {
                    if let Some(ended) = poll_fn(|cx| exchange.poll_settle(cx)).await {
                        return ended;
                    }
                    // It has said nothing whole so far, so that nothing is owed but the close.
                    if first.get().is_some() {
                        return CloseReason::FirstOverdue;
                    }
                }
                () = client.close.notified() => break CloseReason::MakesWay,
                () = closing(&mut phase) => break CloseReason::ProgramEnds,
            }
        };
        let late = Instant::now() + FLUSH_WAIT;
        exchange
            .close_idle(reason, first.get().map_or(late, |by| by.min(late)))
            .await
    }

    /// Answers a request whose body must have come by `by`.
    async fn respond(
        &self,
        request: Request<Incoming>,
        by: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            READY if self.requests.driver.ready() && *self.phase.borrow() == Phase::Up => {
                plain(StatusCode::OK)
            }
            READY => plain(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE || path.starts_with("/api/") => self
                .serve_request(request, by, client, stream)
                .await
                .unwrap_or_else(|response| response),
            _ => plain(StatusCode::NOT_FOUND),
        };
        let closes = client.closes.get() || *self.phase.borrow() >= Phase::Closing;
        // What has come after this request is answered too.
        if closes && !stream.look() && !stream.has_begun() {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// The final answer to a request for the services, or what is wrong with it.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        by: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
        let request = self.requests.read(request, by, &client.of).await?;
        stream.begin_waiting();
        stream.look();
        if stream.has_ended() {
            // Its connection ends in this same turn, and nothing is sent for nobody.
            pending::<()>().await;
        }
        let answer = match self.requests.hand_on(request) {
            Some(waiting) => waiting.answer().await,
            None => Answer::Refused { retry_after: 0.0 },
        };
        Ok(final_answer(answer))
    }
}
