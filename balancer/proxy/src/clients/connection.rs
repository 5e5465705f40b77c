//! One client's connection: its requests one after another, and its close, which must not cross one that has come.
use super::framing::Framing;
use super::idle::ClientConnection;
use super::linger::linger;
use super::phase::{wait_for_closing, Phase};
use super::requests::{RequestError, Requests};
use super::responses::{plain, to_http};
use super::slots::Slots;
use super::stream::ClientStream;
use crate::message::{FinalResponse, MAX_BODY_LEN};
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

/// A client has this long from connecting until its first request is complete: one that sends something else, or
/// nothing, is owed an error or a close within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// A persistent connection has this long for the head of its next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// And this long for the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that is to close, and owes no response, has this long to take what was written, or to send the rest of
/// a head that has begun.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const READY_PATH: &str = "/-/ready";
const SERVICE_PATH: &str = "/api";

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
    /// hyper has ended it: the client closed it, wanted it closed after a response, or sent no proper request.
    Finished,
    /// hyper has ended it, as no head came in time.
    HeadTimedOut,
    /// The client disconnected while its request waited for a response.
    ClientDisconnected,
    /// No complete request came in time.
    FirstRequestTimedOut,
    /// It makes way for another client.
    Evicted,
    /// The program ends.
    ShuttingDown,
}

/// A connection's requests and what is known of it.
struct Exchange<C> {
    /// hyper's side.
    connection: C,
    stream: ClientStream,
    client: Rc<ClientConnection>,
}

impl<C: Future<Output = hyper::Result<()>> + Unpin> Exchange<C> {
    /// Goes on until hyper ends the connection, or the client disconnects while its request waits for a response.
    fn poll_serve(&mut self, cx: &mut Context<'_>) -> Poll<CloseReason> {
        if let Poll::Ready(closed) = Pin::new(&mut self.connection).poll(cx) {
            let is_overdue = closed.is_err_and(|error| error.is_timeout());
            return Poll::Ready(if is_overdue {
                CloseReason::HeadTimedOut
            } else {
                CloseReason::Finished
            });
        }
        if self.stream.awaits_response() && self.stream.poll_disconnected(cx).is_ready() {
            return Poll::Ready(CloseReason::ClientDisconnected);
        }
        Poll::Pending
    }

    /// The same until the socket itself says that there is nothing to read: whoever closes without another await
    /// leaves nothing unread that had come by then.
    fn poll_drained(&mut self, cx: &mut Context<'_>) -> Poll<Option<CloseReason>> {
        loop {
            if let Poll::Ready(reason) = self.poll_serve(cx) {
                return Poll::Ready(Some(reason));
            }
            if !self.client.is_idle() || !self.stream.read_available() {
                return Poll::Ready(None);
            }
        }
    }

    /// The same until no request is open, none has begun, and all that was written is on its way.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<Option<CloseReason>> {
        match self.poll_drained(cx) {
            Poll::Ready(None) if self.is_quiet() => Poll::Ready(None),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
            closed => closed,
        }
    }

    fn is_quiet(&self) -> bool {
        self.client.is_idle() && self.stream.is_flushed() && !self.stream.has_begun()
    }

    /// Waits until nothing is open on a connection that is to close for this reason. Guards against a close in the
    /// middle of a head, whose last byte may have been written by then, and against clients that never read their
    /// response: for these it waits until `until` at most.
    async fn close_idle(&mut self, reason: CloseReason, mut until: Instant) -> CloseReason {
        self.client.is_closing.set(true);
        loop {
            if let Ok(closed) = timeout_at(until, poll_fn(|cx| self.poll_idle(cx))).await {
                return closed.unwrap_or(reason);
            }
            if let Some(closed) = poll_fn(|cx| self.poll_drained(cx)).await {
                return closed;
            }
            if self.client.is_idle() {
                return reason;
            }
            until = Instant::now() + FLUSH_TIMEOUT;
        }
    }
}

impl Connections {
    /// Serves one in a task of its own, once there is a slot for it.
    pub(super) async fn start(self: Rc<Connections>, socket: TcpStream) {
        if let Some(slot) = self.slots.acquire().await {
            tokio::task::spawn_local(self.serve(socket, slot));
        }
    }

    /// Serves one until it ends.
    async fn serve(self: Rc<Connections>, socket: TcpStream, _slot: ClientSlot) {
        // Without it responses wait for the client's acknowledgements; where it fails the client has disconnected.
        if socket.set_nodelay(true).is_err() {
            return;
        }
        let client = ClientConnection::new(self.slots.connection_counts.register());
        self.slots.idle.became_idle(&client);
        let first_by = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let first = Rc::new(Cell::new(Some(first_by)));
        let stream = ClientStream::new(socket);
        let connection = self.clone().http(&client, &stream, &first);
        let connection = std::pin::pin!(connection);
        let mut exchange = Exchange {
            connection,
            stream,
            client: client.clone(),
        };
        let reason = self
            .serve_until_closed(&mut exchange, &first, first_by)
            .await;
        self.slots.idle.became_busy(&client);
        // Only a last response is worth a wait, and only while nobody waits for the slot: what comes on a connection
        // that is closed between requests may be a request, which must not be read and thrown away.
        if matches!(reason, CloseReason::Finished) && self.slots.has_free() {
            linger(&exchange.stream, &mut self.phase.clone()).await;
        }
    }

    /// Returns hyper's side of a connection. `first` holds the time by which the first request must be complete, until
    /// its head has come.
    fn http(
        self: Rc<Connections>,
        client: &Rc<ClientConnection>,
        stream: &ClientStream,
        first: &Rc<Cell<Option<Instant>>>,
    ) -> impl Future<Output = hyper::Result<()>> {
        let (client, first) = (client.clone(), first.clone());
        let service_stream = stream.clone();
        let service = service_fn(move |request| {
            let body_by = first
                .take()
                .unwrap_or_else(|| Instant::now() + BODY_TIMEOUT);
            service_stream.begin_body(Framing::of(&request));
            let (connections, client) = (self.clone(), client.clone());
            let stream = service_stream.clone();
            async move {
                connections.slots.idle.became_busy(&client);
                let response = connections
                    .respond(request, body_by, &client, &stream)
                    .await;
                stream.end_request();
                connections.slots.idle.became_idle(&client);
                Ok::<_, Infallible>(response)
            }
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_BODY_LEN)
            .serve_connection(stream.clone(), service)
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
                    if let Some(closed) = poll_fn(|cx| exchange.poll_drained(cx)).await {
                        return closed;
                    }
                    // It has sent no complete request so far, so that nothing is owed but the close.
                    if first.get().is_some() {
                        return CloseReason::FirstRequestTimedOut;
                    }
                }
                () = client.close_requested.notified() => break CloseReason::Evicted,
                () = wait_for_closing(&mut phase) => break CloseReason::ShuttingDown,
            }
        };
        let late = Instant::now() + FLUSH_TIMEOUT;
        exchange
            .close_idle(reason, first.get().map_or(late, |by| by.min(late)))
            .await
    }

    /// Responds to a request whose body must have come by `body_by`.
    async fn respond(
        &self,
        request: Request<Incoming>,
        body_by: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            READY_PATH => plain(self.readiness()),
            path if path == SERVICE_PATH || path.starts_with("/api/") => self
                .serve_request(request, body_by, client, stream)
                .await
                .unwrap_or_else(RequestError::response),
            _ => plain(StatusCode::NOT_FOUND),
        };
        let is_closing = client.is_closing.get() || *self.phase.borrow() >= Phase::Closing;
        // What has come after this request is answered too.
        if is_closing && !stream.read_available() && !stream.has_begun() {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn readiness(&self) -> StatusCode {
        if self.requests.driver.is_ready() && *self.phase.borrow() == Phase::Serving {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Returns the final response to a request for the services, or why the request is rejected.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        body_by: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let request = self
            .requests
            .receive(request, body_by, &client.counted)
            .await?;
        stream.begin_awaiting_response();
        stream.read_available();
        if stream.is_disconnected() {
            // Its connection ends in this same turn, and nothing is sent for nobody.
            pending::<()>().await;
        }
        let response = match self.requests.forward(request) {
            Some(pending) => pending.response().await,
            None => FinalResponse::Refused { retry_after: 0.0 },
        };
        Ok(to_http(response))
    }
}
