//! One client's connection: its requests one after another, and its close, which must not cross one that has come.
use super::answers::{final_answer, plain};
use super::idle::ClientConnection;
use super::phase::{after_pending_reads, closing, Phase};
use super::requests::Requests;
use super::slots::Slots;
use crate::held::Connection;
use crate::message::BODY_MOST;
use crate::sockets::ClientSlot;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tokio_util::io::InspectReader;

/// A client has this long from connecting until its first request is whole: one that sends something else, or
/// nothing, is owed an error or a close within 3 s.
const FIRST_WAIT: Duration = Duration::from_millis(2500);
/// A kept connection has this long for the head of its next request.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// And this long for the body.
const BODY_WAIT: Duration = Duration::from_secs(2);
/// A connection that is to close, and owes no answer, has this long to take what was written.
const FLUSH_WAIT: Duration = Duration::from_secs(2);
const READY: &str = "/-/ready";
const SERVICE: &str = "/api";

/// What every connection needs.
pub struct Connections {
    /// Takes its requests.
    pub requests: Requests,
    /// Where it has its slot.
    pub slots: Rc<Slots>,
    /// When it is to be closed.
    pub phase: watch::Receiver<Phase>,
}

impl Connections {
    /// Serves one until it ends.
    pub async fn serve(self: Rc<Connections>, stream: TcpStream, _slot: ClientSlot) {
        // Without it answers wait for the client's acknowledgements; where it fails the client is gone.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let client = ClientConnection::new(self.slots.held.connection());
        self.slots.idle.became_idle(&client);
        // Until when the first request must be whole; taken by its head.
        let by = Instant::now() + FIRST_WAIT;
        let first = Rc::new(Cell::new(Some(by)));
        // Whether something was read since the last request: a head that is on its way, while none is open.
        let begun = Rc::new(Cell::new(false));
        let (all, of, unasked) = (self.clone(), client.clone(), first.clone());
        let read = begun.clone();
        let service = service_fn(move |request| {
            let (all, client, begun) = (all.clone(), of.clone(), read.clone());
            let by = unasked.take().unwrap_or_else(|| Instant::now() + BODY_WAIT);
            async move {
                all.slots.idle.became_busy(&client);
                let response = all.respond(request, by, &client.of).await;
                begun.set(false);
                all.slots.idle.became_idle(&client);
                Ok::<_, Infallible>(response)
            }
        });
        let noted = begun.clone();
        let stream = InspectReader::new(stream, move |bytes| noted.set(noted.get() || !bytes.is_empty()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WAIT)
            .max_buf_size(BODY_MOST)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        let overdue = async {
            after_pending_reads(sleep_until(by)).await;
            if first.get().is_none() {
                std::future::pending::<()>().await;
            }
        };
        let ended = tokio::select! {
            biased;
            // A client's broken connection or garbage ends this connection only.
            _ = connection.as_mut() => true,
            // It has said nothing whole so far, so that nothing is owed but the close.
            () = overdue => true,
            () = after_pending_reads(client.close.notified()) => false,
            () = after_pending_reads(closing(&mut phase)) => false,
        };
        if !ended {
            // Guards against a close in the middle of a head, whose last byte may have been written by then: it is
            // waited for, though no longer than a client has for its first request.
            let late = Instant::now() + FLUSH_WAIT;
            let until = first.get().map_or(late, |by| by.min(late));
            let goes_on = poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(false),
                Poll::Pending if begun.get() && client.is_idle() => Poll::Pending,
                Poll::Pending => Poll::Ready(true),
            });
            if timeout_at(until, goes_on).await == Ok(true) {
                connection.as_mut().graceful_shutdown();
                // Guards against clients that never read their answer: no hold on us.
                while timeout(FLUSH_WAIT, connection.as_mut()).await.is_err() && !client.is_idle() {}
            }
        }
        self.slots.idle.became_busy(&client);
    }

    /// Answers a request whose body must have come by `by`.
    async fn respond(
        &self,
        request: Request<Incoming>,
        by: Instant,
        held: &Connection,
    ) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            READY if self.requests.driver.ready() && *self.phase.borrow() == Phase::Up => {
                plain(StatusCode::OK)
            }
            READY => plain(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE || path.starts_with("/api/") => {
                match self.requests.take(request, by, held).await {
                    Ok(waiting) => final_answer(waiting.answer().await),
                    Err(response) => response,
                }
            }
            _ => plain(StatusCode::NOT_FOUND),
        };
        if *self.phase.borrow() == Phase::Closing {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
