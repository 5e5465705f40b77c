//! A client connection: serves its requests in sequence and closes it. A close must not race with a request that has
//! already arrived.
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

/// Maximum time from connecting until the first request is complete. A client that sends invalid input or nothing must
/// get an error or a close within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time for the head of the next request on a persistent connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for the body of a request on a persistent connection.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for a closing connection without a pending response to flush its output, or to receive the rest of a
/// partially received head.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const READY_PATH: &str = "/-/ready";
const SERVICE_PATH: &str = "/api";

/// State shared by all client connections.
pub(super) struct Connections {
    /// Receives and forwards requests.
    pub requests: Requests,
    /// Connection slots.
    pub slots: Rc<Slots>,
    /// The shutdown phase, which decides when connections are closed.
    pub phase: watch::Receiver<Phase>,
}

/// Why a connection ends.
enum CloseReason {
    /// hyper ended it: the client closed it, asked for a close after the response, or sent an invalid request.
    Finished,
    /// hyper ended it: no request head arrived in time.
    HeadTimedOut,
    /// The client disconnected while its request was waiting for a response.
    ClientDisconnected,
    /// No complete first request arrived in time.
    FirstRequestTimedOut,
    /// It was closed to free its slot for another client.
    Evicted,
    /// The program is shutting down.
    ShuttingDown,
}

/// A client connection: hyper's state machine, the socket and the bookkeeping.
struct Exchange<C> {
    /// hyper's connection future.
    connection: C,
    stream: ClientStream,
    client: Rc<ClientConnection>,
}

impl<C: Future<Output = hyper::Result<()>> + Unpin> Exchange<C> {
    /// Completes when hyper ends the connection, or when the client disconnects while its request waits for a response.
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

    /// Serves until a read of the socket would block, regardless of the runtime's readiness state. A caller that closes
    /// the connection without a further await drops no request that had arrived by then.
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

    /// Serves until no request is open or partially received, and all output is flushed.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<Option<CloseReason>> {
        match self.poll_drained(cx) {
            Poll::Ready(None) if self.is_idle_and_flushed() => Poll::Ready(None),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
            closed => closed,
        }
    }

    fn is_idle_and_flushed(&self) -> bool {
        self.client.is_idle() && self.stream.is_flushed() && !self.stream.has_partial_request()
    }

    /// Waits until a connection that is about to close for `reason` is idle. This avoids a close in the middle of a
    /// request head whose last byte the client may already have sent. Clients that never read their response delay the
    /// close until `until` at most.
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
    /// Waits for a slot, then serves the connection in its own task.
    pub(super) async fn start(self: Rc<Connections>, socket: TcpStream) {
        if let Some(slot) = self.slots.acquire().await {
            tokio::task::spawn_local(self.serve(socket, slot));
        }
    }

    /// Serves a connection until it ends.
    async fn serve(self: Rc<Connections>, socket: TcpStream, _slot: ClientSlot) {
        // Without TCP_NODELAY, responses wait for the client's ACKs. A failure means that the client disconnected.
        if socket.set_nodelay(true).is_err() {
            return;
        }
        let client = ClientConnection::new(self.slots.connection_counts.register());
        self.slots.idle.became_idle(&client);
        let first_request_deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let first = Rc::new(Cell::new(Some(first_request_deadline)));
        let stream = ClientStream::new(socket);
        let connection = self.clone().http(&client, &stream, &first);
        let connection = std::pin::pin!(connection);
        let mut exchange = Exchange {
            connection,
            stream,
            client: client.clone(),
        };
        let reason = self
            .serve_until_closed(&mut exchange, &first, first_request_deadline)
            .await;
        self.slots.idle.became_busy(&client);
        // Lingers only after a last response, and only while no other client needs the slot. Input on a connection that
        // is closed between requests may be a request, which must not be read and discarded.
        if matches!(reason, CloseReason::Finished) && self.slots.has_free() {
            linger(&exchange.stream, &mut self.phase.clone()).await;
        }
    }

    /// Creates hyper's connection future. `first` holds the deadline of the first request until its head arrives.
    fn http(
        self: Rc<Connections>,
        client: &Rc<ClientConnection>,
        stream: &ClientStream,
        first: &Rc<Cell<Option<Instant>>>,
    ) -> impl Future<Output = hyper::Result<()>> {
        let (client, first) = (client.clone(), first.clone());
        let service_stream = stream.clone();
        let service = service_fn(move |request| {
            let body_deadline = first
                .take()
                .unwrap_or_else(|| Instant::now() + BODY_TIMEOUT);
            service_stream.begin_body(Framing::of(&request));
            let (connections, client) = (self.clone(), client.clone());
            let stream = service_stream.clone();
            async move {
                connections.slots.idle.became_busy(&client);
                let response = connections
                    .respond(request, body_deadline, &client, &stream)
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

    /// Serves until the connection can be dropped. `first` holds the deadline of the first request, `deadline`, until the
    /// head of that request arrives.
    async fn serve_until_closed<C: Future<Output = hyper::Result<()>> + Unpin>(
        &self,
        exchange: &mut Exchange<C>,
        first: &Cell<Option<Instant>>,
        deadline: Instant,
    ) -> CloseReason {
        let client = exchange.client.clone();
        let mut phase = self.phase.clone();
        let reason = loop {
            tokio::select! {
                biased;
                // A connection error or invalid input ends this connection only.
                reason = poll_fn(|cx| exchange.poll_serve(cx)) => return reason,
                () = sleep_until(deadline), if first.get().is_some() => {
                    if let Some(closed) = poll_fn(|cx| exchange.poll_drained(cx)).await {
                        return closed;
                    }
                    // No complete request has arrived, so no response is pending.
                    if first.get().is_some() {
                        return CloseReason::FirstRequestTimedOut;
                    }
                }
                () = client.close_requested.notified() => break CloseReason::Evicted,
                () = wait_for_closing(&mut phase) => break CloseReason::ShuttingDown,
            }
        };
        let flush_deadline = Instant::now() + FLUSH_TIMEOUT;
        exchange
            .close_idle(
                reason,
                first
                    .get()
                    .map_or(flush_deadline, |deadline| deadline.min(flush_deadline)),
            )
            .await
    }

    /// Responds to a request whose body must be complete by `body_deadline`.
    async fn respond(
        &self,
        request: Request<Incoming>,
        body_deadline: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            READY_PATH => plain(self.readiness()),
            path if path == SERVICE_PATH || path.starts_with("/api/") => self
                .serve_request(request, body_deadline, client, stream)
                .await
                .unwrap_or_else(RequestError::response),
            _ => plain(StatusCode::NOT_FOUND),
        };
        let is_closing = client.is_closing.get() || *self.phase.borrow() >= Phase::Closing;
        // Input that has already arrived after this request is served too.
        if is_closing && !stream.read_available() && !stream.has_partial_request() {
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

    /// Forwards a service request and returns its final response, or why the request is rejected.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        body_deadline: Instant,
        client: &ClientConnection,
        stream: &ClientStream,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let request = self
            .requests
            .receive(request, body_deadline, &client.counted)
            .await?;
        stream.begin_awaiting_response();
        stream.read_available();
        if stream.is_disconnected() {
            // The connection task drops this future in the same poll: no attempt is made for a disconnected client.
            pending::<()>().await;
        }
        let response = match self.requests.forward(request) {
            Some(pending) => pending.response().await,
            None => FinalResponse::Refused { retry_after: 0.0 },
        };
        Ok(to_http(response))
    }
}
